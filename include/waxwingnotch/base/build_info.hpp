/// @file
/// What the program was built from. `waxwingnotch --version`, the `start` line and the metric
/// `waxwingnotch_build_info` name it; `cmake -DSOURCE_DIR=. -P cmake/sources_id.cmake` prints the identity of
/// a source tree to compare it with.
#pragma once

#include <string_view>

namespace waxwingnotch {

struct build_info {
    std::string_view version;  // of the release, such as "0.1.0"
    std::string_view sources;  // 16 hexadecimal digits; a hash over the files that the program is built from
};

/// @return what this program was built from; the build keeps it up to date with every change of a source file
build_info program_build();

}  // namespace waxwingnotch
