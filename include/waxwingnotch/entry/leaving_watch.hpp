/// @file
/// Workers that say that they are leaving: nodes tell one another in their heartbeats, and each
/// asks such a worker again until it says otherwise. So a worker that only refuses is met by one
/// node and not by each in turn, and one that stays after all gets work again.
#pragma once

#include "waxwingnotch/entry/fleet_view.hpp"
#include "waxwingnotch/entry/upstreams.hpp"
#include "waxwingnotch/net/http_client.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace waxwingnotch {

/// The leaving workers of a node.
class leaving_watch {
public:
    static constexpr std::int64_t interval_ms = 5'000;  // between questions to a leaving worker
    static constexpr std::size_t max_told = 256;        // hosts in a heartbeat

    leaving_watch(event_loop& loop, http_client& client, const fleet_view& view, upstream_table& upstreams);
    void start();

    /// Takes over what another node told.
    void hear(const std::vector<std::string>& hosts);
    /// Hosts for this node's heartbeat: only those that told this node themselves. Two nodes that passed on
    /// what they had heard would remind one another for ever of a worker that stays after all.
    std::vector<std::string> told() const;

private:
    void ask(const std::string& host, const std::string& address);
    void ask_all();

    event_loop& loop_;
    http_client& client_;
    const fleet_view& view_;
    upstream_table& upstreams_;
    std::set<std::string> asking_;
    timer tick_;
};

}  // namespace waxwingnotch
