/// @file
/// Reads CBOR that a foreign process wrote.
#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

namespace waxwingnotch {

/// Parses @p bytes after checking what the library leaves open: nesting, which it follows by
/// recursion, and numbers that do not fit std::int64_t, whose conversion is undefined.
/// @throws nlohmann::json::exception on any of these and on bytes that are not CBOR
nlohmann::json read_cbor(std::string_view bytes);

}  // namespace waxwingnotch
