/// @file
/// Moves hosts between pools as demand moves. Answers turns of demand: each queue in its moment asks
/// for several times its mean during a few seconds, more than its pool holds, while the hosts of the
/// other pools idle. Hosts that nobody needs wait in the standby pool, where they cost nothing.
#pragma once

#include "waxwingnotch/job/spec.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace waxwingnotch {

struct balance_policy {
    std::int64_t horizon_ms = 700;   // work that waits should begin within this time
    double reserve = 1.4;            // capacity wanted, relative to the demand
    std::uint32_t keep_hosts = 2;    // each pool keeps so many for the start of its turn
    std::uint32_t most_moves = 30;   // ordered at once
    std::int64_t settle_ms = 2'000;  // a surplus has to last before hosts go to standby
};

/// A pool with its demand.
struct balance_pool {
    std::string name;
    bool standby = false;
    // Reserved by what runs, and wanted by the long-running tasks that wait: these need their room for good.
    std::int64_t running_cpu_milli = 0;
    std::int64_t running_memory_mb = 0;
    std::int64_t waiting_cpu_ms = 0;  // core-milliseconds of other work that waits
    std::uint32_t arriving = 0;       // hosts on their way into it
    std::int64_t surplus_ms = 0;      // how long it has had more than it needs
};

/// A host that may be moved.
struct balance_host {
    std::string name;
    std::string pool;
    resources capacity;
    bool idle = false;     // nothing runs there
    bool movable = false;  // up, and nothing else is planned for it
};

/// One move, with the figures that led to it.
struct pool_move {
    std::string host;
    std::string from;
    std::string to;
    std::uint32_t wanted = 0;  // hosts that the receiving pool needs
    std::uint32_t had = 0;     // and has, those on their way included
};

/// Hosts that @p pool needs for what runs and waits.
/// @param host capacity of one; a respect in which it has none is not counted
std::uint32_t hosts_needed(const balance_pool& pool, const resources& host, const balance_policy& policy);

/// @return moves of idle hosts: to the pools that are shortest first, then of a surplus to standby
std::vector<pool_move> balance_pools(std::span<const balance_pool> pools, std::span<const balance_host> hosts,
                                     const balance_policy& policy);

}  // namespace waxwingnotch
