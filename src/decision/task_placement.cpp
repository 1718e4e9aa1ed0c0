#include "waxwingnotch/decision/task_placement.hpp"

#include <algorithm>

namespace waxwingnotch {

namespace {

// Costs in units of one worker's CPU capacity. A criterion that must outweigh another is a few times larger.
constexpr double failure_cost = 8.0;
constexpr double failed_task_cost = 4.0;
// Outside the rack of the data, or of the other tasks of a same_rack step.
constexpr double remote_cost = 2.0;
constexpr double shared_rack_cost = 1.0;    // per task of the same long-running step in the rack
constexpr double shared_worker_cost = 2.0;  // per task of the same long-running step on the worker

double cost_of(const step_spec& step, const placement_candidate& candidate)
{
    double cost = candidate.failure_rate * failure_cost;
    cost += candidate.failed_task ? failed_task_cost : 0;
    if (!step.data_rack.empty() && (candidate.rack == nullptr || *candidate.rack != step.data_rack)) {
        cost += remote_cost;
    }
    if (step.same_rack && candidate.same_step_rack > 0) {
        cost -= remote_cost;
    }
    if (step.long_running) {
        cost += candidate.same_step_rack * shared_rack_cost + candidate.same_step * shared_worker_cost;
    }
    // Best fit: keeps the free CPU in large pieces for tasks that need much of it.
    const double capacity =
        static_cast<double>(candidate.capacity.cpu_milli > 0 ? candidate.capacity.cpu_milli : 1);
    const double free_after =
        static_cast<double>(candidate.free.cpu_milli - (step.uses_spare_cpu ? 0 : step.need.cpu_milli));
    // A task that only takes left-over CPU goes to the worker with the most of it.
    return cost + (step.uses_spare_cpu ? -free_after : free_after) / capacity;
}

}  // namespace

bool fits(const step_spec& step, const resources& free)
{
    return (step.uses_spare_cpu || step.need.cpu_milli <= free.cpu_milli) &&
           step.need.memory_mb <= free.memory_mb && step.need.gpus <= free.gpus;
}

int choose_worker(const step_spec& step, std::span<const placement_candidate> candidates)
{
    int best = -1;
    double best_cost = 0;
    for (std::size_t at = 0; at < candidates.size(); ++at) {
        const placement_candidate& candidate = candidates[at];
        if (!candidate.eligible || !fits(step, candidate.free)) {
            continue;
        }
        if (step.max_per_worker > 0 && candidate.same_step >= step.max_per_worker) {
            continue;
        }
        const double cost = cost_of(step, candidate);
        if (best < 0 || cost < best_cost) {
            best = static_cast<int>(at);
            best_cost = cost;
        }
    }
    return best;
}

const char* to_string(wait_reason reason)
{
    switch (reason) {
    case wait_reason::none:
        return "none";
    case wait_reason::no_worker:
        return "no worker takes tasks";
    case wait_reason::no_room:
        return "no worker has room";
    case wait_reason::not_eligible:
        return "no worker with room may run the task";
    case wait_reason::worker_limit:
        return "the limit of tasks per worker is reached";
    }
    return "unnamed";
}

wait_reason why_waiting(const step_spec& step, std::span<const placement_candidate> candidates)
{
    wait_reason reason = wait_reason::no_worker;
    for (const placement_candidate& candidate : candidates) {
        wait_reason here = wait_reason::none;
        if (!fits(step, candidate.free)) {
            here = wait_reason::no_room;
        }
        else if (!candidate.eligible) {
            here = wait_reason::not_eligible;
        }
        else if (step.max_per_worker > 0 && candidate.same_step >= step.max_per_worker) {
            here = wait_reason::worker_limit;
        }
        if (here == wait_reason::none) {
            return here;
        }
        reason = std::max(reason, here);  // the candidate that comes closest
    }
    return reason;
}

}  // namespace waxwingnotch
