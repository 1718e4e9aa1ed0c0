/// @file
/// Run-time state of each host as this node sees it: the node's own requests in flight, the worker's
/// last slot report, and marks that the host is leaving. Chooses the host for a request.
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
    std::uint32_t in_flight = 0;           // sent by this node and not answered yet
    slot_report report;                    // from the worker's last answer
    bool listed_leaving = false;           // by the platform's host list
    bool worker_reported_leaving = false;  // by the worker's last answer to this node
    bool peer_reported_leaving = false;    // by another node's heartbeat; not relayed
    std::int64_t ejected_until = 0;        // monotonic ms; no requests are sent before
    std::uint32_t failures = 0;            // consecutive refused connections
    std::int64_t last_answer_ms = 0;       // monotonic; of the last answer, whatever its status
};

/// The host chosen for a request, with the inputs of the choice.
struct upstream_choice {
    std::string host;
    std::string runner_up;  // empty: no second candidate
    double load = 0;        // busy share of the chosen host's slots
    std::size_t pool_hosts = 0;
};

/// Inputs of the choice for one request.
struct upstream_query {
    const fleet_state& state;
    std::string_view pool;
    std::uint32_t nodes = 1;  // entry nodes that share each host's connections
    std::int64_t now_ms = 0;  // monotonic
    std::uint64_t random = 0;
};

/// All hosts, with an index by pool. The index only lists candidates: whether a host may take work is read
/// from the state for each request, so a stale index never sends work to a host that left.
class upstream_table {
public:
    using member_source = std::function<std::vector<std::string>()>;
    static constexpr std::int64_t index_valid_ms = 1'000;  // bounds the age if a change was not reported
    static constexpr std::size_t subset_pool_hosts = 64;   // a node uses all hosts of smaller pools

    upstream& at(std::string_view host);
    const upstream* find(std::string_view host) const;

    /// Sets the entry nodes that share the workers, so that this node uses a subset of each large pool.
    /// Without it, the node uses every host.
    /// @param members ids of the entry nodes that are alive, @p self included
    void use_members(std::string self, member_source members);
    /// Makes the next query rebuild the index. Call when hosts, their pools or their availability changed.
    void invalidate_index() { index_stale_ = true; }

    /// Chooses a host for a request.
    /// @param exclude hosts that this request was already sent to
    /// @return `nullopt` if no host of the pool has capacity
    std::optional<upstream_choice> choose(const upstream_query& query,
                                          const std::vector<std::string>& exclude);
    /// @return true if a host of the pool that is not in @p exclude may take work, even if its slots are
    ///         busy; a suspected host counts only below its limit
    bool any_serving(const upstream_query& query, const std::vector<std::string>& exclude);
    /// @return total slots of the available hosts of @p pool, busy ones included
    std::uint32_t pool_slots(const fleet_state& state, std::string_view pool, std::int64_t now_ms);

    /// @return number of available hosts of @p pool beyond its budget, without those that refuse connections
    std::uint32_t hosts_over_budget(const fleet_state& state, std::string_view pool,
                                    std::int64_t now_ms) const;

    worker_health& health() { return health_; }

    /// Applies the platform's host list.
    void apply_host_list(const std::vector<listed_host>& hosts);
    /// Applies the slot report and the leaving mark of a worker's answer.
    /// @param slots slots of the host; 0: unknown host
    void apply_answer(std::string_view host, std::uint32_t slots, const http_answer& answer,
                      std::int64_t now_ms);
    /// Applies the leaving mark of a worker's usage report.
    void apply_usage(std::string_view host, const http_answer& answer);
    /// @return hosts whose @p flag is set, in name order
    std::vector<std::string> hosts_with(bool upstream::*flag) const;

private:
    struct pool_host {
        std::string name;
        const upstream* known = nullptr;  // valid as long as the table
        std::uint32_t slots = 0;
    };
    struct pool_index {
        std::vector<pool_host> hosts;  // used by this node
        std::uint32_t slots = 0;       // of all available hosts of the pool
        bool subset = false;
    };

    const pool_index& index_of(const fleet_state& state, std::string_view pool, std::int64_t now_ms);
    void rebuild(const fleet_state& state);
    void restrict_to_subset(const fleet_state& state, const std::vector<std::string>& members,
                            pool_index& pool) const;
    std::optional<route_candidate> candidate(const upstream_query& query, const pool_index& pool,
                                             const pool_host& item,
                                             const std::vector<std::string>& exclude) const;

    std::map<std::string, upstream, std::less<>> upstreams_;
    worker_health health_;
    std::map<std::string, pool_index, std::less<>> pools_;
    bool index_stale_ = true;
    std::int64_t indexed_at_ = 0;  // monotonic ms
    std::string self_;
    member_source members_;
};

}  // namespace waxwingnotch
