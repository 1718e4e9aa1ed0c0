/// @file
/// Checks of names, references and addresses, shared by all inputs.
#pragma once

#include "waxwingnotch/base/findings.hpp"

#include <map>
#include <string>
#include <string_view>

namespace waxwingnotch {

/// The names of one kind that an input defines.
class name_table {
public:
    /// @param kind how the kind is called in findings, such as "rack"
    explicit name_table(std::string_view kind) : kind_(kind) {}

    /// Records a definition; a second one of the same name is a finding.
    void define(const std::string& name, const place& where, findings& problems);
    /// Reports a name that is not defined. An empty name was reported already.
    void refer(const std::string& name, const place& where, findings& problems) const;
    bool contains(const std::string& name) const { return names_.count(name) > 0; }

private:
    std::string kind_;
    std::map<std::string, place> names_;
};

/// Splits "ip:port".
/// @return false unless the text is a numeric IPv4 address, or IPv6 in brackets, with a port
bool split_address(std::string_view text, std::string& ip, std::uint16_t& port);

/// Reports an address that is not "ip:port" with a numeric IP.
void check_address(const std::string& address, const place& where, findings& problems);

}  // namespace waxwingnotch
