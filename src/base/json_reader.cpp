#include "waxwingnotch/base/json_reader.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
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

/// SAX handler that refuses deep nesting, floating-point numbers and integers beyond std::int64_t. The
/// library reads CBOR by recursion, which ends with the first refusal.
class record_validator : public nlohmann::json_sax<json> {
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t value) override
    {
        return value <= static_cast<number_unsigned_t>(std::numeric_limits<std::int64_t>::max());
    }
    bool number_float(number_float_t, const string_t&) override { return false; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool key(string_t&) override { return true; }
    bool start_object(std::size_t) override { return ++nesting_ <= max_nesting; }
    bool start_array(std::size_t) override { return ++nesting_ <= max_nesting; }
    bool end_object() override { return end_container(); }
    bool end_array() override { return end_container(); }
    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override
    {
        return false;
    }

private:
    bool end_container()
    {
        --nesting_;
        return true;
    }
    std::size_t nesting_ = 0;
};

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

result<json> read_cbor_record(std::string_view bytes)
{
    record_validator validator;
    if (!json::sax_parse(bytes.begin(), bytes.end(), &validator, json::input_format_t::cbor)) {
        return fail(error_code::malformed,
                    "not CBOR, nested too deeply, or with a number that is not a 64-bit integer");
    }
    return json::from_cbor(bytes.begin(), bytes.end(), true, false);
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
