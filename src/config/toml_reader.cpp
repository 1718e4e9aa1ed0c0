#include "config/toml_reader.hpp"

#include <algorithm>
#include <cctype>
#include <sstream>

namespace waxwingnotch {

void throw_toml_assertion(const char* condition)
{
    throw toml_assertion(condition);
}

namespace {

/// The library asserts that a key follows `[`, without a location.
/// @return the first character in place of such a key; the start of the file if there is none
source_location location_of_bad_header(std::string_view text, std::string_view file)
{
    constexpr std::string_view spaces = " \t";
    std::uint32_t line = 1;
    for (std::size_t start = 0; start < text.size(); ++line) {
        const std::size_t end = std::min(text.find('\n', start), text.size());
        const std::size_t bracket = text.find_first_not_of(spaces, start);
        if (bracket < end && text[bracket] == '[') {
            const std::size_t key = std::min(text.find_first_not_of(" \t[", bracket), text.size());
            const auto first = static_cast<unsigned char>(key < text.size() ? text[key] : '\0');
            const bool starts_a_key = std::isalnum(first) != 0 || first == '_' || first == '-' ||
                                      first == '"' || first == '\'' || first >= 0x80;
            if (!starts_a_key) {
                return {std::string(file), line, static_cast<std::uint32_t>(key - start + 1)};
            }
        }
        start = end + 1;
    }
    return {std::string(file), 1, 1};
}

}  // namespace

toml::table parse_toml(std::string_view text, std::string_view file, findings& problems)
{
    try {
        return toml::parse(text, file);
    }
    catch (const toml::parse_error& problem) {
        const auto& begin = problem.source().begin;
        problems.error({std::string(file), begin.line, begin.column}, std::string(problem.description()),
                       "valid TOML");
        return {};
    }
    catch (const toml_assertion&) {
        problems.error(location_of_bad_header(text, file), "a key or table header that cannot be read",
                       "valid TOML");
        return {};
    }
}

source_location location_of(const toml::node& node, std::string_view file)
{
    const auto& begin = node.source().begin;
    return {std::string(file), begin.line, begin.column};
}

table_reader::table_reader(const toml::table& table, std::string_view name, std::string_view file,
                           findings& problems)
    : table_(table), name_(name), file_(file), problems_(problems)
{
}

const toml::node* table_reader::find(std::string_view key)
{
    known_keys_.emplace_back(key);
    return table_.get(key);
}

source_location table_reader::location(std::string_view key) const
{
    const toml::node* node = table_.get(key);
    return location_of(node != nullptr ? *node : static_cast<const toml::node&>(table_), file_);
}

void table_reader::report_wrong_type(const toml::node& node, std::string_view key, std::string_view expected)
{
    std::ostringstream found;
    found << node.type() << " for '" << key << "' in " << name_;
    problems_.error(location_of(node, file_), found.str(), std::string(expected));
}

void table_reader::text(std::string_view key, std::string& value, bool required)
{
    const toml::node* node = find(key);
    if (node == nullptr) {
        if (required) {
            problems_.error(location_of(table_, file_), name_ + " without '" + std::string(key) + "'",
                            "the key '" + std::string(key) + "'");
        }
        return;
    }
    const auto found = node->value_exact<std::string>();
    if (!found) {
        report_wrong_type(*node, key, "a string");
        return;
    }
    if (required && found->empty()) {
        problems_.error(location_of(*node, file_), "an empty '" + std::string(key) + "' in " + name_,
                        "a name of at least one character");
        return;
    }
    value = *found;
}

bool table_reader::integer(std::string_view key, std::int64_t min_value, std::int64_t max_value,
                           std::int64_t& value)
{
    const toml::node* node = find(key);
    if (node == nullptr) {
        return false;
    }
    const auto found = node->value_exact<std::int64_t>();
    if (!found) {
        report_wrong_type(*node, key, "an integer");
        return false;
    }
    if (*found < min_value || *found > max_value) {
        problems_.error(location_of(*node, file_),
                        std::to_string(*found) + " for '" + std::string(key) + "' in " + name_,
                        "a value from " + std::to_string(min_value) + " to " + std::to_string(max_value));
        return false;
    }
    value = *found;
    return true;
}

void table_reader::number(std::string_view key, std::uint32_t& value, std::uint32_t min_value,
                          std::uint32_t max_value)
{
    std::int64_t found = 0;
    if (integer(key, min_value, max_value, found)) {
        value = static_cast<std::uint32_t>(found);
    }
}

void table_reader::number(std::string_view key, std::int64_t& value, std::int64_t min_value,
                          std::int64_t max_value)
{
    integer(key, min_value, max_value, value);
}

void table_reader::real(std::string_view key, double& value, double min_value, double max_value)
{
    const toml::node* node = find(key);
    if (node == nullptr) {
        return;
    }
    const auto found = node->value<double>();
    if (!found || !node->is_number()) {
        report_wrong_type(*node, key, "a number");
        return;
    }
    if (!(*found >= min_value && *found <= max_value)) {
        std::ostringstream text;
        text << *found << " for '" << key << "' in " << name_;
        std::ostringstream range;
        range << "a value from " << min_value << " to " << max_value;
        problems_.error(location_of(*node, file_), text.str(), range.str());
        return;
    }
    value = *found;
}

void table_reader::flag(std::string_view key, bool& value)
{
    const toml::node* node = find(key);
    if (node == nullptr) {
        return;
    }
    const auto found = node->value_exact<bool>();
    if (!found) {
        report_wrong_type(*node, key, "true or false");
        return;
    }
    value = *found;
}

void table_reader::report_unknown_keys()
{
    for (const auto& [key, node] : table_) {
        if (std::find(known_keys_.begin(), known_keys_.end(), key.str()) != known_keys_.end()) {
            continue;
        }
        std::string expected = "one of";
        for (const std::string& name : known_keys_) {
            expected += " '" + name + "'";
        }
        problems_.error(location_of(node, file_), "unknown key '" + std::string(key.str()) + "' in " + name_,
                        expected);
    }
}

void check_top_level(const toml::table& root, const std::vector<std::string_view>& known,
                     std::string_view file, findings& problems)
{
    for (const auto& [key, node] : root) {
        if (std::find(known.begin(), known.end(), key.str()) != known.end()) {
            continue;
        }
        std::string expected = "one of";
        for (const std::string_view name : known) {
            expected += " '" + std::string(name) + "'";
        }
        problems.error(location_of(node, file), "unknown key '" + std::string(key.str()) + "'", expected);
    }
}

}  // namespace waxwingnotch
