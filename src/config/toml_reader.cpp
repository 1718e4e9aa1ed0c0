#include "config/toml_reader.hpp"

#include <algorithm>
#include <sstream>

namespace waxwingnotch {

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
}

place place_of(const toml::node& node, std::string_view file)
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
    known_.emplace_back(key);
    return table_.get(key);
}

place table_reader::where(std::string_view key) const
{
    const toml::node* node = table_.get(key);
    return place_of(node != nullptr ? *node : static_cast<const toml::node&>(table_), file_);
}

void table_reader::wrong_type(const toml::node& node, std::string_view key, std::string_view expected)
{
    std::ostringstream found;
    found << node.type() << " for '" << key << "' in " << name_;
    problems_.error(place_of(node, file_), found.str(), std::string(expected));
}

void table_reader::text(std::string_view key, std::string& value, bool required)
{
    const toml::node* node = find(key);
    if (node == nullptr) {
        if (required) {
            problems_.error(place_of(table_, file_), name_ + " without '" + std::string(key) + "'",
                            "the key '" + std::string(key) + "'");
        }
        return;
    }
    const auto found = node->value_exact<std::string>();
    if (!found) {
        wrong_type(*node, key, "a string");
        return;
    }
    if (required && found->empty()) {
        problems_.error(place_of(*node, file_), "an empty '" + std::string(key) + "' in " + name_,
                        "a name of at least one character");
        return;
    }
    value = *found;
}

bool table_reader::integer(std::string_view key, std::int64_t least, std::int64_t most, std::int64_t& value)
{
    const toml::node* node = find(key);
    if (node == nullptr) {
        return false;
    }
    const auto found = node->value_exact<std::int64_t>();
    if (!found) {
        wrong_type(*node, key, "an integer");
        return false;
    }
    if (*found < least || *found > most) {
        problems_.error(place_of(*node, file_),
                        std::to_string(*found) + " for '" + std::string(key) + "' in " + name_,
                        "a value from " + std::to_string(least) + " to " + std::to_string(most));
        return false;
    }
    value = *found;
    return true;
}

void table_reader::number(std::string_view key, std::uint32_t& value, std::uint32_t least, std::uint32_t most)
{
    std::int64_t found = 0;
    if (integer(key, least, most, found)) {
        value = static_cast<std::uint32_t>(found);
    }
}

void table_reader::number(std::string_view key, std::int64_t& value, std::int64_t least, std::int64_t most)
{
    integer(key, least, most, value);
}

void table_reader::real(std::string_view key, double& value, double least, double most)
{
    const toml::node* node = find(key);
    if (node == nullptr) {
        return;
    }
    const auto found = node->value<double>();
    if (!found || !node->is_number()) {
        wrong_type(*node, key, "a number");
        return;
    }
    if (!(*found >= least && *found <= most)) {
        std::ostringstream text;
        text << *found << " for '" << key << "' in " << name_;
        std::ostringstream range;
        range << "a value from " << least << " to " << most;
        problems_.error(place_of(*node, file_), text.str(), range.str());
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
        wrong_type(*node, key, "true or false");
        return;
    }
    value = *found;
}

void table_reader::finish()
{
    for (const auto& [key, node] : table_) {
        if (std::find(known_.begin(), known_.end(), key.str()) != known_.end()) {
            continue;
        }
        std::string expected = "one of";
        for (const std::string& name : known_) {
            expected += " '" + name + "'";
        }
        problems_.error(place_of(node, file_), "unknown key '" + std::string(key.str()) + "' in " + name_,
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
        problems.error(place_of(node, file), "unknown key '" + std::string(key.str()) + "'", expected);
    }
}

}  // namespace waxwingnotch
