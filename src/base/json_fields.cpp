#include "waxwingnotch/base/json_fields.hpp"

#include <charconv>

namespace waxwingnotch {

using nlohmann::json;

namespace {

std::string shortest(double value)
{
    constexpr std::size_t longest = 32;
    char buffer[longest];
    const auto written = std::to_chars(std::begin(buffer), std::end(buffer), value);
    return {std::begin(buffer), written.ptr};
}

}  // namespace

result<json> read_json_object(std::string_view text)
{
    auto document = read_json(text);
    if (document && !document.value().is_object()) {
        return fail(error_code::malformed, "not a JSON object");
    }
    return document;
}

const json& object_field(const json& object, const char* name)
{
    static const json none = json::object();
    const json* found = find_field(object, name);
    return found != nullptr && found->is_object() ? *found : none;
}

const json* find_field(const json& object, const char* name)
{
    if (!object.is_object()) {
        return nullptr;
    }
    const auto found = object.find(name);
    return found == object.end() ? nullptr : &*found;
}

std::string string_or(const json& object, const char* name, std::string_view fallback)
{
    const json* value = find_field(object, name);
    return value != nullptr && value->is_string() ? value->get<std::string>() : std::string(fallback);
}

std::int64_t integer_or(const json& object, const char* name, std::int64_t fallback)
{
    const json* value = find_field(object, name);
    return value == nullptr ? fallback : to_integer(*value).value_or(fallback);
}

bool bool_or(const json& object, const char* name, bool fallback)
{
    const json* value = find_field(object, name);
    return value != nullptr && value->is_boolean() ? value->get<bool>() : fallback;
}

std::vector<std::string> string_list(const json& object, const char* name)
{
    std::vector<std::string> list;
    const json* value = find_field(object, name);
    if (value == nullptr || !value->is_array()) {
        return list;
    }
    for (const json& item : *value) {
        if (item.is_string()) {
            list.push_back(item.get<std::string>());
        }
    }
    return list;
}

std::optional<std::int64_t> integer_within(const json& value, std::int64_t min, std::int64_t max)
{
    const std::optional<std::int64_t> number = to_integer(value);
    return number && *number >= min && *number <= max ? number : std::nullopt;
}

field_reader::field_reader(const json& object, std::string place) : object_(object), place_(std::move(place))
{
}

const json* field_reader::find(const char* name) const
{
    const json* value = find_field(object_, name);
    return value == nullptr || value->is_null() ? nullptr : value;
}

void field_reader::note(const char* name, const std::string& expected)
{
    if (problem_.empty()) {
        problem_ = (place_.empty() ? "" : place_ + ".") + name + " is not " + expected;
    }
}

std::string field_reader::text(const char* name)
{
    const json* value = find(name);
    if (value != nullptr && !value->is_string()) {
        note(name, "a string");
        return {};
    }
    return value == nullptr ? std::string() : value->get<std::string>();
}

bool field_reader::flag(const char* name, bool fallback)
{
    const json* value = find(name);
    if (value != nullptr && !value->is_boolean()) {
        note(name, "true or false");
        return fallback;
    }
    return value == nullptr ? fallback : value->get<bool>();
}

std::int64_t field_reader::integer(const char* name, std::int64_t fallback, std::int64_t min,
                                   std::int64_t max)
{
    const json* value = find(name);
    if (value == nullptr) {
        return fallback;
    }
    const std::optional<std::int64_t> number = integer_within(*value, min, max);
    if (!number) {
        note(name, "a number from " + std::to_string(min) + " to " + std::to_string(max));
    }
    return number.value_or(fallback);
}

double field_reader::number(const char* name, double fallback, double min, double max)
{
    const json* value = find(name);
    if (value == nullptr) {
        return fallback;
    }
    const double number = value->is_number() ? value->get<double>() : max + 1;
    if (!(number >= min && number <= max)) {
        note(name, "a number from " + shortest(min) + " to " + shortest(max));
        return fallback;
    }
    return number;
}

std::vector<std::string> field_reader::texts(const char* name)
{
    const json* value = find(name);
    if (value == nullptr) {
        return {};
    }
    std::vector<std::string> list = string_list(object_, name);
    if (!value->is_array() || list.size() != value->size()) {
        note(name, "a list of strings");
        return {};
    }
    return list;
}

}  // namespace waxwingnotch
