#include "node/node_state.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

#include <string>

namespace waxwingnotch {

namespace {

constexpr std::int64_t check_interval_ms = 1'000;
constexpr std::int64_t log_interval_ms = 10'000;
constexpr std::int64_t full_log_interval_ms = 2'000;  // while the link is nearly full
constexpr std::int64_t nearly_full_percent = 80;

/// @return `NAME:SENT/RECEIVED` for each class with bytes since @p before, separated by spaces
std::string describe(const traffic_meter& now, const traffic_meter& before)
{
    std::string text;
    for (std::size_t index = 0; index < traffic_class_count; ++index) {
        const auto what = static_cast<traffic_class>(index);
        const std::uint64_t sent = now.bytes(what).sent - before.bytes(what).sent;
        const std::uint64_t received = now.bytes(what).received - before.bytes(what).received;
        if (sent == 0 && received == 0) {
            continue;
        }
        text += text.empty() ? "" : " ";
        text += std::string(to_string(what)) + ":" + std::to_string(sent) + "/" + std::to_string(received);
    }
    return text;
}

}  // namespace

void traffic_log::start()
{
    last_log_ms_ = monotonic_ms();
    timer_ = node_.loop.every(check_interval_ms, [this] { update(); });
}

void traffic_log::update()
{
    const std::int64_t now = monotonic_ms();
    node_.link.update(node_.traffic.total(), now);
    const bool nearly_full = node_.link.percent() >= nearly_full_percent;
    if (now - last_log_ms_ < (nearly_full ? full_log_interval_ms : log_interval_ms)) {
        return;
    }
    log_event(nearly_full ? log_level::warning : log_level::info, "traffic",
              {{"link_kbps", node_.settings.link_kbps},
               {"link_percent", node_.link.percent()},
               {"ms", now - last_log_ms_},
               {"bytes", describe(node_.traffic, last_)}});
    last_log_ms_ = now;
    last_ = node_.traffic;
}

}  // namespace waxwingnotch
