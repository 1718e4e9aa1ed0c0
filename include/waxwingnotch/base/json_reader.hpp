/// @file
/// Parses JSON that another party wrote. The library parses JSON without recursion, but copies,
/// compares and writes values by recursion, as deep as their writer nested them. Depth is therefore checked
/// before a value exists.
#pragma once

#include "waxwingnotch/base/result.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace waxwingnotch {

/// Deepest nesting that is read. No document of the system has more than 8 levels.
constexpr std::size_t max_nesting = 32;

/// Largest magnitude of an integer that is read: every integer up to it is exact in a double.
constexpr std::int64_t max_exact_integer = 1LL << 53;

/// @return the value, or `malformed` with the reason
result<nlohmann::json> read_json(std::string_view text);

/// Writes @p value as text. Bytes of a string that are not UTF-8 are replaced; the library throws on them by
/// default, and texts of other parties, such as keys of the store, may hold any bytes.
std::string write_json(const nlohmann::json& value);

/// @return the number without its fraction; nothing if @p value is not a number or its magnitude exceeds
///         max_exact_integer
std::optional<std::int64_t> to_integer(const nlohmann::json& value);

}  // namespace waxwingnotch
