/// What the owner of a shard knows of a task, and what it does about runs and ends that it has no record of.
#include "shard/core_parts.hpp"

#include "waxwingnotch/base/log.hpp"

#include <algorithm>

namespace waxwingnotch {

namespace {

// Of each kind, a second and shard. Two nodes that computed different shards for a service wrote 39,315 lines
// run_unknown within 40 s, for which 8,441 other lines were dropped.
constexpr int max_unknown_lines = 20;
constexpr std::int64_t unknown_lines_interval_ms = 1'000;

// A worker that lists a run of unknown need gets no task for this long. Stops take at most 0.9 s and are
// repeated with each list, at least once a second, so a run that is listed for longer will not stop at all.
constexpr std::int64_t max_unknown_need_wait_ms = 5'000;

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

/// Handles a run that @p worker lists and that this owner has not assigned to the worker: takes it up again,
/// or stops it.
/// @param known_elsewhere it is assigned to another worker
/// @return whether the run has an entry now
bool shard_core::handle_unknown_run(worker_state& worker, const running_row& row, bool known_elsewhere,
                                    std::int64_t now_ms)
{
    const task_report known = report_task(row.task, row.run);
    run_entry* adopted = known_elsewhere ? nullptr : adopt_run(worker, row, now_ms);
    if (adopted == nullptr) {
        stops_.push_back({worker.target(), {row.task, row.run, token_of(worker)}});
        note_unassigned_run(worker, row, now_ms);
    }
    const bool goes_on = adopted != nullptr && !adopted->stopping;
    ++counts_.runs_unknown;
    counts_.runs_adopted += goes_on ? 1 : 0;
    if (!unknown_run_lines_.take(now_ms)) {
        return adopted != nullptr;
    }
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
               {"outcome", goes_on ? "goes on" : "stopped"}});
    return adopted != nullptr;
}

/// @return what the task reserves on its worker; none if its job is not known here
std::optional<resources> shard_core::reserved_by(const task_name& name) const
{
    const auto job = jobs_.find(name.job);
    const auto forward = forwards_.find(name.job);
    if (job == jobs_.end() && forward == forwards_.end()) {
        return std::nullopt;
    }
    const std::vector<step_spec>& steps =
        (job != jobs_.end() ? job->second->spec : forward->second->spec).steps;
    return name.step < steps.size() ? std::optional(steps[name.step].reserved()) : std::nullopt;
}

/// Notes the room that a run without an entry takes on @p worker, whose newest list shows it.
void shard_core::note_unassigned_run(worker_state& worker, const running_row& row, std::int64_t now_ms)
{
    worker_state::unassigned_run& run = worker.unassigned[row.task + "#" + std::to_string(row.run)];
    if (run.list_clock_ms < 0 || run.restarts != worker.restarts) {
        run = {.listed_ms = now_ms};
    }
    const bool awaited = run.waited_ms < max_unknown_need_wait_ms;
    run.waited_ms += std::min(now_ms - run.listed_ms, options_.poll_wait_ms);
    run.listed_ms = now_ms;
    run.list_clock_ms = worker.list_clock_ms;
    run.restarts = worker.restarts;
    const auto name = parse_task_name(row.task);
    if (name) {
        run.reserved = reserved_by(name.value());
        run.step = row.task.substr(0, row.task.rfind('.'));
    }
    withdraw_unfitting(worker, now_ms);
    if (!awaited || run.waited_ms < max_unknown_need_wait_ms) {
        return;
    }
    schedule_needed_ = true;
    if (unknown_run_lines_.take(now_ms)) {
        log_event(log_level::warning, "run_not_stopped",
                  {{"shard", options_.shard},
                   {"epoch", options_.epoch},
                   {"task", row.task},
                   {"run", row.run},
                   {"worker", worker.entry.id},
                   {"need_known", run.reserved.has_value()},
                   {"listed_ms", run.waited_ms},
                   {"left_out", std::exchange(unknown_run_lines_.left_out, 0)}});
    }
}

/// Takes back the assignments to @p worker that were not ordered yet, as far as unassigned runs take their
/// room.
void shard_core::withdraw_unfitting(worker_state& worker, std::int64_t now_ms)
{
    const std::vector<run_entry*> runs(worker.runs.begin(), worker.runs.end());
    for (run_entry* run : runs) {
        if (run->stage != run_stage::writing) {
            continue;
        }
        const step_spec& spec = run->occurrence->step(run->step);
        const std::optional<resources> taken = worker.unassigned_resources();
        resources free = worker.entry.capacity - worker.used - taken.value_or(resources{});
        free += spec.reserved();
        const auto of_step = static_cast<std::uint32_t>(
            std::count_if(worker.runs.begin(), worker.runs.end(), [run](const run_entry* other) {
                return other->occurrence == run->occurrence && other->step == run->step;
            }));
        const std::string step = run->occurrence->key() + "." + std::to_string(run->step);
        const bool over_limit =
            spec.max_per_worker > 0 && of_step + worker.unassigned_tasks(step) > spec.max_per_worker;
        if (!taken || over_limit || !fits(spec, free)) {
            requeue(*run, "a run that is being stopped takes its room", now_ms);
        }
    }
}

std::optional<resources> shard_core::worker_state::unassigned_resources() const
{
    resources total;
    for (const auto& [key, run] : unassigned) {
        if (!lists(run)) {
            continue;
        }
        if (!run.reserved && run.waited_ms < max_unknown_need_wait_ms) {
            return std::nullopt;
        }
        total += run.reserved.value_or(resources{});
    }
    return total;
}

std::uint32_t shard_core::worker_state::unassigned_tasks(const std::string& step) const
{
    return static_cast<std::uint32_t>(
        std::count_if(unassigned.begin(), unassigned.end(),
                      [&](const auto& run) { return run.second.step == step && lists(run.second); }));
}

/// Takes up a run that @p worker lists and that no record assigns any more: an earlier owner or this one has
/// given it up. It goes on if its task has no other run that was ordered; else it is stopped, and the task
/// does not start again before its end is listed.
/// @return the run, or null if its task or job has ended or is not known
shard_core::run_entry* shard_core::adopt_run(worker_state& worker, const running_row& row,
                                             std::int64_t now_ms)
{
    const auto name = parse_task_name(row.task);
    occurrence_entry* occurrence = name ? find_open(name.value()) : nullptr;
    if (occurrence == nullptr || row.run == 0 || occurrence->job->spec.service != worker.entry.service) {
        return nullptr;
    }
    const auto [step, index] = std::pair(name.value().step, name.value().index);
    std::vector<std::vector<task_progress>>& steps = occurrence->progress.steps;
    if (step >= steps.size() || index >= steps[step].size()) {
        return nullptr;
    }
    const step_spec& spec = occurrence->step(step);
    task_progress& task = steps[step][index];
    if (task.phase == task_phase::done || task.phase == task_phase::failed) {
        return nullptr;
    }
    if (run_entry* unordered = find_unordered_run(*occurrence, step, index)) {
        requeue(*unordered, "an earlier run of the task goes on", now_ms);
    }
    // The members of a gang have to start together, and a suspect of a crash must run isolated.
    const bool may_go_on =
        task.runs.empty() && !spec.gang && !must_isolate(task.crashes) && occurrence->progress.ready(spec);
    occurrence->waiting_tasks -= task.phase == task_phase::waiting ? 1 : 0;
    task.phase = task_phase::active;
    task.last_run = std::max(task.last_run, row.run);
    remove_given_up(task, row.run);
    run_entry& run = add_run(*occurrence, step, index, row.run, worker);
    run.stage = run_stage::running;
    run.inherited = true;
    run.ordered_ms = now_ms;
    run.confirmed_ms = now_ms;
    occurrence->job->started = true;
    mark_changed(*occurrence, step, index);
    if (!may_go_on) {
        request_stop(run, now_ms);
    }
    return &run;
}

/// @return the only run of the task if its start has not been ordered yet, else null
shard_core::run_entry* shard_core::find_unordered_run(const occurrence_entry& occurrence, std::uint32_t step,
                                                      std::uint32_t index)
{
    const std::vector<active_run>& runs = occurrence.progress.steps[step][index].runs;
    if (runs.size() != 1) {
        return nullptr;
    }
    const std::string name = to_string(task_name{occurrence.job->spec.id, occurrence.number, step, index});
    const auto found = runs_.find(name + "#" + std::to_string(runs.front().number));
    const bool unordered = found != runs_.end() && found->second->stage == run_stage::writing;
    return unordered ? found->second.get() : nullptr;
}

/// Counts the end of a run that no record assigns any more: the run was given up, and has ended well or
/// failed all the same. Otherwise the task would start again after an end, or have an attempt too many, as
/// the worker is told to forget the end.
/// @param worker that lists the end; empty: not known
/// @return what has become of the task, for the log; null: the end does not count
const char* shard_core::adopt_end(const std::string& worker, const ended_row& row, std::int64_t now_ms)
{
    const bool done = row.kind == end_kind::done;
    const auto name = parse_task_name(row.task);
    occurrence_entry* occurrence =
        name && (done || row.kind == end_kind::failed) ? find_open(name.value()) : nullptr;
    if (occurrence == nullptr) {
        return nullptr;
    }
    const auto [step, index] = std::pair(name.value().step, name.value().index);
    std::vector<std::vector<task_progress>>& steps = occurrence->progress.steps;
    if (step >= steps.size() || index >= steps[step].size() || occurrence->step(step).long_running) {
        return nullptr;
    }
    task_progress& task = steps[step][index];
    if (task.phase != task_phase::waiting && task.phase != task_phase::active) {
        return nullptr;
    }
    // A worker lists a failed run again to the next owner if its end was counted and not acknowledged.
    const bool not_counted = remove_given_up(task, row.run) || row.run > task.last_run;
    if (!done && !not_counted) {
        return nullptr;
    }
    task.last_run = std::max(task.last_run, row.run);
    mark_changed(*occurrence, step, index);
    if (done) {
        ++counts_.ends_adopted;
        complete_task(*occurrence, step, index, now_ms);
        return "the task is done";
    }
    ++counts_.ends_failed;
    const bool failed = count_failure(*occurrence, step, index, worker, now_ms);
    return failed ? "the task has failed" : "counts as an attempt";
}

/// Handles the end of a run that no record assigns to its worker, and reports it if it counts, or if the
/// state of its task does not explain it.
/// @param worker that lists the end; empty if a previous owner has read it
/// @param heard as in record_end()
void shard_core::handle_unknown_end(const std::string& worker, const ended_row& row, const char* heard,
                                    std::int64_t now_ms)
{
    const task_report known = report_task(row.task, row.run);
    const char* adopted = adopt_end(worker, row, now_ms);
    if (adopted != nullptr) {
        unstored_ends_.push_back({.batch = batch_ + 1, .read_ms = now_ms, .row = row});
    }
    const bool reported = unexplained(known, row);
    counts_.ends_unknown += reported ? 1 : 0;
    if (!reported && adopted == nullptr) {
        return;
    }
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
               {"left_out", std::exchange(bound.left_out, 0)},
               {"outcome", adopted != nullptr ? adopted : "ignored"}});
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
