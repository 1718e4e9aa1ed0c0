#include "node/host_lists.hpp"

#include "node/node_state.hpp"

#include "waxwingnotch/base/clock.hpp"

#include <utility>

namespace waxwingnotch {

host_lists::host_lists(node_state& node) : node_(node), pace_(node.settings.link_kbps) {}

bool host_lists::request(list_need need, std::function<void(const host_listing&)> done)
{
    const std::int64_t now = monotonic_ms();
    if (!pace_.admits(need, now)) {
        return false;
    }
    const std::int64_t expected = pace_.begin(now);
    const std::uint64_t received = node_.traffic.bytes(traffic_class::hosts).received;
    const bool alone = open_ == 0;
    ++open_;
    node_.hosts->list([this, expected, received, number = ++begun_, alone, done = std::move(done),
                       alive = alive_](const host_listing& list) {
        if (*alive) {
            note_cost(expected, received, number, alone, list.ok);
        }
        done(list);
    });
    return true;
}

/// @param alone no other list was open when this one began
void host_lists::note_cost(std::int64_t expected, std::uint64_t received_before, std::uint64_t number,
                           bool alone, bool whole)
{
    --open_;
    // The bytes of two lists at the same time cannot be told apart; both cost about as much as the latest
    // one.
    if ((!alone || number != begun_) && expected > 0) {
        pace_.end(expected, expected, false, monotonic_ms());
        return;
    }
    const std::uint64_t received = node_.traffic.bytes(traffic_class::hosts).received;
    pace_.end(expected, static_cast<std::int64_t>(received - received_before), whole, monotonic_ms());
}

}  // namespace waxwingnotch
