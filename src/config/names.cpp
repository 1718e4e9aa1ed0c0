#include "config/names.hpp"

#include <arpa/inet.h>

#include <array>
#include <charconv>

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

bool split_address(std::string_view text, std::string& ip, std::uint16_t& port)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    std::string_view ip_part = text.substr(0, colon);
    const std::string_view port_part = text.substr(colon + 1);
    const bool bracketed = ip_part.size() > 2 && ip_part.front() == '[' && ip_part.back() == ']';
    if (bracketed) {
        ip_part = ip_part.substr(1, ip_part.size() - 2);
    }
    ip = std::string(ip_part);
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    if (inet_pton(bracketed ? AF_INET6 : AF_INET, ip.c_str(), binary.data()) != 1) {
        return false;
    }
    const char* end = port_part.data() + port_part.size();
    const auto parsed = std::from_chars(port_part.data(), end, port);
    return parsed.ec == std::errc() && parsed.ptr == end;
}

void check_address(const std::string& address, const source_location& location, findings& problems)
{
    std::string ip;
    std::uint16_t port = 0;
    if (!split_address(address, ip, port)) {
        problems.error(location, "address '" + address + "'", "a numeric address such as 127.0.0.1:8080");
    }
}

}  // namespace waxwingnotch
