/// @file
/// Reads typed values from TOML tables and reports each invalid value with its location.
#pragma once

#include "waxwingnotch/base/findings.hpp"

#include <stdexcept>

namespace waxwingnotch {

/// A broken assertion of the TOML library. It asserts things that depend on the text, such as that a key
/// follows `[`, so a typing error in a file would end the process.
struct toml_assertion : std::logic_error {
    using std::logic_error::logic_error;
};

/// @throws toml_assertion
[[noreturn]] void throw_toml_assertion(const char* condition);

}  // namespace waxwingnotch

// The library uses this instead of assert(), also in functions that are noexcept.
#define TOML_ASSERT(condition)                                                                               \
    ((condition) ? static_cast<void>(0) : waxwingnotch::throw_toml_assertion(#condition))
#include <toml++/toml.h>

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingnotch {

/// Parses @p text. On a syntax error a finding is added and the table is empty.
toml::table parse_toml(std::string_view text, std::string_view file, findings& problems);

/// @return the position of @p node in @p file
source_location location_of(const toml::node& node, std::string_view file);

/// Reads the keys of one table; reports wrong types, values out of range, missing and unknown keys.
class table_reader {
public:
    /// @param table must outlive the reader
    /// @param name name of the table in findings, such as "[[host]]"
    table_reader(const toml::table& table, std::string_view name, std::string_view file, findings& problems);

    // Each leaves `value` unchanged if the key is absent; with `required`, that is a finding.
    void text(std::string_view key, std::string& value, bool required = false);
    void number(std::string_view key, std::uint32_t& value, std::uint32_t min_value, std::uint32_t max_value);
    void number(std::string_view key, std::int64_t& value, std::int64_t min_value, std::int64_t max_value);
    void real(std::string_view key, double& value, double min_value, double max_value);
    void flag(std::string_view key, bool& value);

    /// Reports every key that none of the calls above has read.
    void report_unknown_keys();

    /// @return the location of @p key, or of the table if the key is absent
    source_location location(std::string_view key) const;

private:
    const toml::node* find(std::string_view key);
    void report_wrong_type(const toml::node& node, std::string_view key, std::string_view expected);
    bool integer(std::string_view key, std::int64_t min_value, std::int64_t max_value, std::int64_t& value);

    const toml::table& table_;
    std::string name_;
    std::string file_;
    findings& problems_;
    std::vector<std::string> known_keys_;
};

/// Calls @p visit with a table for each element of the array `[[key]]` of @p root.
/// @return false if the key is absent
template <class Visit>
bool for_each_table(const toml::table& root, std::string_view key, std::string_view file, findings& problems,
                    Visit visit)
{
    const toml::node* node = root.get(key);
    if (node == nullptr) {
        return false;
    }
    const toml::array* list = node->as_array();
    if (list == nullptr) {
        problems.error(location_of(*node, file), "one value for '" + std::string(key) + "'",
                       "an array of tables [[" + std::string(key) + "]]");
        return true;
    }
    for (const toml::node& item : *list) {
        if (const toml::table* table = item.as_table()) {
            visit(*table);
        }
        else {
            problems.error(location_of(item, file), "a plain value in '" + std::string(key) + "'",
                           "a table [[" + std::string(key) + "]]");
        }
    }
    return true;
}

/// Reports every key of @p root that is not in @p known.
void check_top_level(const toml::table& root, const std::vector<std::string_view>& known,
                     std::string_view file, findings& problems);

}  // namespace waxwingnotch
