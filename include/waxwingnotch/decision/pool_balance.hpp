/// @file
/// Moves hosts between pools to follow demand that bursts in one queue after the other: for a few seconds a
/// queue needs several times its mean, more than its pool has, while the hosts of the other pools idle.
/// A pool that is short takes idle hosts from standby and from any pool that has more than it needs now.
/// Idle hosts return to the pools that are below their reserve; the rest wait in the standby pool, where
/// they cost nothing.
#pragma once

#include "waxwingnotch/job/spec.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace waxwingnotch {

/// Parameters of the balancing.
struct balance_policy {
    std::int64_t horizon_ms = 700;          // waiting work should start within this time
    double capacity_factor = 1.4;           // wanted capacity as a multiple of the demand
    std::uint32_t min_pool_hosts = 2;       // hosts that each pool keeps for the start of its next burst
    std::uint32_t max_moves = 30;           // moves per plan
    double kept_reserve = 0.5;              // share of its reserve that a pool does not give away
    std::int64_t return_delay_ms = 500;     // time that a surplus must last before hosts go to other pools
    std::int64_t surplus_delay_ms = 2'000;  // time that a surplus must last before hosts go to standby
};

/// A pool and its demand.
struct balance_pool {
    std::string name;
    bool standby = false;
    // Reserved by running tasks, and requested by waiting long-running tasks, which keep their resources
    // once started.
    std::int64_t running_cpu_milli = 0;
    std::int64_t running_memory_mb = 0;
    std::int64_t waiting_cpu_ms = 0;  // core-milliseconds of other waiting work
    std::uint32_t min_hosts = 0;      // for steps with a limit of tasks per worker
    std::uint32_t arriving = 0;       // hosts that are being moved into the pool
    std::uint32_t reserve = 0;        // hosts to keep for the next burst; a pool that is short may take them
    std::int64_t surplus_ms = 0;      // how long the pool has had more hosts than it keeps
};

/// A host that may be moved.
struct balance_host {
    std::string name;
    std::string pool;
    resources capacity;
    bool idle = false;     // no task runs there
    bool movable = false;  // up, and no other action is planned for it
};

/// One move, with the counts that led to it.
struct pool_move {
    std::string host;
    std::string from;
    std::string to;
    std::uint32_t wanted = 0;  // hosts that the receiving pool needs
    std::uint32_t had = 0;     // hosts that it has, arriving ones included
};

/// @return hosts that @p pool needs for its running and waiting work
/// @param host capacity of one host; memory is ignored if the host has none
std::uint32_t hosts_needed(const balance_pool& pool, const resources& host, const balance_policy& policy);

/// @return hosts that @p pool keeps while no other pool is short: what it needs, and its reserve
std::uint32_t hosts_kept(const balance_pool& pool, const resources& host, const balance_policy& policy);

/// @return moves of idle hosts: first to the pools that lack most in proportion to their need, then of a
///         surplus to pools below their reserve, then of the remaining surplus to standby
std::vector<pool_move> balance_pools(std::span<const balance_pool> pools, std::span<const balance_host> hosts,
                                     const balance_policy& policy);

}  // namespace waxwingnotch
