/// @file
/// Tracks workers that report that they are leaving. Nodes share these reports in their heartbeats,
/// so that a worker that announces it only by refusing tasks is found by one node and not by each in
/// turn. Every node polls such workers and clears the mark once a worker no longer reports it, so
/// that a worker that stays gets work again.
#pragma once

#include "waxwingnotch/entry/fleet_view.hpp"
#include "waxwingnotch/entry/upstreams.hpp"
#include "waxwingnotch/net/http_client.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace waxwingnotch {

/// Leaving workers, as one node knows them.
class leaving_monitor {
public:
    static constexpr std::int64_t poll_interval_ms = 5'000;  // between polls of a leaving worker
    static constexpr std::size_t max_reported = 256;         // hosts in one heartbeat

    leaving_monitor(event_loop& loop, http_client& client, const fleet_view& view, upstream_table& upstreams);
    void start();

    /// Marks hosts that another node reported in its heartbeat.
    void receive(const std::vector<std::string>& hosts);
    /// @return hosts for this node's heartbeat: only workers that reported to this node directly. If nodes
    ///         relayed each other's reports, two nodes would keep a report alive for ever, although the
    ///         worker stays.
    std::vector<std::string> reported_hosts() const;

private:
    void poll(const std::string& host, const std::string& address);
    void poll_all();

    event_loop& loop_;
    http_client& client_;
    const fleet_view& view_;
    upstream_table& upstreams_;
    std::set<std::string> polling_;
    timer tick_;
};

}  // namespace waxwingnotch
