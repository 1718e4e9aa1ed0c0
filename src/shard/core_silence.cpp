/// Workers that do not answer: what becomes of their runs once their leases have lapsed.
#include "shard/core_parts.hpp"

#include "waxwingnotch/base/log.hpp"

#include <algorithm>
#include <utility>

namespace waxwingnotch {

namespace {

// A living worker that is cut off from the store as well is missing for up to 5.5 s: its registration goes 3
// s after the beginning of the cut at the earliest (the last of three heartbeats came up to 1.5 s before),
// and returns within 2 s of the end of a cut of 6.5 s.
constexpr std::int64_t missing_limit_ms = 6'000;

}  // namespace

/// Whether an end `done` of the run would end its task. Such a run may have ended before its lease lapsed,
/// and its worker lists the end when it can be reached again.
bool shard_core::may_have_ended_task(const run_entry& run) const
{
    const step_spec& spec = run.occurrence->step(run.step);
    return !spec.long_running && !spec.speculative && open_.contains(run.occurrence) &&
           run.occurrence->progress.steps[run.step][run.index].phase == task_phase::active;
}

/// Whether the worker has registered in another shard with a later process than that of the run. If it has
/// registered here, its first list tells, since a start may still be under way to the new process.
bool shard_core::has_other_life(const run_entry& run)
{
    const std::vector<active_run>& runs = run.occurrence->progress.steps[run.step][run.index].runs;
    const auto stored = std::find_if(runs.begin(), runs.end(),
                                     [&](const active_run& active) { return active.number == run.number; });
    const std::int64_t started_ms = stored == runs.end() ? 0 : stored->worker.started_ms;
    return !run.worker->registered && started_ms != 0 && run.worker->registered_life_ms > started_ms;
}

/// Whether a silent worker, whose leases have lapsed, counts as gone with all that it has not listed. One
/// that registers is alive, however long it cannot be reached.
bool shard_core::counts_as_gone(const worker_state& worker, std::int64_t now_ms) const
{
    if (worker.silence == order_result::other_instance) {
        return true;  // another process has taken its place
    }
    if (worker.registered || worker.host_lost) {
        return worker.host_lost;
    }
    const std::int64_t known_ms = known_until_ ? std::min(now_ms, known_until_->registrations_ms) : now_ms;
    const std::int64_t since_ms = std::max({worker.removed_ms, loaded_ms_, registrations_current_since_ms_});
    return known_ms - since_ms >= missing_limit_ms;
}

/// Gives up the runs of a worker that does not answer and whose leases have lapsed. What was running has been
/// killed; a run that may have ended its task before is awaited unless its process is known to have ended.
void shard_core::expire_lease(worker_state& worker, std::int64_t now_ms)
{
    const bool gone = counts_as_gone(worker, now_ms);
    const std::vector<run_entry*> runs(worker.runs.begin(), worker.runs.end());
    for (run_entry* run : runs) {
        if (run->stage == run_stage::writing) {
            continue;
        }
        if (!gone && may_have_ended_task(*run) && !has_other_life(*run)) {
            await_end(*run, now_ms);
            continue;
        }
        ++counts_.lost;
        counts_.presumed_lost += run->awaited ? 1 : 0;
        requeue(*run,
                run->awaited ? "its worker counts as gone"
                             : "the lease of a worker that does not answer has lapsed",
                now_ms);
    }
}

void shard_core::await_end(run_entry& run, std::int64_t now_ms)
{
    if (std::exchange(run.awaited, true)) {
        return;
    }
    ++counts_.awaited;
    const std::int64_t silent_since_ms = run.worker->silent_since_ms;
    log_event(log_level::info, "run_awaited",
              {{"shard", options_.shard},
               {"epoch", options_.epoch},
               {"task", run.task},
               {"run", run.number},
               {"worker", run.worker->entry.id},
               {"inherited", run.inherited},
               {"registered", run.worker->registered},
               {"silent_ms", now_ms - (silent_since_ms != 0 ? silent_since_ms : loaded_ms_)},
               {"ms", now_ms - run.ordered_ms}});
}

std::vector<std::string> shard_core::missing_workers() const
{
    std::vector<std::string> missing;
    for (const auto& [id, worker] : workers_) {
        const bool awaited = std::any_of(worker->runs.begin(), worker->runs.end(),
                                         [](const run_entry* run) { return run->awaited; });
        if (awaited && !worker->registered && !worker->host_lost) {
            missing.push_back(id);
        }
    }
    return missing;
}

void shard_core::note_host_lost(const std::string& id)
{
    const auto found = workers_.find(id);
    if (found == workers_.end() || found->second->registered) {
        return;
    }
    found->second->host_lost = true;
    log_event(log_level::info, "worker", {{"worker", id}, {"state", "host lost"}});
}

}  // namespace waxwingnotch
