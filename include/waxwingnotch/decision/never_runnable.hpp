/// @file
/// Detects at submission jobs that can never run, and names the limit that they exceed. Only the inventory
/// and the rules decide, never the condition of hosts: a pool that is down or drained may come back.
#pragma once

#include "waxwingnotch/fleet/state.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace waxwingnotch {

/// The declared properties of a job.
struct declared_job {
    std::string_view service;
    std::int64_t size_mb = 0;      // 0: not declared
    std::int64_t run_time_ms = 0;  // 0: not declared
};

/// The limit that keeps a job from ever running.
enum class exceeded_limit {
    none,             // it can run, now or later
    unknown_service,  // the rules have no such service
    empty_pool,       // the inventory assigns no host to the pool, and no other host is in it
    service_size,     // max_size_mb of the service
    host_memory,      // memory of the pool's largest host
    run_time,         // max_run_time_ms of the service
};

const char* to_string(exceeded_limit limit);

/// The decision with its inputs.
struct runnable_result {
    exceeded_limit limit = exceeded_limit::none;
    std::string pool;           // of the service
    std::string service;        // as requested
    std::int64_t declared = 0;  // MB or ms
    std::int64_t allowed = 0;   // in the same unit
    std::string host;           // the host with the most memory; only for `host_memory`
    std::int64_t rules_version = 0;
    std::int64_t inventory_version = 0;
    std::string text() const;  // for the caller and the log line; empty with `none`
};

/// Checks jobs. A host counts for its home pool and for its current pool, whatever its condition and
/// phase; hosts that the inventory dropped do not count. Checks against the rules or the inventory are
/// skipped until the first version is published.
class runnable_check {
public:
    runnable_result check(const fleet_state& state, const declared_job& job);

private:
    const host_state* largest_host(const fleet_state& state, std::string_view pool, std::int64_t size_mb);

    // Caches the largest host of each pool, by pool name. An entry is validated before each use; all hosts
    // are searched only if the cached host no longer belongs to the pool or is too small for the job.
    std::map<std::string, std::string, std::less<>> largest_hosts_;
};

}  // namespace waxwingnotch
