#include "waxwingnotch/net/link_budget.hpp"

#include <algorithm>
#include <limits>

namespace waxwingnotch {

namespace {

// The rest is for headers of TCP and IP, and for what arrives unasked.
constexpr double usable_share = 0.9;
constexpr double bytes_per_kbit = 125.0;
constexpr double ms_per_s = 1'000.0;
constexpr double mean_weight = 0.1;  // of the newest answer in the moving average
// Of the time that a call has waited, up to the limit; it keeps the backlog below the time-outs of orders.
constexpr double waited_share = 0.25;
constexpr std::int64_t max_waited_bonus_ms = 80;

/// Backlog in ms up to which calls of a class are admitted, in the order of traffic_class. An order without
/// an answer for 400 ms counts as lost, and a join is as urgent as all joins before it.
constexpr std::array<std::int64_t, traffic_class_count> max_backlog_ms = {
    std::numeric_limits<std::int32_t>::max(),  // ownership
    180,                                       // orders
    140,                                       // polls
    260,                                       // journal
    140,                                       // jobs
    120,                                       // configuration
    100,                                       // registrations
    60,                                        // relays
    180,                                       // peers
    180,                                       // callers
    60,                                        // hosts
    100,                                       // other
};

/// Whether the answers of the class may take more than a moment of a narrow link.
constexpr bool in_bulk(traffic_class what)
{
    return what == traffic_class::jobs || what == traffic_class::configuration ||
           what == traffic_class::registrations || what == traffic_class::relays ||
           what == traffic_class::hosts || what == traffic_class::other;
}

}  // namespace

link_budget::link_budget(std::int64_t link_kbps)
    : bytes_per_ms_(static_cast<double>(link_kbps) * bytes_per_kbit * usable_share / ms_per_s)
{
}

double link_budget::left(const queue& direction, std::int64_t now_ms) const
{
    const auto drained = static_cast<double>(now_ms - direction.at_ms) * bytes_per_ms_;
    return std::max(0.0, direction.bytes - drained);
}

void link_budget::change(queue& direction, double bytes, std::int64_t now_ms)
{
    direction.bytes = std::max(0.0, left(direction, now_ms) + bytes);
    direction.at_ms = now_ms;
}

std::int64_t link_budget::backlog_ms(std::int64_t now_ms) const
{
    if (!limited()) {
        return 0;
    }
    return static_cast<std::int64_t>(std::max(left(sent_, now_ms), left(received_, now_ms)) / bytes_per_ms_);
}

std::int64_t link_budget::full_backlog_ms(std::int64_t now_ms) const
{
    if (!limited()) {
        return 0;
    }
    const double all_received = left(received_, now_ms) + left(received_in_bulk_, now_ms);
    return static_cast<std::int64_t>(std::max(left(sent_, now_ms), all_received) / bytes_per_ms_);
}

std::int64_t link_budget::transfer_ms(std::size_t bytes) const
{
    return limited() ? static_cast<std::int64_t>(static_cast<double>(bytes) / bytes_per_ms_) : 0;
}

bool link_budget::admits(traffic_class what, std::int64_t waited_ms, std::int64_t now_ms) const
{
    const auto bonus_ms = std::min(max_waited_bonus_ms,
                                   static_cast<std::int64_t>(static_cast<double>(waited_ms) * waited_share));
    // An order whose answer is late counts as lost, and is followed by a stop and another start.
    const bool waits_for_bulk = in_bulk(what) || what == traffic_class::orders;
    const std::int64_t backlog = waits_for_bulk ? full_backlog_ms(now_ms) : backlog_ms(now_ms);
    return backlog <= max_backlog_ms[static_cast<std::size_t>(what)] + bonus_ms;
}

link_budget::queue& link_budget::received_queue(traffic_class what)
{
    return in_bulk(what) ? received_in_bulk_ : received_;
}

std::size_t link_budget::expect_answer(traffic_class what, std::int64_t now_ms)
{
    const double expected = mean_answer_[static_cast<std::size_t>(what)];
    change(received_queue(what), expected, now_ms);
    return static_cast<std::size_t>(expected);
}

void link_budget::add(traffic_class what, const traffic_bytes& bytes, std::int64_t now_ms)
{
    change(sent_, static_cast<double>(bytes.sent), now_ms);
    change(received_queue(what), static_cast<double>(bytes.received), now_ms);
}

void link_budget::on_refused(traffic_class what, std::size_t expected, std::int64_t now_ms)
{
    change(received_queue(what), -static_cast<double>(expected), now_ms);
}

void link_budget::on_answer(traffic_class what, std::size_t expected, std::size_t received,
                            std::int64_t now_ms)
{
    if (received == 0) {
        return;
    }
    double& mean = mean_answer_[static_cast<std::size_t>(what)];
    mean += mean_weight * (static_cast<double>(received) - mean);
    if (received < expected) {
        change(received_queue(what), -static_cast<double>(expected - received), now_ms);
    }
}

}  // namespace waxwingnotch
