/// @file
/// Checks of names, references and addresses that all inputs share.
#pragma once

#include "waxwingnotch/base/findings.hpp"

#include <map>
#include <string>
#include <string_view>

namespace waxwingnotch {

/// The names that an input defines for one kind of object.
class name_table {
public:
    /// @param kind name of the kind in findings, such as "rack"
    explicit name_table(std::string_view kind) : kind_(kind) {}

    /// Records a definition; reports a second definition of the same name.
    void define(const std::string& name, const source_location& location, findings& problems);
    /// Reports a reference to a name that is not defined. Ignores an empty name, which was reported already.
    void check_reference(const std::string& name, const source_location& location, findings& problems) const;
    bool contains(const std::string& name) const { return names_.count(name) > 0; }

private:
    std::string kind_;
    std::map<std::string, source_location> names_;
};

/// Reports an address that is not "ip:port" with a numeric IP.
void check_address(const std::string& address, const source_location& location, findings& problems);

}  // namespace waxwingnotch
