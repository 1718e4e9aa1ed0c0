#include "waxwingnotch/base/json_reader.hpp"

#include <algorithm>
#include <cmath>
#include <string>

namespace waxwingnotch {

using nlohmann::json;

namespace {

/// @return the deepest nesting of arrays and objects in a JSON text
std::size_t nesting_of(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t deepest = 0;
    bool in_string = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char character = text[at];
        if (in_string) {
            at += character == '\\' ? 1 : 0;
            in_string = character != '"';
            continue;
        }
        switch (character) {
        case '"':
            in_string = true;
            break;
        case '[':
        case '{':
            deepest = std::max(deepest, ++depth);
            break;
        case ']':
        case '}':
            depth -= depth > 0 ? 1 : 0;
            break;
        default:
            break;
        }
    }
    return deepest;
}

}  // namespace

result<json> read_json(std::string_view text)
{
    if (nesting_of(text) > max_nesting) {
        return fail(error_code::malformed, "nested deeper than " + std::to_string(max_nesting) + " levels");
    }
    json value = json::parse(text, nullptr, false);
    if (value.is_discarded()) {
        return fail(error_code::malformed, "not JSON");
    }
    return value;
}

std::string write_json(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<std::int64_t> to_integer(const json& value)
{
    if (value.is_number_unsigned()) {
        const auto number = value.get<std::uint64_t>();
        return number <= static_cast<std::uint64_t>(max_exact_integer)
                   ? std::optional(static_cast<std::int64_t>(number))
                   : std::nullopt;
    }
    if (value.is_number_integer()) {
        const auto number = value.get<std::int64_t>();
        return number >= -max_exact_integer && number <= max_exact_integer ? std::optional(number)
                                                                           : std::nullopt;
    }
    if (value.is_number_float()) {
        const auto number = value.get<double>();
        return std::abs(number) <= static_cast<double>(max_exact_integer)
                   ? std::optional(static_cast<std::int64_t>(number))
                   : std::nullopt;
    }
    return std::nullopt;
}

}  // namespace waxwingnotch
