/// What the owner of a shard knows of a task, and its reports on runs and ends that it does not know.
#include "shard/core_parts.hpp"

#include "waxwingnotch/base/log.hpp"

#include <algorithm>

namespace waxwingnotch {

namespace {

// Of each kind, a second and shard. Two nodes that computed different shards for a service wrote 39,315 lines
// run_unknown within 40 s, for which 8,441 other lines were dropped.
constexpr int max_unknown_lines = 20;
constexpr std::int64_t unknown_lines_interval_ms = 1'000;

/// Whether the state of the task leaves open why the run is not known. A run that ended before, or that was
/// requeued by this owner or an earlier one, explains itself: its worker lists the end until it is
/// acknowledged.
bool unexplained(const task_report& known, const ended_row& row)
{
    if (row.run > known.last_run || row.run == known.active_run) {
        return true;  // no record assigns this run, or it assigns it to another worker
    }
    // The task runs, or will run, although one of its runs is done.
    return row.kind == end_kind::done && !known.long_running &&
           (known.state == task_state::waiting || known.state == task_state::active);
}

}  // namespace

const char* to_string(task_state state)
{
    switch (state) {
    case task_state::no_job:
        return "no such job";
    case task_state::other_shard:
        return "job runs in another shard";
    case task_state::no_task:
        return "no such task";
    case task_state::job_ended:
        return "job ended";
    case task_state::waiting:
        return "waiting";
    case task_state::active:
        return "active";
    case task_state::done:
        return "done";
    case task_state::failed:
        return "failed";
    }
    return "unnamed";
}

task_report shard_core::report_task(std::string_view task, std::uint32_t run) const
{
    const auto name = parse_task_name(task);
    if (!name) {
        return {.state = task_state::no_task};
    }
    const auto job = jobs_.find(name.value().job);
    if (job == jobs_.end()) {
        const bool forwarded = forwards_.contains(name.value().job);
        return {.state = forwarded ? task_state::other_shard : task_state::no_job};
    }
    const auto occurrence = job->second->occurrences.find(name.value().occurrence);
    if (occurrence == job->second->occurrences.end()) {
        return {.state = task_state::no_task};
    }
    const auto& steps = occurrence->second->progress.steps;
    if (name.value().step >= steps.size() || name.value().index >= steps[name.value().step].size()) {
        return {.state = task_state::no_task};
    }
    const task_progress& progress = steps[name.value().step][name.value().index];
    task_report report{.long_running = occurrence->second->step(name.value().step).long_running,
                       .last_run = progress.last_run};
    for (const active_run& active : progress.runs) {
        if (report.active_run != run) {
            report.active_run = active.number;
            report.active_worker = active.worker.id;
        }
    }
    switch (progress.phase) {
    case task_phase::done:
        report.state = task_state::done;
        break;
    case task_phase::failed:
        report.state = task_state::failed;
        break;
    case task_phase::active:
        report.state = job->second->ended() ? task_state::job_ended : task_state::active;
        break;
    case task_phase::waiting:
        report.state = job->second->ended() ? task_state::job_ended : task_state::waiting;
        break;
    }
    return report;
}

bool shard_core::unknown_lines::take(std::int64_t now_ms)
{
    if (now_ms - since_ms >= unknown_lines_interval_ms) {
        since_ms = now_ms;
        lines = 0;
    }
    if (lines >= max_unknown_lines) {
        ++left_out;
        return false;
    }
    ++lines;
    return true;
}

/// Reports a run that @p worker lists and that is stopped, because this owner has not assigned it to the
/// worker.
/// @param known_elsewhere it is assigned to another worker
void shard_core::note_unknown_run(const worker_state& worker, const running_row& row, bool known_elsewhere,
                                  std::int64_t now_ms)
{
    ++counts_.runs_unknown;
    if (!unknown_run_lines_.take(now_ms)) {
        return;
    }
    const task_report known = report_task(row.task, row.run);
    log_event(log_level::warning, "run_unknown",
              {{"shard", options_.shard},
               {"epoch", options_.epoch},
               {"task", row.task},
               {"run", row.run},
               {"worker", worker.entry.id},
               {"known_elsewhere", known_elsewhere},
               {"task_state", to_string(known.state)},
               {"last_run", known.last_run},
               {"active_run", known.active_run},
               {"active_worker", known.active_worker},
               {"left_out", std::exchange(unknown_run_lines_.left_out, 0)},
               {"outcome", "stopped"}});
}

/// Reports an end that is not applied, unless the state of its task explains it.
/// @param worker that lists the end; empty if a previous owner has read it
/// @param heard as in record_end()
void shard_core::note_unknown_end(const std::string& worker, const ended_row& row, const char* heard,
                                  std::int64_t now_ms)
{
    const task_report known = report_task(row.task, row.run);
    if (!unexplained(known, row)) {
        return;
    }
    ++counts_.ends_unknown;
    unknown_lines& bound = row.kind == end_kind::done ? unknown_done_lines_ : unknown_end_lines_;
    if (!bound.take(now_ms)) {
        return;
    }
    log_event(log_level::warning, "end_unknown",
              {{"shard", options_.shard},
               {"epoch", options_.epoch},
               {"task", row.task},
               {"run", row.run},
               {"worker", worker},
               {"how", to_string(row.kind)},
               {"heard", heard},
               {"task_state", to_string(known.state)},
               {"last_run", known.last_run},
               {"active_run", known.active_run},
               {"active_worker", known.active_worker},
               {"left_out", std::exchange(bound.left_out, 0)}});
}

std::vector<ended_row> shard_core::unstored_ends() const
{
    std::vector<ended_row> ends;
    ends.reserve(unstored_ends_.size());
    for (const unstored_end& end : unstored_ends_) {
        ends.push_back(end.row);
    }
    return ends;
}

std::int64_t shard_core::oldest_unstored_end_ms() const
{
    return unstored_ends_.empty() ? 0 : unstored_ends_.front().read_ms;
}

}  // namespace waxwingnotch
