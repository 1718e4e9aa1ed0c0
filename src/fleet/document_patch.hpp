/// @file
/// Applies an RFC 6902 patch that a foreign process wrote.
#pragma once

#include "waxwingnotch/base/result.hpp"

#include <string>
#include <string_view>

namespace waxwingnotch {

/// Checks what the library asserts (that the parent of an added value is an object or an array)
/// or follows by recursion (nesting), which would end every node that reads the patch.
/// @return the patched canonical text, or `malformed`; never throws
result<std::string> patch_document(std::string_view content, std::string_view patch);

}  // namespace waxwingnotch
