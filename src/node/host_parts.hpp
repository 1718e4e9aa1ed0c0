/// @file
/// Inner types of the host duty.
#pragma once

#include "node/node_state.hpp"

namespace waxwingnotch {

constexpr std::int64_t step_ms = 250;  // between looks at the hosts

/// How far the maintenance of one host has come.
struct host_keeper::host_work {
    bool ordered = false;    // an order has left; it may be carried out without an answer
    bool confirmed = false;  // the host service has answered that it is done or under way
    bool gone = false;       // not in the list any more, or not part of the wave
    bool asking = false;
    std::int64_t closing_since_ms = 0;
    std::int64_t confirmed_ms = 0;
};

/// What the owner of a pool says of its demand.
struct host_keeper::pool_load {
    bool known = false;
    std::int64_t waiting_cpu_ms = 0;
    std::int64_t running_cpu_milli = 0;
    std::int64_t running_memory_mb = 0;
    std::set<std::string> busy;  // workers on which something runs
};

/// Hosts and demand at one moment.
struct host_keeper::survey {
    host_list list;
    std::map<std::string, pool_load> loads;  // by pool
    std::size_t open = 0;                    // questions without an answer
};

}  // namespace waxwingnotch
