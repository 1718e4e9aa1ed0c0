/// @file
/// Applies RFC 6902 patches from untrusted sources.
#pragma once

#include "waxwingnotch/base/result.hpp"

#include <string>
#include <string_view>

namespace waxwingnotch {

/// Applies @p patch to @p content. Checks what the library only asserts (that the parent of an
/// added value is an object or an array) and the nesting, which it follows by recursion: either would
/// crash every node that reads the patch.
/// @return the patched canonical text, or `malformed`; never throws
result<std::string> patch_document(std::string_view content, std::string_view patch);

}  // namespace waxwingnotch
