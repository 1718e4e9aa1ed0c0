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

/// Why no candidate can take a task.
enum class wait_reason : std::uint8_t {
    none,          // a candidate can take it
    no_worker,     // there is no candidate
    no_room,       // the task fits into no candidate's free resources
    not_eligible,  // no candidate with room has the label, is allowed for the step, or lacks a run of the
                   // task
    worker_limit,  // each candidate that is left runs as many tasks of the step as one worker may
};
constexpr std::size_t wait_reason_count = 5;
const char* to_string(wait_reason reason);

/// @return why choose_worker() would find none of @p candidates
wait_reason why_waiting(const step_spec& step, std::span<const placement_candidate> candidates);

}  // namespace waxwingnotch
