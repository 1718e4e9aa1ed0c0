/// @file
/// Naive check for jobs that can never run: scans all hosts on each call.
#pragma once

#include "waxwingnotch/decision/never_runnable.hpp"

namespace waxwingnotch::naive {

inline bool never_runnable(const fleet_state& state, const declared_job& job)
{
    const service_rule* service = find_service(state, job.service);
    if (service == nullptr || job.size_mb > service->max_size_mb ||
        job.run_time_ms > service->max_run_time_ms) {
        return true;
    }
    for (const auto& [name, machine] : state.hosts) {
        const bool of_pool = machine.spec.pool == service->pool || machine.pool == service->pool;
        if (of_pool && !machine.removed && job.size_mb <= machine.spec.memory_gb * 1'024L) {
            return false;
        }
    }
    return true;
}

}  // namespace waxwingnotch::naive
