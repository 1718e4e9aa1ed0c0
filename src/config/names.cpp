#include "config/names.hpp"

#include "waxwingnotch/base/address.hpp"

namespace waxwingnotch {

void name_table::define(const std::string& name, const source_location& location, findings& problems)
{
    if (name.empty()) {
        return;
    }
    const auto [entry, inserted] = names_.emplace(name, location);
    if (!inserted) {
        problems.error(location, "second " + kind_ + " '" + name + "'",
                       "a " + kind_ + " that is not defined yet (first at line " +
                           std::to_string(entry->second.line) + ")");
    }
}

void name_table::check_reference(const std::string& name, const source_location& location,
                                 findings& problems) const
{
    if (!name.empty() && !contains(name)) {
        problems.error(location, "unknown " + kind_ + " '" + name + "'", "a " + kind_ + " that is defined");
    }
}

void check_address(const std::string& address, const source_location& location, findings& problems)
{
    if (!parse_endpoint(address)) {
        problems.error(location, "address '" + address + "'", "a numeric address such as 127.0.0.1:8080");
    }
}

}  // namespace waxwingnotch
