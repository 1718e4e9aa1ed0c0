/// @file
/// Wall and monotonic clocks. Only process-level code reads them: the fold and the decision functions
/// take the time as an argument.
#pragma once

#include <cstdint>

namespace waxwingnotch {

/// @return wall-clock time in ms since the Unix epoch
std::int64_t wall_ms();

/// @return monotonic time in ms; it keeps running while the process is paused and while the host is suspended
std::int64_t monotonic_ms();

}  // namespace waxwingnotch
