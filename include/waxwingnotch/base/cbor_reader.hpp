/// @file
/// Parses CBOR from untrusted sources.
#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

namespace waxwingnotch {

/// Checks what the library does not check or follows by recursion: nesting of arrays and maps, strings of
/// indefinite length within each other, tags, floating-point numbers and numbers that do not fit
/// std::int64_t, whose conversion is undefined.
/// @return whether @p bytes start with an item that from_cbor() reads without deep recursion
bool is_bounded_cbor(std::string_view bytes);

/// Parses @p bytes after is_bounded_cbor().
/// @throws nlohmann::json::exception if the check fails or the bytes are not CBOR
nlohmann::json parse_bounded_cbor(std::string_view bytes);

}  // namespace waxwingnotch
