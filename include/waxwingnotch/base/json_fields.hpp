/// @file
/// Reads the fields of JSON documents from other parties. A missing or null field yields the fallback. What a
/// field of another type or out of range does depends on the reader: the functions yield the fallback, a
/// field_reader notes a problem, by which the document is refused.
#pragma once

#include "waxwingnotch/base/json_reader.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingnotch {

/// @return the object in @p text, or `malformed` with the reason
result<nlohmann::json> read_json_object(std::string_view text);

/// @return the object under @p name; an empty one if it is missing or of another type
const nlohmann::json& object_field(const nlohmann::json& object, const char* name);

/// @return null if @p object is not an object or lacks the field
const nlohmann::json* find_field(const nlohmann::json& object, const char* name);

// ---- Values that may fall back ----

std::string string_or(const nlohmann::json& object, const char* name, std::string_view fallback = {});
std::int64_t integer_or(const nlohmann::json& object, const char* name, std::int64_t fallback = 0);
bool bool_or(const nlohmann::json& object, const char* name, bool fallback = false);
/// @return the strings in a list; items of other types are left out
std::vector<std::string> string_list(const nlohmann::json& object, const char* name);

/// @return the integer, if it lies within the limits
std::optional<std::int64_t> integer_within(const nlohmann::json& value, std::int64_t min, std::int64_t max);

// ---- Documents that are refused as a whole ----

/// Reads fields and keeps the first problem: a field of another type, or a number out of range.
class field_reader {
public:
    /// @param object without fields if it is not an object
    /// @param place named before the field in the problem, such as "step 3"; empty: none
    explicit field_reader(const nlohmann::json& object, std::string place = {});

    std::string text(const char* name);
    bool flag(const char* name, bool fallback = false);
    /// A fraction is cut off.
    std::int64_t integer(const char* name, std::int64_t fallback, std::int64_t min, std::int64_t max);
    double number(const char* name, double fallback, double min, double max);
    std::vector<std::string> texts(const char* name);

    /// @return empty if every field was usable so far
    const std::string& problem() const { return problem_; }

private:
    /// @return null if the field is missing or null
    const nlohmann::json* find(const char* name) const;
    void note(const char* name, const std::string& expected);

    const nlohmann::json& object_;
    std::string place_;
    std::string problem_;
};

}  // namespace waxwingnotch
