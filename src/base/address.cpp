#include "waxwingnotch/base/address.hpp"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace waxwingnotch {

std::optional<endpoint> parse_endpoint(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view ip = address.substr(0, colon);
    const std::string_view port = address.substr(colon + 1);
    const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (bracketed) {
        ip = ip.substr(1, ip.size() - 2);
    }
    endpoint parsed{std::string(ip), 0};
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    // inet_pton() reads up to the first zero byte.
    if (ip.find('\0') != std::string_view::npos ||
        inet_pton(bracketed ? AF_INET6 : AF_INET, parsed.ip.c_str(), binary.data()) != 1) {
        return std::nullopt;
    }
    const char* end = port.data() + port.size();
    const auto [read, problem] = std::from_chars(port.data(), end, parsed.port);
    if (problem != std::errc() || read != end) {
        return std::nullopt;
    }
    return parsed;
}

bool is_connectable(std::string_view address)
{
    const std::optional<endpoint> target = parse_endpoint(address);
    return target && target->port != 0;
}

}  // namespace waxwingnotch
