#include "waxwingnotch/base/findings.hpp"

#include <algorithm>

namespace waxwingnotch {

void findings::error(source_location location, std::string found, std::string expected)
{
    items_.push_back({severity::error, std::move(location), std::move(found), std::move(expected)});
}

void findings::warning(source_location location, std::string found, std::string expected)
{
    items_.push_back({severity::warning, std::move(location), std::move(found), std::move(expected)});
}

void findings::append(const findings& other)
{
    items_.insert(items_.end(), other.items_.begin(), other.items_.end());
}

bool findings::has_errors() const
{
    return std::any_of(items_.begin(), items_.end(),
                       [](const finding& item) { return item.level == severity::error; });
}

std::string to_string(const finding& item)
{
    std::string text = item.location.file;
    if (item.location.line > 0) {
        text += ":" + std::to_string(item.location.line) + ":" + std::to_string(item.location.column);
    }
    text += item.level == severity::error ? ": error: " : ": warning: ";
    text += "found " + item.found + ", expected " + item.expected;
    return text;
}

}  // namespace waxwingnotch
