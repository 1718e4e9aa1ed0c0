#include "waxwingnotch/net/address.hpp"

#include <charconv>

namespace waxwingnotch {

endpoint parse_endpoint(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos) {
        return {};
    }
    std::string_view ip = address.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    }
    endpoint parts{std::string(ip), 0};
    const std::string_view port = address.substr(colon + 1);
    std::from_chars(port.data(), port.data() + port.size(), parts.port);
    return parts;
}

}  // namespace waxwingnotch
