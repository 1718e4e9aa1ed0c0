/// @file
/// Chooses the worker that a task starts on. Handles nearly full pools, failures of whole racks, and workers
/// whose tasks fail or stall.
#pragma once

#include "waxwingnotch/job/spec.hpp"

#include <cstdint>
#include <span>
#include <string>

namespace waxwingnotch {

/// A worker as a candidate for one task.
struct placement_candidate {
    const std::string* rack = nullptr;
    resources capacity;
    resources free;
    std::uint32_t same_step = 0;       // running tasks of the same step on this worker
    std::uint32_t same_step_rack = 0;  // running tasks of the same step in its rack
    bool eligible = true;              // ready, reachable, allowed for the step, and its labels match
    bool failed_task = false;          // this task has failed on this worker before
    double failure_rate = 0;           // share of recent runs that failed or stalled, 0 to 1
};

/// @return true if the step's need fits into @p free; a task that only takes left-over CPU (`uses_spare_cpu`)
/// needs none
bool fits(const step_spec& step, const resources& free);

/// @return index of the best candidate, or -1 if none can take the task
int choose_worker(const step_spec& step, std::span<const placement_candidate> candidates);

}  // namespace waxwingnotch
