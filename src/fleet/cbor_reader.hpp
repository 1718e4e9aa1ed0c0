/// @file
/// Parses CBOR from untrusted sources.
#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

namespace waxwingnotch {

/// Parses @p bytes after two checks that the library does not make: on nesting, which it follows by
/// recursion, and on numbers that do not fit std::int64_t, whose conversion is undefined.
/// @throws nlohmann::json::exception if a check fails or the bytes are not CBOR
nlohmann::json read_cbor(std::string_view bytes);

}  // namespace waxwingnotch
