/// @file
/// Tells at once which jobs can never run, with the limit that they exceed. Judged by the inventory
/// and the rules, never by the condition of hosts: a pool that is down or drained may come back.
#pragma once

#include "waxwingnotch/fleet/state.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace waxwingnotch {

/// What a job declares.
struct declared_job {
    std::string_view service;
    std::int64_t size_mb = 0;      // 0: not declared
    std::int64_t run_time_ms = 0;  // 0: not declared
};

/// Which limit makes a job impossible.
enum class never_limit {
    none,             // it can run, now or later
    unknown_service,  // the rules have no such service
    empty_pool,       // the inventory gives the pool no host, and none is lent to it
    service_size,     // max_size_mb of the service
    host_memory,      // memory of the pool's largest host
    run_time,         // max_run_time_ms of the service
};

const char* to_string(never_limit limit);

/// The decision with its inputs.
struct never_verdict {
    never_limit limit = never_limit::none;
    std::string pool;           // of the service
    std::string service;        // as asked for
    std::int64_t declared = 0;  // MB or ms
    std::int64_t allowed = 0;   // in the same unit
    std::string host;           // with the most memory, for `host_memory`
    std::int64_t rules_version = 0;
    std::int64_t inventory_version = 0;
    std::string text() const;  // for the caller and the log line; empty with `none`
};

/// Judges jobs. Hosts count by their home pool and by the pool that they are in now, whatever their
/// condition and phase; hosts that the inventory dropped do not count. Before rules or inventory are
/// published nothing is judged by them.
class never_judge {
public:
    never_verdict judge(const fleet_state& state, const declared_job& job);

private:
    const host_state* largest_host(const fleet_state& state, std::string_view pool, std::int64_t size_mb);

    // A host of each pool that was the largest when last looked at. It is checked before each use, and
    // only if it does not fit the job are all hosts searched.
    std::map<std::string, std::string, std::less<>> largest_;
};

}  // namespace waxwingnotch
