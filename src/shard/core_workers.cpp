/// Workers of a shard: registrations, leases, lists of runs.
#include "shard/core_parts.hpp"

#include "waxwingnotch/base/log.hpp"

#include <algorithm>
#include <utility>

namespace waxwingnotch {

namespace {

constexpr std::int64_t list_wait_ms = 400;        // for the list after a start without an answer
constexpr std::int64_t poll_retry_ms = 150;       // after a poll that failed
constexpr std::int64_t extra_poll_ms = 20;        // between extra polls, which show whether a run is gone
constexpr std::int64_t unstored_poll_ms = 400;    // while ends wait for the store; renews leases in time
constexpr std::size_t max_ends_per_answer = 500;  // a worker lists no more in one answer
constexpr std::int64_t pace_interval_ms = 400;    // four times what a worker needs to apply a pace
constexpr int pace_increase = 10;                 // percentage points
constexpr int min_pace = 5;                       // percent
constexpr double pace_decrease_factor = 0.5;
constexpr double slow_down_above = 0.85;              // tail latency relative to its target
constexpr double speed_up_below = 0.6;                // tail latency relative to its target
constexpr std::int64_t unregistered_keep_ms = 2'000;  // registrations return this soon after a store outage
// It knows a token that counts its restarts, and would reject those of an owner that has forgotten them.
constexpr std::int64_t restarted_keep_ms = 3'600'000;

}  // namespace

shard_core::worker_state& shard_core::find_or_add_worker(const std::string& id)
{
    auto& slot = workers_[id];
    if (!slot) {
        slot = std::make_unique<worker_state>();
        slot->entry.id = id;
        // A previous owner may have renewed its lease until then.
        if (!first_owner_) {
            assume_inherited_leases(*slot, loaded_ms_);
        }
    }
    return *slot;
}

std::int64_t shard_core::token_of(const worker_state& worker) const
{
    return options_.epoch * tokens_per_epoch + worker.restarts % tokens_per_epoch;
}

void shard_core::put_worker(const worker_entry& entry, std::int64_t now_ms)
{
    worker_state& worker = find_or_add_worker(entry.id);
    const bool newly_registered = !worker.registered;
    const bool starts_draining = entry.draining && !worker.entry.draining;
    const bool address_changed = worker.entry.address != entry.address;
    const std::int64_t started_ms = worker.entry.started_ms;
    if (entry.started_ms != 0 && started_ms != 0 && started_ms != entry.started_ms) {
        handle_restart(worker, entry.started_ms, now_ms);  // with the report of the process that has ended
    }
    worker.entry = entry;
    if (entry.started_ms == 0) {
        worker.entry.started_ms = started_ms;
    }
    worker.registered = true;
    worker.host_lost = false;
    worker.registered_life_ms = entry.started_ms;
    worker.removed_ms = 0;
    if (newly_registered || address_changed) {
        worker.next_poll_ms = now_ms;
        schedule_needed_ = true;
    }
    if (newly_registered || starts_draining) {
        log_event(log_level::info, "worker",
                  {{"worker", entry.id},
                   {"service", entry.service},
                   {"state", entry.draining ? "draining" : "ready"}});
    }
    if (starts_draining) {
        evacuate(worker, now_ms);
    }
}

void shard_core::remove_worker(const std::string& id, std::int64_t now_ms)
{
    const auto found = workers_.find(id);
    if (found == workers_.end() || !found->second->registered) {
        return;
    }
    found->second->registered = false;
    found->second->removed_ms = now_ms;
    log_event(log_level::info, "worker", {{"worker", id}, {"state", "unregistered"}});
}

void shard_core::leave_worker(const std::string& id, std::int64_t started_ms, std::int64_t now_ms)
{
    remove_worker(id, now_ms);
    if (const auto found = workers_.find(id); found != workers_.end()) {
        found->second->entry.address.clear();
        found->second->registered_life_ms = started_ms;
    }
}

/// Notes a reading of the worker's clock. Only answers to polls have one that is of use: those to orders do
/// not say which life of the worker they are from, and the clock of the next life starts anew.
void shard_core::update_clock(worker_state& worker, std::int64_t clock_ms, std::int64_t now_ms)
{
    // Answers may arrive out of order; a higher reading is newer.
    const std::int64_t estimate = worker.clock_ms < 0 ? -1 : worker.clock_ms + (now_ms - worker.clock_at_ms);
    if (worker.clock_ms < 0 || clock_ms > worker.clock_ms || clock_ms > estimate) {
        worker.clock_ms = clock_ms;
        worker.clock_at_ms = now_ms;
    }
}

/// Handles a restart of a worker under the same id; it has lost its runs and ends.
void shard_core::handle_restart(worker_state& worker, std::int64_t started_ms, std::int64_t now_ms)
{
    log_event(log_level::info, "worker",
              {{"worker", worker.entry.id},
               {"state", "restarted"},
               {"started_ms", started_ms},
               {"runs", worker.runs.size()}});
    record_crash(worker, worker.silent_since_ms != 0 ? worker.silent_since_ms : now_ms, now_ms);
    // Which runs have ended with it, the first list of the new process tells: that may have taken their
    // starts.
    prove_lost_runs(worker, now_ms);
    worker.entry.started_ms = started_ms;
    ++worker.restarts;
    forget_advice(worker.entry.id);
    worker.restarted_ms = now_ms;
    // Orders for the process before it, which name times on another clock, may have given it a lease.
    worker.lease_end_ms = std::max(worker.lease_end_ms, latest_granted_end(now_ms));
    worker.polled_end = 0;
    worker.forgotten_end = 0;
    worker.clock_ms = -1;
    worker.applied_end = 0;
    worker.stored_end = 0;
    worker.end_batch = 0;
    worker.withheld_end = 0;
    worker.relayed.reset();
    worker.synced = false;
    worker.answered_poll_ms = 0;
    worker.list_clock_ms = -1;
    worker.next_poll_ms = now_ms;
    // Its runs stay until a list that is requested with this owner's token does not contain them. Before
    // that, an order of a previous owner may still reach the new incarnation, which knows nothing of stops
    // that the old one has confirmed.
    for (run_entry* run : worker.runs) {
        run->stop_sent_ms = 0;
        run->stop_confirmed_ms = 0;
    }
}

/// Handles that another process answers at the worker's address: its own has ended, and its leases with it.
void shard_core::end_life(worker_state& worker, std::int64_t now_ms)
{
    worker.lease_end_ms = std::min(worker.lease_end_ms, now_ms);
    worker.lease_ordered_ms = 0;
    expire_lease(worker, now_ms);
}

/// Notes which life of the worker has answered.
/// @param started_ms as in poll_answer
/// @return false if a later life has answered before: the answer is late
bool shard_core::enter_life(worker_state& worker, std::int64_t started_ms, std::int64_t now_ms)
{
    const std::int64_t known_ms = worker.entry.started_ms;
    if (started_ms == 0 || started_ms == known_ms) {
        return true;
    }
    if (started_ms < known_ms) {
        return false;
    }
    if (known_ms != 0) {
        handle_restart(worker, started_ms, now_ms);
    }
    worker.entry.started_ms = started_ms;
    return true;
}

void shard_core::on_poll(const std::string& worker_id, std::int64_t sent_ms, bool extra,
                         const poll_answer& answer, std::int64_t now_ms)
{
    worker_state& worker = find_or_add_worker(worker_id);
    worker.poll_in_flight = worker.poll_in_flight && extra;
    if (worker.entry.address.empty()) {
        return;  // it has been left to another shard
    }
    if (answer.outcome == order_result::fenced) {
        fenced_ = fenced_ || sent_ms > worker.restarted_ms;
        worker.next_poll_ms = now_ms;
        return;
    }
    if (answer.outcome == order_result::not_sent) {
        worker.next_poll_ms = now_ms + poll_retry_ms;
        return;
    }
    if (answer.outcome != order_result::ok) {
        note_silence(worker, answer.outcome, now_ms);
        worker.next_poll_ms = now_ms + poll_retry_ms;
        if (answer.outcome == order_result::other_instance) {
            end_life(worker, now_ms);
        }
        return;
    }
    if (!enter_life(worker, answer.started_ms, now_ms)) {
        worker.next_poll_ms = now_ms;
        return;
    }
    if (worker.silent_since_ms != 0) {
        log_event(
            log_level::info, "worker",
            {{"worker", worker_id}, {"state", "answers"}, {"silent_ms", now_ms - worker.silent_since_ms}});
        refute_crash(worker, answer.started_ms);
        worker.silent_since_ms = 0;
        worker.silence = order_result::ok;
        worker.refusals = 0;
        worker.relayed.reset();
        schedule_needed_ = true;
    }
    prove_lost_runs(worker, now_ms);  // what is left is of earlier processes
    for (run_entry* run : worker.runs) {
        run->awaited = false;
    }
    worker.answered_poll_ms = sent_ms;
    if (!extra) {
        worker.forgotten_end = std::max(worker.forgotten_end, std::exchange(worker.polled_end, 0));
    }
    update_clock(worker, answer.clock_ms, now_ms);
    const bool all_ends = apply_ended(worker, answer, "worker", now_ms);
    apply_running(worker, sent_ms, answer, all_ends, now_ms);
    // The poll that finds another process has the token of the one before.
    if (!worker.synced && (worker.restarts == 0 || sent_ms > worker.restarted_ms)) {
        worker.synced = true;
        // From now on it rejects earlier tokens. The last renewal of a previous owner is at most one lease
        // old, unless it was meant for an earlier process.
        worker.lease_ordered_ms = now_ms;
        worker.lease_end_ms = worker.restarts > 0 || young(worker.entry.started_ms, now_ms)
                                  ? latest_granted_end(now_ms)
                                  : std::min(worker.lease_end_ms, latest_lease_end(now_ms));
        schedule_needed_ = true;
    }
    worker.next_poll_ms = worker.end_batch == 0 ? now_ms : now_ms + unstored_poll_ms;
    adjust_pace(worker, now_ms);
}

/// @param heard how the list came here, for the log
/// @return whether all ends of the worker are known now
bool shard_core::apply_ended(worker_state& worker, const poll_answer& answer, const char* heard,
                             std::int64_t now_ms)
{
    bool all = answer.ended.size() < max_ends_per_answer;
    bool changed = false;
    for (const ended_row& row : answer.ended) {
        if (row.number <= worker.applied_end) {
            continue;
        }
        if (expected(row.task, now_ms)) {
            all = false;  // acknowledged when the job is here; the ends behind it follow
            break;
        }
        worker.applied_end = row.number;
        changed = true;
        const auto found = runs_.find(row.task + "#" + std::to_string(row.run));
        if (found == runs_.end() || found->second->worker != &worker) {
            handle_unknown_end(worker.entry.id, row, heard, now_ms);
            continue;
        }
        if (worker.withheld_end == 0 && refused_by_store(row.task)) {
            worker.withheld_end = row.number;
        }
        unstored_ends_.push_back(
            {.batch = batch_ + 1, .read_ms = now_ms, .row = row, .worker = worker.entry.id});
        end_run(*found->second, row.kind, row.checkpoint, heard, now_ms);
    }
    if (changed) {
        batch_needed_ = true;
        worker.end_batch = batch_ + 1;
    }
    return all;
}

std::size_t shard_core::report_ends(const std::vector<ended_row>& ends, std::int64_t now_ms)
{
    std::size_t applied = 0;
    for (const ended_row& row : ends) {
        const auto found = runs_.find(row.task + "#" + std::to_string(row.run));
        if (found == runs_.end()) {
            handle_unknown_end({}, row, "peer", now_ms);
            continue;
        }
        if (row.kind == end_kind::done || row.kind == end_kind::failed) {
            unstored_ends_.push_back({.batch = batch_ + 1, .read_ms = now_ms, .row = row, .worker = {}});
            end_run(*found->second, row.kind, row.checkpoint, "peer", now_ms);
            ++applied;
        }
    }
    return applied;
}

/// @param all_ends whether a run that the answer does not list has ended without a listed end
void shard_core::apply_running(worker_state& worker, std::int64_t sent_ms, const poll_answer& answer,
                               bool all_ends, std::int64_t now_ms)
{
    std::set<std::string> present;
    // A list that a newer one has overtaken shows runs that have ended since.
    const bool newest = answer.clock_ms > worker.list_clock_ms;
    worker.list_clock_ms = std::max(worker.list_clock_ms, answer.clock_ms);
    for (const running_row& row : answer.running) {
        const std::string key = row.task + "#" + std::to_string(row.run);
        present.insert(key);
        const auto found = runs_.find(key);
        if (found == runs_.end() && expected(row.task, now_ms)) {
            if (newest) {
                note_unassigned_run(worker, row, now_ms);
            }
            continue;
        }
        if (found == runs_.end() || found->second->worker != &worker) {
            // Started by a previous owner or by a late order, or given up.
            if (!newest || !handle_unknown_run(worker, row, found != runs_.end(), now_ms)) {
                continue;
            }
        }
        run_entry& run = *runs_.at(key);
        if (run.stage == run_stage::starting || run.stage == run_stage::unconfirmed) {
            run.stage = run_stage::running;
            run.confirmed_ms = now_ms;
        }
        if (row.percent > run.percent) {
            run.progress_ms = now_ms;
        }
        run.percent = row.percent;
        run.recent_metric = row.recent_metric;
        run.listed = true;
        note_life(run);
        clear_suspicion(run);
        keep_checkpoint(*run.occurrence, run.step, run.index, row.checkpoint, now_ms);
        if (run.stopping) {
            request_stop(run, now_ms);
        }
    }
    if (!all_ends) {
        return;  // more ends follow; runs that are not listed may be among them
    }
    const std::vector<run_entry*> runs(worker.runs.begin(), worker.runs.end());
    for (run_entry* run : runs) {
        if (present.contains(run->key())) {
            continue;
        }
        // A poll of the same millisecond may have been sent before the confirmation arrived.
        const bool missing = run->confirmed_ms > 0 && run->confirmed_ms < sent_ms;
        const bool stopped = run->stop_confirmed_ms > 0 && run->stop_confirmed_ms < sent_ms;
        // The worker rejects a start whose lease time has passed on its clock, whenever it arrives.
        const bool too_late = run->stage == run_stage::unconfirmed && answer.clock_ms > run->lease_until_ms;
        // The start by an earlier owner may still be under way, and a worker that has started again does not
        // know the token that would reject it. A worker that has confirmed a stop rejects the run for good.
        if (missing && !stopped && run->inherited && !run->listed) {
            request_stop(*run, now_ms);
            continue;
        }
        if (missing || stopped || too_late) {
            ++counts_.lost;
            if (run->crashed_life_ms != worker.entry.started_ms) {
                prove_run_crashed(*run, now_ms);
            }
            requeue(*run, "the worker does not list the run", now_ms);
            continue;
        }
        if (run->stage == run_stage::unconfirmed && run->unanswered_ms <= sent_ms) {
            request_stop(*run, now_ms);
        }
    }
}

poll_order shard_core::make_poll(worker_state& worker, std::int64_t now_ms)
{
    // A worker that did not answer may have restarted and number its ends from 1 again. An acknowledgement
    // that has been answered is not repeated: the next process would forget ends that nobody has read.
    const bool acknowledges = worker.silent_since_ms == 0 && worker.stored_end > worker.forgotten_end;
    poll_order order{.fencing_token = token_of(worker),
                     .acknowledged_end = acknowledges ? worker.stored_end : 0,
                     .lease_until_ms = std::nullopt,
                     .wait_ms = 0};
    // The lease of a worker that does not answer is not renewed: it would be unknown whether the renewal
    // arrived, and so whether its runs continue or have lapsed.
    // Nor is any lease renewed before the next owner would learn of this one: it waits for the renewals of
    // the last owner that it knows of. Nor later than the next owner assumes.
    if (confirmed_ && now_ms <= renew_until_ms_ && worker.clock_ms >= 0 && !worker.runs.empty() &&
        worker.silent_since_ms == 0) {
        order.lease_until_ms = renew_lease(worker, now_ms);
    }
    return order;
}

void shard_core::plan_polls(std::int64_t now_ms, shard_effects& out)
{
    for (auto& entry : workers_) {
        worker_state* worker = entry.second.get();
        plan_relayed_orders(*worker, now_ms, out);
        if (worker->entry.address.empty() || (!worker->registered && worker->runs.empty())) {
            continue;
        }
        if (!worker->poll_in_flight && worker->next_poll_ms <= now_ms) {
            poll_order order = make_poll(*worker, now_ms);
            if (worker->synced && worker->end_batch == 0 && worker->silent_since_ms == 0) {
                order.wait_ms = options_.poll_wait_ms;
            }
            worker->poll_in_flight = true;
            worker->poll_sent_ms = now_ms;
            worker->polled_end = order.acknowledged_end;
            out.polls.push_back({worker->target(), order, false});
            continue;
        }
        // A stop of a run that has not started ends no poll early; only a newer list shows that it is gone.
        const bool unsettled =
            std::any_of(worker->runs.begin(), worker->runs.end(), [&](const run_entry* run) {
                const bool stopped =
                    run->stop_confirmed_ms > 0 && run->stop_confirmed_ms >= worker->poll_sent_ms;
                const bool unanswered = run->stage == run_stage::unconfirmed && !run->stopping &&
                                        run->unanswered_ms >= worker->poll_sent_ms;
                return (stopped || unanswered) && !run->listed;
            });
        if (worker->poll_in_flight && unsettled && now_ms - worker->poll_sent_ms >= extra_poll_ms) {
            worker->poll_sent_ms = now_ms;
            out.polls.push_back({worker->target(), make_poll(*worker, now_ms), true});
        }
    }
}

void shard_core::tick(std::int64_t now_ms, std::int64_t wall_ms)
{
    wall_offset_ms_ = wall_ms - now_ms;
    if (!loaded_) {
        return;
    }
    for (auto it = workers_.begin(); it != workers_.end();) {
        worker_state& worker = *it->second;
        if (worker.silent_since_ms != 0 && now_ms >= worker.lease_end_ms && !worker.runs.empty()) {
            expire_lease(worker, now_ms);
        }
        if (worker.entry.address.empty() && !worker.runs.empty() && now_ms >= worker.lease_end_ms) {
            expire_lease(worker, now_ms);  // not registered since the takeover
        }
        for (run_entry* run : std::vector<run_entry*>(worker.runs.begin(), worker.runs.end())) {
            // No list has told yet whether it has started; it may do so while the worker is being emptied.
            const bool leaving = worker.entry.draining || worker.closed_until_ms > now_ms;
            const bool unsettled = run->stage == run_stage::unconfirmed &&
                                   (leaving || now_ms - run->unanswered_ms > list_wait_ms);
            if (run->stopping || unsettled) {
                request_stop(*run, now_ms);
            }
        }
        // A worker that was cut off can still refute its crash when its registration is back.
        const std::int64_t keep_ms = worker.restarts > 0        ? restarted_keep_ms
                                     : worker.suspected.empty() ? unregistered_keep_ms
                                                                : proof_wait_ms;
        const bool removable = !worker.registered && worker.runs.empty() && !worker.poll_in_flight &&
                               now_ms - worker.removed_ms > keep_ms;
        it = removable ? workers_.erase(it) : std::next(it);
    }
    for (auto& [id, job] : jobs_) {
        if (job->spec.repeat_count > 0 && !job->ended()) {
            open_occurrences(*job, now_ms);
        }
    }
    for (auto& [id, worker] : workers_) {
        if (worker->closed_until_ms > now_ms || worker->entry.draining) {
            evacuate(*worker, now_ms);
        }
    }
    order_stored_starts(now_ms);
    check_awaited_proofs(now_ms);
    forget_ended_jobs(now_ms);
    report_waiting_tasks(now_ms);
    schedule_needed_ = true;
    copies_needed_ = true;
}

void shard_core::adjust_pace(worker_state& worker, std::int64_t now_ms)
{
    if (now_ms - worker.last_pace_ms < pace_interval_ms) {
        return;
    }
    double pressure = 0;  // worst tail latency, relative to its target
    bool uses_spare_cpu = false;
    for (const run_entry* run : worker.runs) {
        const step_spec& spec = run->occurrence->step(run->step);
        uses_spare_cpu = uses_spare_cpu || spec.uses_spare_cpu;
        if (spec.latency_target_ms > 0 && run->listed) {
            pressure = std::max(pressure, run->recent_metric / static_cast<double>(spec.latency_target_ms));
        }
    }
    if (!uses_spare_cpu) {
        return;
    }
    for (run_entry* run : worker.runs) {
        const step_spec& spec = run->occurrence->step(run->step);
        if (!spec.uses_spare_cpu || run->stage != run_stage::running || run->stopping) {
            continue;
        }
        int pace = run->pace;
        if (pressure > slow_down_above) {
            pace = std::max(min_pace, static_cast<int>(pace * pace_decrease_factor));
        }
        else if (pressure < speed_up_below) {
            pace = std::min(100, pace + pace_increase);
        }
        if (pace == run->pace) {
            continue;
        }
        run->pace = pace;
        worker.last_pace_ms = now_ms;
        paces_.push_back({worker.target(), {run->task, run->number, pace, token_of(worker)}});
        log_event(
            log_level::info, "pace",
            {{"task", run->task}, {"worker", worker.entry.id}, {"percent", pace}, {"pressure", pressure}});
    }
}

}  // namespace waxwingnotch
