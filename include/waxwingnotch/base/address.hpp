/// @file
/// Numeric addresses in the form "ip:port".
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace waxwingnotch {

/// IP address and port.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;  // 0: any port; only for listening
};

/// Splits "ip:port" or "[ip6]:port".
/// @return nothing unless the text is a numeric IPv4 address, or IPv6 in brackets, with a port from 0 to
/// 65535
std::optional<endpoint> parse_endpoint(std::string_view address);

/// Whether a connection can be made to @p address: it is numeric and its port is not 0. Host names are not
/// accepted anywhere, since looking one up would block the event loop.
bool is_connectable(std::string_view address);

}  // namespace waxwingnotch
