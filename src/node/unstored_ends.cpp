/// Ends of runs that an owner has read and could not store before it lost its shard.
#include "node/node_state.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

namespace waxwingnotch {

namespace {

constexpr std::int64_t ends_keep_ms = 60'000;  // longer than any lease that tasks of the shard may wait for

}  // namespace

void keep_unstored_ends(node_state& node, int shard, const shard_owner& owner)
{
    const std::vector<ended_row> ends = owner.core().unstored_ends();
    if (ends.empty()) {
        return;
    }
    const std::int64_t now = monotonic_ms();
    const std::int64_t stalled_since_ms = owner.stalled_since_ms();
    node_state::undelivered_ends& backlog = node.undelivered[shard];
    if (backlog.ends.empty()) {
        backlog.oldest_ms = owner.core().oldest_unstored_end_ms();
    }
    backlog.ends.insert(backlog.ends.end(), ends.begin(), ends.end());
    backlog.since_ms = now;
    backlog.epoch = owner.epoch();
    backlog.stalled_ms = stalled_since_ms == 0 ? 0 : now - stalled_since_ms;
    log_event(log_level::warning, "ends_left",
              {{"shard", shard},
               {"epoch", backlog.epoch},
               {"ends", backlog.ends.size()},
               {"age_ms", now - backlog.oldest_ms},
               {"stalled_ms", backlog.stalled_ms}});
}

void send_ends(node_state& node, int shard, const std::string& address)
{
    const auto found = node.undelivered.find(shard);
    if (found == node.undelivered.end() || address.empty() || address == node.settings.internal_address) {
        return;
    }
    const node_state::undelivered_ends& kept = found->second;
    const std::string path = "/shard/ends?shard=" + std::to_string(shard) +
                             "&epoch=" + std::to_string(kept.epoch) +
                             "&age_ms=" + std::to_string(monotonic_ms() - kept.oldest_ms) +
                             "&stalled_ms=" + std::to_string(kept.stalled_ms);
    post_to_peer(
        node, address, path, encode_ends(kept.ends), [&node, shard, count = kept.ends.size()](bool accepted) {
            const auto backlog = node.undelivered.find(shard);
            if (accepted && backlog != node.undelivered.end() && backlog->second.ends.size() == count) {
                node.undelivered.erase(backlog);
            }
        });
}

void deliver_ends(node_state& node)
{
    for (auto at = node.undelivered.begin(); at != node.undelivered.end();) {
        const int shard = at->first;
        const node_state::undelivered_ends& kept = at->second;
        const std::int64_t age_ms = monotonic_ms() - kept.oldest_ms;
        if (shard_owner* owner = node.loaded_shard(shard)) {
            apply_reported_ends(*owner, kept.ends, kept.epoch, age_ms, kept.stalled_ms);
            at = node.undelivered.erase(at);
            continue;
        }
        if (monotonic_ms() - kept.since_ms > ends_keep_ms) {
            log_event(log_level::error, "ends_dropped",
                      {{"shard", shard},
                       {"epoch", kept.epoch},
                       {"ends", kept.ends.size()},
                       {"age_ms", age_ms},
                       {"stalled_ms", kept.stalled_ms}});
            at = node.undelivered.erase(at);
            continue;
        }
        send_ends(node, shard, node.group ? node.group->owner_of(shard) : std::string());
        ++at;
    }
}

}  // namespace waxwingnotch
