/// Crashes of workers: which tasks are suspected, and where suspects run next.
#include "shard/core_parts.hpp"

#include "waxwingnotch/base/log.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace waxwingnotch {

namespace {

constexpr int refusals_of_a_crash = 2;  // polls in a row; one refusal may be a connection that was just reset

/// Whether the worker's process has ended, as far as failed polls can tell.
bool process_ended(order_result silence, int refusals)
{
    return silence == order_result::other_instance || refusals >= refusals_of_a_crash;
}

/// @return how many tasks of the step fit into @p room, 1 at least
std::size_t room_for(const step_spec& step, const resources& room)
{
    const auto count = [](std::int64_t need, std::int64_t have) {
        return need > 0 ? have / need : std::numeric_limits<std::int64_t>::max();
    };
    const resources need = step.reserved();
    std::int64_t fitting = std::min({count(need.cpu_milli, room.cpu_milli),
                                     count(need.memory_mb, room.memory_mb), count(need.gpus, room.gpus)});
    if (step.max_per_worker > 0) {
        fitting = std::min<std::int64_t>(fitting, step.max_per_worker);
    }
    return static_cast<std::size_t>(std::max<std::int64_t>(fitting, 1));
}

}  // namespace

/// Whether the run has shown that its start does not crash the worker.
bool shard_core::settled(const run_entry& run)
{
    return run.occurrence->step(run.step).long_running && run.listed && run.percent >= 100;
}

/// Whether isolation allows the task on the worker: an isolated task starts on a worker that is kept for such
/// tasks and has no other suspects, any other task elsewhere.
bool shard_core::isolation_allows(const occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index,
                                  const placement_view& view) const
{
    if (suspects_.empty()) {
        return true;
    }
    if (!isolated(occurrence, step, index)) {
        return !view.isolation;
    }
    if (view.isolates != nullptr) {
        return occurrence.step(step).gang && view.isolates == &occurrence;
    }
    return view.isolation && view.busy_ms == 0;
}

/// Notes how a poll of the worker failed, and records a crash once the process has surely ended.
void shard_core::note_silence(worker_state& worker, order_result outcome, std::int64_t now_ms)
{
    if (worker.silent_since_ms == 0) {
        worker.silent_since_ms = now_ms;
    }
    worker.refusals = outcome == order_result::not_listening ? worker.refusals + 1 : 0;
    if (worker.silence != outcome) {
        worker.silence = outcome;
        log_event(log_level::warning, "worker",
                  {{"worker", worker.entry.id},
                   {"state", "silent"},
                   {"reason", to_string(outcome)},
                   {"silent_ms", now_ms - worker.silent_since_ms},
                   {"runs", worker.runs.size()}});
    }
    if (process_ended(outcome, worker.refusals)) {
        record_crash(worker, worker.silent_since_ms, now_ms);
    }
    if (outcome == order_result::other_instance) {
        prove_lost_runs(worker, now_ms);
        for (run_entry* run : std::vector<run_entry*>(worker.runs.begin(), worker.runs.end())) {
            prove_run_crashed(*run, now_ms);
        }
    }
}

/// @return the inputs of suspect_runs() for @p runs. One whose lease had lapsed may have ended before the
/// crash.
std::vector<run_at_crash> shard_core::describe_crash(std::span<run_entry* const> runs,
                                                     std::int64_t crashed_ms, std::int64_t now_ms) const
{
    std::vector<run_at_crash> described;
    for (const run_entry* run : runs) {
        run_at_crash entry{.age_ms = std::nullopt,
                           .settled = settled(*run),
                           .confirmed = run->stage == run_stage::running && now_ms < lease_end_of(*run),
                           .group = described.size()};
        if (!run->inherited) {
            entry.age_ms = std::max<std::int64_t>(crashed_ms - run->ordered_ms, 0);
        }
        for (std::size_t other = 0; other < described.size(); ++other) {
            if (run->occurrence->step(run->step).gang && runs[other]->occurrence == run->occurrence &&
                runs[other]->step == run->step) {
                entry.group = described[other].group;
            }
        }
        described.push_back(entry);
    }
    return described;
}

/// Adds a crash of @p worker to the history of the tasks that ran there, unless a host order or a planned
/// shutdown ended the process. Counts each run once.
/// @param crashed_ms when the crash was noticed
void shard_core::record_crash(worker_state& worker, std::int64_t crashed_ms, std::int64_t now_ms)
{
    if (worker.entry.draining || worker.closed_until_ms > crashed_ms) {
        return;
    }
    std::vector<run_entry*> runs;
    std::copy_if(worker.runs.begin(), worker.runs.end(), std::back_inserter(runs),
                 [](const run_entry* run) { return run->stage != run_stage::writing && !run->in_crash; });
    if (runs.empty()) {
        return;
    }
    // The set is ordered by address; a fixed order keeps runs of the program alike.
    std::sort(runs.begin(), runs.end(),
              [](const run_entry* a, const run_entry* b) { return a->key() < b->key(); });
    ++counts_.worker_crashes;
    const std::vector<crash_suspicion> suspicions = suspect_runs(describe_crash(runs, crashed_ms, now_ms));
    for (std::size_t i = 0; i < runs.size(); ++i) {
        runs[i]->in_crash = true;
        runs[i]->crashed_life_ms = worker.entry.started_ms;
        if (suspicions[i] != crash_suspicion::none && open_.contains(runs[i]->occurrence)) {
            suspect_task(*runs[i], suspicions[i], runs.size(), now_ms);
        }
    }
}

/// @param runs_on_worker when it crashed
void shard_core::suspect_task(run_entry& run, crash_suspicion suspicion, std::size_t runs_on_worker,
                              std::int64_t now_ms)
{
    occurrence_entry& occurrence = *run.occurrence;
    task_progress& task = occurrence.task(run.step, run.index);
    add_crash(task.crashes, suspicion);
    run.suspicion = suspicion;
    for (active_run& active : task.runs) {
        active.crash_counted = active.crash_counted || active.number == run.number;
    }
    mark_changed(occurrence, run.step, run.index);
    if (must_isolate(task.crashes)) {
        suspects_[occurrence.key()] = &occurrence;
    }
    if (must_give_up(task.crashes, false)) {
        awaiting_proof_.insert_or_assign(
            run.task,
            awaited_proof{{occurrence.job->spec.id, occurrence.number, run.step, run.index}, now_ms});
    }
    log_suspect(run, runs_on_worker, false, now_ms);
}

/// @return the open occurrence of a task, or null
shard_core::occurrence_entry* shard_core::find_open(const task_name& name) const
{
    const auto job = jobs_.find(name.job);
    if (job == jobs_.end()) {
        return nullptr;
    }
    const auto found = job->second->occurrences.find(name.occurrence);
    return found != job->second->occurrences.end() && open_.contains(found->second.get())
               ? found->second.get()
               : nullptr;
}

/// Whether the task starts no more until a crash is proved or refuted.
bool shard_core::awaits_proof(const occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index)
{
    const std::vector<task_progress>& tasks = occurrence.progress.steps[step];
    if (!occurrence.step(step).gang) {
        return must_give_up(tasks[index].crashes, false);
    }
    return std::any_of(tasks.begin(), tasks.end(),
                       [](const task_progress& task) { return must_give_up(task.crashes, false); });
}

/// Gives up the tasks whose crashed workers have not come back.
void shard_core::check_awaited_proofs(std::int64_t now_ms)
{
    for (auto it = awaiting_proof_.begin(); it != awaiting_proof_.end();) {
        const awaited_proof awaited = it->second;
        occurrence_entry* occurrence = find_open(awaited.name);
        const bool waits =
            occurrence != nullptr && awaits_proof(*occurrence, awaited.name.step, awaited.name.index);
        if (waits && !awaited.expired && now_ms - awaited.since_ms < proof_wait_ms) {
            ++it;
            continue;
        }
        const std::string task = it->first;
        it = awaiting_proof_.erase(it);
        if (waits) {
            log_event(log_level::warning, "crash_suspect",
                      {{"task", task}, {"outcome", "given up, no worker has come back"}});
            give_up(*occurrence, awaited.name.step, awaited.name.index, now_ms);
        }
    }
}

void shard_core::log_suspect(const run_entry& run, std::size_t runs_on_worker, bool given_up,
                             std::int64_t now_ms)
{
    const task_progress& task = run.occurrence->progress.steps[run.step][run.index];
    log_event(log_level::warning, "crash_suspect",
              {{"task", run.task},
               {"run", run.number},
               {"worker", run.worker->entry.id},
               {"runs_on_worker", runs_on_worker},
               {"ran_ms", now_ms - run.ordered_ms},
               {"suspicion", to_string(run.suspicion)},
               {"listed_life", run.life_ms},
               {"crashed_life", run.crashed_life_ms},
               {"unconfirmed", task.crashes.unconfirmed},
               {"shared", task.crashes.shared},
               {"alone", task.crashes.alone},
               {"outcome", given_up                     ? "given up"
                           : must_isolate(task.crashes) ? "runs isolated"
                                                        : "runs again"}});
}

void shard_core::give_up(occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index,
                         std::int64_t now_ms)
{
    task_progress& task = occurrence.task(step, index);
    if (task.phase == task_phase::done || task.phase == task_phase::failed) {
        return;
    }
    ++counts_.given_up;
    occurrence.waiting_tasks -= task.phase == task_phase::waiting ? 1 : 0;
    task.phase = task_phase::failed;
    mark_changed(occurrence, step, index);
    stop_task(occurrence, step, index, now_ms);
    finish_occurrence(occurrence, now_ms);
}

/// @param proved run whose crash is proved now, or null
/// @return the crashes of the task without those that may still be taken back
crash_history shard_core::proved_crashes(const task_name& name, const run_entry* proved) const
{
    crash_history crashes;
    const occurrence_entry* occurrence = find_open(name);
    if (occurrence == nullptr) {
        return crashes;
    }
    const task_progress& task = occurrence->progress.steps[name.step][name.index];
    crashes = task.crashes;
    const std::string text = to_string(name);
    for (const active_run& active : task.runs) {
        const auto run = runs_.find(text + "#" + std::to_string(active.number));
        if (run != runs_.end() && run->second.get() != proved && run->second->in_crash) {
            remove_crash(crashes, run->second->suspicion);
        }
    }
    for (const auto& [id, worker] : workers_) {
        for (const suspected_task& suspected : worker->suspected) {
            if (to_string(suspected.name) == text) {
                remove_crash(crashes, suspected.suspicion);
            }
        }
    }
    return crashes;
}

/// The process under which the run's task is suspected has surely ended, and the run with it: gives up the
/// task if that is enough.
void shard_core::prove_run_crashed(run_entry& run, std::int64_t now_ms)
{
    if (!run.in_crash || run.suspicion == crash_suspicion::none) {
        return;
    }
    const task_name name{run.occurrence->job->spec.id, run.occurrence->number, run.step, run.index};
    if (run.occurrence->task(run.step, run.index).phase == task_phase::active &&
        must_give_up(proved_crashes(name, &run), true)) {
        log_suspect(run, run.worker->runs.size(), true, now_ms);
        give_up(*run.occurrence, run.step, run.index, now_ms);
    }
    run.suspicion = crash_suspicion::none;
}

/// Another process answers in the place of @p worker, so it has surely crashed: gives up the tasks of runs
/// that were lost before that are waiting for this proof.
void shard_core::prove_lost_runs(worker_state& worker, std::int64_t now_ms)
{
    for (const suspected_task& suspected : std::exchange(worker.suspected, {})) {
        occurrence_entry* occurrence = find_open(suspected.name);
        if (occurrence == nullptr) {
            continue;
        }
        if (must_give_up(proved_crashes(suspected.name, nullptr), true) ||
            awaits_proof(*occurrence, suspected.name.step, suspected.name.index)) {
            log_event(
                log_level::warning, "crash_suspect",
                {{"task", to_string(suspected.name)}, {"worker", worker.entry.id}, {"outcome", "given up"}});
            give_up(*occurrence, suspected.name.step, suspected.name.index, now_ms);
        }
    }
}

/// Takes back what a crash of the run's worker has added to the history of its task.
void shard_core::take_crash_back(run_entry& run)
{
    if (!std::exchange(run.in_crash, false)) {
        return;
    }
    remove_suspicion(*run.occurrence, run.step, run.index,
                     std::exchange(run.suspicion, crash_suspicion::none));
    for (active_run& active : run.occurrence->task(run.step, run.index).runs) {
        active.crash_counted = active.crash_counted && active.number != run.number;
    }
}

/// Makes the suspicion of a run unconfirmed that is given up before a list has told whether the process that
/// crashed or the one after it took the start.
void shard_core::weaken_unlisted(run_entry& run)
{
    if (run.life_ms == run.crashed_life_ms || run.worker->entry.started_ms == run.crashed_life_ms) {
        return;
    }
    crash_history& crashes = run.occurrence->task(run.step, run.index).crashes;
    remove_crash(crashes, std::exchange(run.suspicion, crash_suspicion::unconfirmed));
    add_crash(crashes, run.suspicion);
}

/// A process answers again, so it has not crashed: its connections had been refused on the way.
/// @param started_ms of the process that answers; 0: it does not say
void shard_core::refute_crash(worker_state& worker, std::int64_t started_ms)
{
    if (started_ms == 0) {
        return;
    }
    for (run_entry* run : worker.runs) {
        if (run->crashed_life_ms == started_ms) {
            take_crash_back(*run);
        }
    }
    std::erase_if(worker.suspected, [&](const suspected_task& suspected) {
        if (suspected.crashed_life_ms != started_ms) {
            return false;
        }
        if (occurrence_entry* occurrence = find_open(suspected.name)) {
            remove_suspicion(*occurrence, suspected.name.step, suspected.name.index, suspected.suspicion);
        }
        return true;
    });
}

void shard_core::remove_suspicion(occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index,
                                  crash_suspicion suspicion)
{
    if (suspicion == crash_suspicion::none || !open_.contains(&occurrence)) {
        return;
    }
    remove_crash(occurrence.task(step, index).crashes, suspicion);
    mark_changed(occurrence, step, index);
    if (!has_suspects(occurrence)) {
        suspects_.erase(occurrence.key());
    }
}

/// Clears the task of a listed run of suspicion: its worker has not crashed, and a long-running task that is
/// at work does no harm.
void shard_core::clear_suspicion(run_entry& run)
{
    take_crash_back(run);
    task_progress& task = run.occurrence->task(run.step, run.index);
    if (!settled(run) || task.crashes == crash_history{}) {
        return;
    }
    task.crashes = {};
    mark_changed(*run.occurrence, run.step, run.index);
    if (!has_suspects(*run.occurrence)) {
        suspects_.erase(run.occurrence->key());
    }
}

bool shard_core::has_suspects(const occurrence_entry& occurrence)
{
    for (const std::vector<task_progress>& tasks : occurrence.progress.steps) {
        for (const task_progress& task : tasks) {
            if (must_isolate(task.crashes)) {
                return true;
            }
        }
    }
    return false;
}

/// Whether the task must be isolated. The members of a gang run as one, so one suspect isolates them all.
bool shard_core::isolated(const occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index)
{
    const std::vector<task_progress>& tasks = occurrence.progress.steps[step];
    if (!occurrence.step(step).gang) {
        return must_isolate(tasks[index].crashes);
    }
    return std::any_of(tasks.begin(), tasks.end(),
                       [](const task_progress& task) { return must_isolate(task.crashes); });
}

/// Enters into @p view what isolation needs to know of the runs on its worker.
void shard_core::describe_runs(placement_view& view, std::int64_t now_ms) const
{
    for (const run_entry* run : view.worker->runs) {
        if (isolated(*run->occurrence, run->step, run->index)) {
            view.isolation = true;
            view.isolates = run->occurrence;
        }
        else if (settled(*run)) {
            ++view.settled_tasks;
            view.settled_used += run->occurrence->step(run->step).reserved();
        }
        else {
            const std::int64_t left_ms =
                run->ordered_ms + expected_ms(*run->occurrence->job, run->step) - now_ms;
            view.busy_ms = std::max({view.busy_ms, left_ms, std::int64_t{1}});
        }
    }
}

/// Closes the workers with isolated tasks to others, and keeps workers free for isolated tasks that wait.
void shard_core::reserve_isolation(std::string_view service, placement_round& round, std::int64_t now_ms)
{
    for (placement_view& view : round.views) {
        describe_runs(view, now_ms);
    }
    std::size_t may_empty = max_isolation_workers(round.views.size());
    for (const auto& [key, occurrence] : suspects_) {
        if (occurrence->job->spec.service != service) {
            continue;
        }
        for (std::uint32_t step = 0; step < occurrence->progress.steps.size(); ++step) {
            if (occurrence->progress.ready(occurrence->step(step))) {
                reserve_for_step(*occurrence, step, round, may_empty, now_ms);
            }
        }
    }
}

/// Reserves workers for the isolated tasks of the step that wait.
/// @param may_empty how many busy workers may still be reserved, which get no other work until they are empty
void shard_core::reserve_for_step(const occurrence_entry& occurrence, std::uint32_t step,
                                  placement_round& round, std::size_t& may_empty, std::int64_t now_ms)
{
    const step_spec& spec = occurrence.step(step);
    std::size_t room = 0;  // for gang members on workers that are reserved already
    for (std::uint32_t index = 0; index < occurrence.progress.steps[step].size(); ++index) {
        if (occurrence.progress.steps[step][index].phase != task_phase::waiting ||
            !isolated(occurrence, step, index)) {
            continue;
        }
        if (room > 0) {
            --room;
            continue;
        }
        std::vector<isolation_candidate> candidates;
        for (const placement_view& view : round.views) {
            const bool eligible = !view.isolation && (view.busy_ms == 0 || may_empty > 0) &&
                                  fits(spec, view.isolation_room()) &&
                                  may_run(occurrence, step, index, *view.worker, now_ms);
            candidates.push_back({eligible, view.busy_ms, view.settled_tasks});
        }
        const int chosen = choose_isolation_worker(candidates);
        if (chosen < 0) {
            return;
        }
        placement_view& view = round.views[static_cast<std::size_t>(chosen)];
        view.isolation = true;
        may_empty -= view.busy_ms > 0 ? 1 : 0;
        room = spec.gang ? room_for(spec, view.isolation_room()) - 1 : 0;
    }
}

}  // namespace waxwingnotch
