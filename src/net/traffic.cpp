#include "waxwingnotch/net/traffic.hpp"

#include <algorithm>

namespace waxwingnotch {

namespace {

constexpr std::int64_t reading_interval_ms = 1'000;
constexpr std::array<const char*, traffic_class_count> names = {
    "ownership",     "orders", "polls", "journal", "jobs",  "configuration",
    "registrations", "relays", "peers", "callers", "hosts", "other",
};

}  // namespace

const char* to_string(traffic_class what)
{
    return names[static_cast<std::size_t>(what)];
}

traffic_class traffic_class_named(std::string_view name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? traffic_class::other : static_cast<traffic_class>(found - names.begin());
}

void traffic_meter::add(traffic_class what, const traffic_bytes& bytes)
{
    traffic_bytes& sum = bytes_[static_cast<std::size_t>(what)];
    sum.sent += bytes.sent;
    sum.received += bytes.received;
}

traffic_bytes traffic_meter::total() const
{
    traffic_bytes sum;
    for (const traffic_bytes& one : bytes_) {
        sum.sent += one.sent;
        sum.received += one.received;
    }
    return sum;
}

void link_usage::update(const traffic_bytes& total, std::int64_t now_ms)
{
    const std::int64_t passed_ms = now_ms - latest_ms_;
    if (latest_ms_ != 0 && passed_ms < reading_interval_ms) {
        return;
    }
    if (latest_ms_ != 0 && link_kbps_ > 0) {
        constexpr std::int64_t bits = 8;
        constexpr std::int64_t whole = 100;
        const auto fuller =
            static_cast<std::int64_t>(std::max(total.sent - latest_.sent, total.received - latest_.received));
        percent_ = fuller * bits * whole / (link_kbps_ * passed_ms);  // 1 kbit/s is 1 bit a millisecond
    }
    latest_ = total;
    latest_ms_ = now_ms;
}

}  // namespace waxwingnotch
