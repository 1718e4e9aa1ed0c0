/// @file
/// What this node knows of each host at run time: its own requests in flight, the worker's
/// last words, and signs that the host is leaving.
#pragma once

#include "waxwingnotch/decision/routing.hpp"
#include "waxwingnotch/decision/worker_health.hpp"
#include "waxwingnotch/fleet/state.hpp"
#include "waxwingnotch/net/http_client.hpp"
#include "waxwingnotch/platform/host_list.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingnotch {

/// One host as this node sees it.
struct upstream {
    std::uint32_t in_flight = 0;     // sent by this node, not answered yet
    slot_report report;              // from the worker's last answer
    bool listed_leaving = false;     // the platform's list says so
    bool said_leaving = false;       // the worker's own answer to this node said so
    bool heard_leaving = false;      // another node says so; not passed on
    std::int64_t ejected_until = 0;  // monotonic ms; no work before
    std::uint32_t failures = 0;      // in a row
    std::int64_t answered_at = 0;    // monotonic ms of its last answer of any kind
};

/// Which host a request goes to, and why.
struct upstream_choice {
    std::string host;
    std::string runner_up;  // empty: no other host had room
    double load = 0;        // busy share of the chosen one
    std::size_t pool_hosts = 0;
};

/// What decides the choice for one request.
struct upstream_query {
    const fleet_state& state;
    std::string_view pool;
    std::uint32_t nodes = 1;  // entry nodes that share each host's connections
    std::int64_t now_ms = 0;  // monotonic
    std::uint64_t random = 0;
};

/// All hosts, and an index of them by pool. The index only proposes hosts: whether one may take work is
/// read from the state for each request, so an outdated index never sends work to a host that left.
class upstream_table {
public:
    using member_source = std::function<std::vector<std::string>()>;
    static constexpr std::int64_t index_valid_ms = 1'000;  // for changes that nobody reported
    static constexpr std::size_t subset_pool_hosts = 64;   // smaller pools are used whole

    upstream& at(std::string_view host);
    const upstream* find(std::string_view host) const;

    /// Tells who shares the workers, for subsets of large pools. Without it a node uses every host.
    /// @param members ids of the entry nodes that are alive, @p self included
    void use_members(std::string self, member_source members);
    /// Says that hosts changed, so that the next question builds the index anew.
    void hosts_changed() { stale_ = true; }

    /// @param exclude hosts that this request was tried on
    /// @return nothing if no host of the pool has room
    std::optional<upstream_choice> choose(const upstream_query& query,
                                          const std::vector<std::string>& exclude);
    /// @return true if a host of the pool that is not in @p exclude may take work, now or once it has room
    bool any_serving(const upstream_query& query, const std::vector<std::string>& exclude);
    /// @return slots of the hosts of @p pool that are available, whatever they run
    std::uint32_t pool_slots(const fleet_state& state, std::string_view pool, std::int64_t now_ms);

    /// @return available hosts of @p pool beyond its budget, less those that refuse connections
    std::uint32_t may_be_out(const fleet_state& state, std::string_view pool, std::int64_t now_ms) const;

    worker_health& health() { return health_; }

    /// Takes over the platform's list.
    void take_list(const std::vector<listed_host>& hosts);
    /// Takes over what a worker's answer says of its slots and of leaving.
    void take_answer(std::string_view host, std::uint32_t slots, const http_answer& answer,
                     std::int64_t now_ms);
    /// Takes over whether a worker says in its usage report that it is leaving.
    void take_usage(std::string_view host, const http_answer& answer);
    /// @return hosts with the mark @p flag, in name order
    std::vector<std::string> marked(bool upstream::*flag) const;

private:
    struct pool_host {
        std::string name;
        const upstream* known = nullptr;  // lives as long as the table
        std::uint32_t slots = 0;
    };
    struct pool_index {
        std::vector<pool_host> hosts;  // of this node's subset
        std::uint32_t slots = 0;       // of all available hosts
        bool subset = false;
    };

    const pool_index& index_of(const fleet_state& state, std::string_view pool, std::int64_t now_ms);
    void rebuild(const fleet_state& state);
    void keep_subset(const fleet_state& state, const std::vector<std::string>& members,
                     pool_index& pool) const;
    std::optional<route_candidate> candidate(const upstream_query& query, const pool_index& pool,
                                             const pool_host& item,
                                             const std::vector<std::string>& exclude) const;

    std::map<std::string, upstream, std::less<>> upstreams_;
    worker_health health_;
    std::map<std::string, pool_index, std::less<>> pools_;
    bool stale_ = true;
    std::int64_t indexed_at_ = 0;  // monotonic ms
    std::string self_;
    member_source members_;
};

}  // namespace waxwingnotch
