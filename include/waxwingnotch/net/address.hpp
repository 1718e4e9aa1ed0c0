/// @file
/// Numeric addresses in the form "ip:port".
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace waxwingnotch {

/// IP address and port.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;
};

/// Splits "ip:port" or "[ip6]:port" without validating the parts: addresses are checked when settings
/// are read.
/// @return an empty ip and port 0 if there is no port
endpoint parse_endpoint(std::string_view address);

}  // namespace waxwingnotch
