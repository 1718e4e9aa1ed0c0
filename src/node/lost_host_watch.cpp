#include "node/lost_host_watch.hpp"

#include "node/node_state.hpp"

#include <algorithm>

namespace waxwingnotch {

bool host_is_lost(const host_listing& list, const std::string& worker)
{
    const bool runs = std::any_of(list.hosts.begin(), list.hosts.end(), [&](const host_row& row) {
        return row.state == host_row_state::up && row.worker_id == worker;
    });
    return list.ok && list.complete && !list.hosts.empty() && !runs;
}

void lost_host_watch::check()
{
    const bool missing = std::any_of(node_.shards.begin(), node_.shards.end(), [](const auto& entry) {
        return !entry.second->core().missing_workers().empty();
    });
    if (!missing || list_in_flight_ || !node_.hosts) {
        return;
    }
    list_in_flight_ = true;
    const bool requested =
        node_.lists.request(list_need::order, [this, alive = alive_](const host_listing& list) {
            if (*alive) {
                list_in_flight_ = false;
                on_list(list);
            }
        });
    list_in_flight_ = requested;
}

void lost_host_watch::on_list(const host_listing& list)
{
    for (auto& [shard, owner] : node_.shards) {
        for (const std::string& worker : owner->core().missing_workers()) {
            if (host_is_lost(list, worker)) {
                owner->note_host_lost(worker);
            }
        }
    }
}

}  // namespace waxwingnotch
