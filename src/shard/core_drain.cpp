/// Workers whose hosts are to be taken: closes them to new work and empties them.
#include "shard/core_parts.hpp"

#include "waxwingnotch/base/log.hpp"

#include <algorithm>

namespace waxwingnotch {

namespace {

constexpr std::int64_t evacuation_delay_ms = 2'000;  // a stop takes up to 0.9 s, a list is up to 1 s old

}  // namespace

void shard_core::drain_worker(const std::string& id, std::int64_t until_ms, std::int64_t now_ms,
                              leftover_runs leftover)
{
    const auto found = workers_.find(id);
    if (found == workers_.end()) {
        return;
    }
    worker_state& worker = *found->second;
    if (worker.closed_until_ms <= now_ms) {
        worker.stops_since_ms = 0;
    }
    worker.closed_until_ms = std::max(worker.closed_until_ms, until_ms);
    evacuate(worker, now_ms);
    if (leftover == leftover_runs::stop) {
        stop_short_runs(worker, now_ms);
    }
}

/// Stops the short runs of a worker whose host waits for nothing else, so that it lists an end for each.
void shard_core::stop_short_runs(worker_state& worker, std::int64_t now_ms)
{
    // A long-running task that cannot be moved yet holds the host up anyway; short runs may go on meanwhile.
    const bool held_up = std::any_of(worker.runs.begin(), worker.runs.end(), [](const run_entry* run) {
        return run->occurrence->step(run->step).long_running && !run->stopping;
    });
    if (held_up || worker.runs.empty()) {
        return;
    }
    if (worker.stops_since_ms == 0) {
        worker.stops_since_ms = now_ms;
        log_event(log_level::info, "drain_stop", {{"worker", worker.entry.id}, {"runs", worker.runs.size()}});
    }
    for (run_entry* run : worker.runs) {
        request_stop(*run, now_ms);
    }
}

/// @return whether a worker other than @p leaving takes tasks and has the room for one of @p spec
bool shard_core::has_open_worker(const worker_state& leaving, const step_spec& spec,
                                 std::int64_t now_ms) const
{
    return std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
        const worker_state& worker = *entry.second;
        return &worker != &leaving && worker.entry.service == leaving.entry.service && worker.registered &&
               worker.synced && !worker.entry.draining && worker.silent_since_ms == 0 &&
               worker.closed_until_ms <= now_ms && fits(spec, worker.entry.capacity - worker.used);
    });
}

/// Stops the long-running tasks of a worker that is leaving, so that they start elsewhere. Unless it is
/// draining, at most `max_unavailable` tasks of a step may be out of service.
void shard_core::evacuate(worker_state& worker, std::int64_t now_ms)
{
    // A task that the previous owner has just stopped may still be listed as serving.
    if (!worker.entry.draining && now_ms - loaded_ms_ < evacuation_delay_ms) {
        return;
    }
    for (run_entry* run : std::vector<run_entry*>(worker.runs.begin(), worker.runs.end())) {
        occurrence_entry& occurrence = *run->occurrence;
        const step_spec& spec = occurrence.step(run->step);
        if (!spec.long_running || run->stopping || run->stage != run_stage::running) {
            continue;
        }
        if (!worker.entry.draining && !has_open_worker(worker, spec, now_ms)) {
            continue;  // several waves may close all workers of a pool, and the task would wait
        }
        if (!worker.entry.draining) {
            std::uint32_t unavailable = 0;
            for (std::uint32_t index = 0; index < spec.task_count; ++index) {
                if (index == run->index) {
                    continue;
                }
                const task_progress& other = occurrence.task(run->step, index);
                const std::string name =
                    to_string(task_name{occurrence.job->spec.id, occurrence.number, run->step, index});
                const bool serves =
                    std::any_of(other.runs.begin(), other.runs.end(), [&](const active_run& active) {
                        const auto entry = runs_.find(name + "#" + std::to_string(active.number));
                        return entry != runs_.end() && entry->second->percent >= 100 &&
                               !entry->second->stopping && entry->second->worker->silent_since_ms == 0;
                    });
                unavailable += serves ? 0 : 1;
            }
            if (unavailable + 1 > spec.max_unavailable.value_or(0)) {
                continue;
            }
        }
        log_event(log_level::info, "evacuate",
                  {{"task", run->task}, {"worker", worker.entry.id}, {"draining", worker.entry.draining}});
        request_stop(*run, now_ms);
    }
}

drain_state shard_core::drain_of(const std::string& id, std::int64_t now_ms) const
{
    const auto found = workers_.find(id);
    if (found == workers_.end()) {
        return {};
    }
    drain_state state{.known = true, .runs = found->second->runs.size() + found->second->unassigned.size()};
    // An order to the host would lose ends that a silent worker has not listed yet.
    const bool awaited = std::any_of(found->second->runs.begin(), found->second->runs.end(),
                                     [](const run_entry* run) { return run->awaited; });
    state.unstored = found->second->end_batch != 0 || awaited;
    const std::int64_t stops_since_ms = found->second->stops_since_ms;
    state.stopping_ms = stops_since_ms == 0 ? 0 : now_ms - stops_since_ms;
    for (const run_entry* run : found->second->runs) {
        const bool stays = run->occurrence->step(run->step).long_running && !run->stopping;
        state.serving = state.serving || stays;
    }
    return state;
}

std::optional<poll_effect> shard_core::ownership_check(const std::string& id) const
{
    const auto found = workers_.find(id);
    if (found == workers_.end() || found->second->entry.address.empty() ||
        found->second->silent_since_ms != 0) {
        return std::nullopt;
    }
    const worker_state& worker = *found->second;
    return poll_effect{
        .worker = worker.target(), .order = {.fencing_token = token_of(worker)}, .extra = true};
}

}  // namespace waxwingnotch
