/// @file
/// What this node knows of each host at run time: its own requests in flight, the worker's
/// last words, and signs that the host is leaving.
#pragma once

#include "waxwingnotch/decision/routing.hpp"
#include "waxwingnotch/fleet/state.hpp"
#include "waxwingnotch/net/http_client.hpp"
#include "waxwingnotch/platform/host_list.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingnotch {

/// One host as this node sees it.
struct upstream {
    std::uint32_t in_flight = 0;       // sent by this node, not answered yet
    std::uint32_t busy_elsewhere = 0;  // from the worker's last answer
    bool listed_leaving = false;       // the platform's list says so
    bool said_leaving = false;         // the worker's own answer said so
    std::int64_t ejected_until = 0;    // monotonic ms; no work before
    std::uint32_t failures = 0;        // in a row
};

/// All hosts.
class upstream_table {
public:
    upstream& at(std::string_view host);
    const upstream* find(std::string_view host) const;

    /// Hosts that may take work of @p pool now.
    /// @param nodes entry nodes that share each host's connections, at least 1
    /// @param exclude hosts that this request was tried on
    std::vector<route_candidate> candidates(const fleet_state& state, std::string_view pool,
                                            std::uint32_t nodes, std::int64_t now_ms,
                                            const std::vector<std::string>& exclude) const;

    /// @return slots of the hosts of @p pool that serve, whatever they run
    std::uint32_t pool_slots(const fleet_state& state, std::string_view pool) const;

    /// Takes over the platform's list.
    void take_list(const std::vector<listed_host>& hosts);
    /// Takes over what a worker's answer says of its slots and of leaving.
    void take_answer(std::string_view host, std::uint32_t slots, const http_answer& answer);

private:
    std::map<std::string, upstream, std::less<>> upstreams_;
};

}  // namespace waxwingnotch
