/// Reports of a shard on long-running tasks that wait. Their callers are not served, and nothing else in the
/// log would tell why.
#include "shard/core_parts.hpp"

#include "waxwingnotch/base/log.hpp"

#include <algorithm>

namespace waxwingnotch {

namespace {

constexpr std::int64_t report_interval_ms = 1'000;
constexpr std::int64_t usual_wait_ms = 500;  // a stop, the store and a scheduling round; not worth a line

}  // namespace

void shard_core::report_waiting_tasks(std::int64_t now_ms)
{
    if (now_ms - last_waiting_report_ms_ < report_interval_ms) {
        return;
    }
    last_waiting_report_ms_ = now_ms;
    waiting_tasks_.fill(0);
    for (const occurrence_entry* occurrence : open_) {
        if (occurrence->waiting_tasks == 0 || now_ms - occurrence->due_ms < usual_wait_ms) {
            continue;
        }
        for (std::uint32_t step = 0; step < occurrence->progress.steps.size(); ++step) {
            if (occurrence->step(step).long_running && occurrence->progress.ready(occurrence->step(step))) {
                report_waiting_step(*occurrence, step, now_ms);
            }
        }
    }
}

/// Counts the waiting tasks of a step by their reason, and logs a line for the first of them.
void shard_core::report_waiting_step(const occurrence_entry& occurrence, std::uint32_t step,
                                     std::int64_t now_ms)
{
    const std::vector<task_progress>& tasks = occurrence.progress.steps[step];
    const auto waits = [](const task_progress& task) {
        return task.phase == task_phase::waiting;
    };
    const auto found = std::find_if(tasks.begin(), tasks.end(), waits);
    if (found == tasks.end()) {
        return;
    }
    const auto first = static_cast<std::uint32_t>(found - tasks.begin());
    const auto waiting = static_cast<std::size_t>(std::count_if(found, tasks.end(), waits));
    const placement_round round = make_round(occurrence.job->spec.service, now_ms);
    const wait_reason reason =
        why_waiting(occurrence.step(step), make_candidates(occurrence, step, first, round.views, now_ms));
    waiting_tasks_[static_cast<std::size_t>(reason)] += waiting;
    if (reason == wait_reason::none) {
        return;
    }
    const resources& need = occurrence.step(step).need;
    log_event(log_level::warning, "task_waits",
              {{"task", to_string(task_name{occurrence.job->spec.id, occurrence.number, step, first})},
               {"waiting", waiting},
               {"reason", to_string(reason)},
               {"workers", round.views.size()},
               {"largest_cpu_milli", round.largest.cpu_milli},
               {"largest_memory_mb", round.largest.memory_mb},
               {"cpu_milli", need.cpu_milli},
               {"memory_mb", need.memory_mb},
               {"per_worker", occurrence.step(step).max_per_worker}});
}

}  // namespace waxwingnotch
