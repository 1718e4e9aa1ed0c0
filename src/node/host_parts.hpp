/// @file
/// Private types of host_manager.
#pragma once

#include "node/node_state.hpp"

namespace waxwingnotch {

constexpr std::int64_t poll_interval_ms = 250;  // between turns, and between lists where the link has room
// A drain request keeps new work off a worker for this long, also if no further one follows.
constexpr std::int64_t drain_request_ms = 1'500;
// An order without an answer may be carried out up to 12 s later; new work would be lost with the worker.
constexpr std::int64_t late_order_ms = 13'000;

/// Progress of the maintenance of one host in a wave.
struct host_manager::host_maintenance {
    bool ordered = false;    // an order was sent; it may be carried out even if no answer arrives
    bool confirmed = false;  // the host service has accepted the order
    bool excluded = false;   // not in the host list any more, or refused as invalid or not in the wave
    bool request_in_flight = false;      // a drain request or an order has not been answered
    std::string worker_id;               // of the host when the order was sent
    std::int64_t draining_since_ms = 0;  // monotonic; 0: draining has not begun
    std::int64_t confirmed_ms = 0;       // monotonic
};

/// State that a host is in by an order. Lists that were requested before may not show it.
struct host_manager::ordered_state {
    host_row_state state = host_row_state::up;
    std::int64_t answered_ms = 0;  // monotonic
};

/// Demand of a pool, as reported by the owner of its shard.
struct host_manager::pool_load {
    bool known = false;  // the owner has answered, or the pool is a standby pool
    std::int64_t waiting_cpu_ms = 0;
    std::int64_t running_cpu_milli = 0;
    std::int64_t running_memory_mb = 0;
    std::uint32_t min_workers = 0;
    std::set<std::string> busy;  // ids of workers with runs
};

/// Hosts, and the demand of all pools, collected in one turn.
struct host_manager::host_survey {
    turn_kind kind = turn_kind::latest_list;
    host_listing list;
    std::map<std::string, pool_load> loads;  // by pool
    std::size_t open = 0;                    // queries that have not been answered
};

}  // namespace waxwingnotch
