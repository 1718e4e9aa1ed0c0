/// Runs of a shard: from the assignment to the end.
#include "shard/core_parts.hpp"

#include "waxwingnotch/base/log.hpp"

#include <algorithm>
#include <iterator>

namespace waxwingnotch {

namespace {

constexpr std::int64_t stop_retry_ms = 300;       // between stop orders until one is confirmed
constexpr std::int64_t rejection_pause_ms = 500;  // without new tasks for a worker that rejected a start
// Registrations are read four times a second. What was removed or missing before a longer gap may be back.
constexpr std::int64_t max_registrations_gap_ms = 1'500;
constexpr std::int64_t held_report_interval_ms = 1'000;  // between reports while starts are held
constexpr double failure_weight = 0.25;                  // of the newest run in a worker's failure rate
constexpr double max_duration_ratio = 4.0;  // cap of one sample of measured over declared run time
constexpr double duration_weight = 0.05;    // of the newest run in a queue's duration ratio

}  // namespace

const char* to_string(order_result outcome)
{
    switch (outcome) {
    case order_result::ok:
        return "ok";
    case order_result::fenced:
        return "a higher token is known";
    case order_result::superseded:
        return "this run has ended there";
    case order_result::lease_expired:
        return "the lease time has passed";
    case order_result::no_room:
        return "no room";
    case order_result::bad_ticket:
        return "no valid ticket";
    case order_result::refused:
        return "the worker is unhealthy";
    case order_result::invalid:
        return "the order cannot be read";
    case order_result::unexplained:
        return "an answer without a meaning";
    case order_result::other_instance:
        return "another worker answers";
    case order_result::no_answer:
        return "no answer";
    case order_result::disconnected:
        return "connection closed";
    case order_result::not_listening:
        return "connection refused";
    case order_result::not_sent:
        return "the link of this host is full";
    }
    return "unnamed";
}

bool unanswered(order_result outcome)
{
    return outcome == order_result::no_answer || outcome == order_result::disconnected ||
           outcome == order_result::not_listening;
}

const char* to_string(end_kind kind)
{
    switch (kind) {
    case end_kind::done:
        return "done";
    case end_kind::failed:
        return "failed";
    case end_kind::stopped:
        return "stopped";
    case end_kind::lapsed:
        return "lease lapsed";
    case end_kind::gang_broken:
        return "a gang member ended";
    case end_kind::gang_incomplete:
        return "the other gang members did not start";
    }
    return "unnamed";
}

shard_core::run_entry& shard_core::add_run(occurrence_entry& occurrence, std::uint32_t step,
                                           std::uint32_t index, std::uint32_t number, worker_state& worker)
{
    auto entry = std::make_unique<run_entry>();
    run_entry& run = *entry;
    run.occurrence = &occurrence;
    run.step = step;
    run.index = index;
    run.number = number;
    run.task = to_string(task_name{occurrence.job->spec.id, occurrence.number, step, index});
    run.worker = &worker;
    runs_[run.key()] = std::move(entry);
    worker.runs.insert(&run);
    worker.used += occurrence.step(step).reserved();
    task_progress& task = occurrence.task(step, index);
    task.runs.push_back({number, worker.incarnation()});
    ++occurrence.job->runs;
    return run;
}

void shard_core::remove_run(run_entry& run)
{
    occurrence_entry& occurrence = *run.occurrence;
    run.worker->used -= occurrence.step(run.step).reserved();
    run.worker->runs.erase(&run);
    --occurrence.job->runs;
    std::erase_if(occurrence.task(run.step, run.index).runs,
                  [&](const active_run& active) { return active.number == run.number; });
    runs_.erase(run.key());
    schedule_needed_ = true;
}

/// @param heard from whom: "worker" in its list, or "peer", a previous owner that could not store the end
void shard_core::record_end(occurrence_entry& occurrence, const run_entry& run, end_kind kind,
                            const char* heard, std::int64_t now_ms)
{
    const bool done = kind == end_kind::done;
    (done ? counts_.ends_done : kind == end_kind::failed ? counts_.ends_failed : counts_.ends_other) += 1;
    if (done || kind == end_kind::failed) {
        double& rate = run.worker->failure_rate;
        rate += failure_weight * ((done ? 0.0 : 1.0) - rate);
    }
    const step_spec& spec = occurrence.step(run.step);
    if (done && spec.estimate_ms > 0 && run.listed) {
        double& ratio = duration_ratio_.try_emplace(occurrence.job->spec.queue, 1.0).first->second;
        // Stragglers and ends that were listed late say little about the next task, hence the cap.
        const double sample = std::min(max_duration_ratio, static_cast<double>(now_ms - run.ordered_ms) /
                                                               static_cast<double>(spec.estimate_ms));
        ratio += duration_weight * (sample - ratio);
    }
    log_event(log_level::info, "run_end",
              {{"shard", options_.shard},
               {"epoch", options_.epoch},
               {"task", run.task},
               {"run", run.number},
               {"worker", run.worker->entry.id},
               {"how", to_string(kind)},
               {"heard", heard},
               {"inherited", run.inherited},
               {"ms", now_ms - run.ordered_ms}});
}

void shard_core::end_run(run_entry& run, end_kind kind, const std::string& checkpoint, const char* heard,
                         std::int64_t now_ms)
{
    occurrence_entry& occurrence = *run.occurrence;
    const std::uint32_t step = run.step;
    const std::uint32_t index = run.index;
    const step_spec& spec = occurrence.step(step);
    task_progress& task = occurrence.task(step, index);
    take_crash_back(run);  // its end is listed, so it was in no process that has crashed
    record_end(occurrence, run, kind, heard, now_ms);
    const std::string worker = run.worker->entry.id;
    remove_run(run);
    mark_changed(occurrence, step, index);
    keep_checkpoint(occurrence, step, index, checkpoint, now_ms);
    if (task.phase == task_phase::done || task.phase == task_phase::failed) {
        return;
    }
    if (kind == end_kind::done && !spec.long_running) {
        complete_task(occurrence, step, index, now_ms);
        return;
    }
    if (kind == end_kind::failed && !spec.long_running &&
        count_failure(occurrence, step, index, worker, now_ms)) {
        return;
    }
    if (task.runs.empty()) {
        task.phase = task_phase::waiting;
        ++occurrence.waiting_tasks;
    }
}

/// Counts an end `failed` of a task. At the limit of attempts the task fails, and its other runs are stopped.
/// @param worker on which the run has failed; empty: not known
/// @return whether the task has failed
bool shard_core::count_failure(occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index,
                               const std::string& worker, std::int64_t now_ms)
{
    task_progress& task = occurrence.task(step, index);
    ++task.failures;
    if (!worker.empty()) {
        occurrence.failed_on[{step, index}].insert(worker);
    }
    std::uint32_t failures = task.failures;
    if (occurrence.step(step).gang) {
        failures = 0;
        for (const task_progress& member : occurrence.progress.steps[step]) {
            failures += member.failures;
        }
    }
    if (failures < attempt_limit(*occurrence.job)) {
        return false;
    }
    occurrence.waiting_tasks -= task.phase == task_phase::waiting ? 1 : 0;
    task.phase = task_phase::failed;
    stop_task(occurrence, step, index, now_ms);
    finish_occurrence(occurrence, now_ms);
    return true;
}

/// Ends a task that one of its runs has done, and stops the others. The members of a gang end together.
void shard_core::complete_task(occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index,
                               std::int64_t now_ms)
{
    task_progress& task = occurrence.task(step, index);
    occurrence.waiting_tasks -= task.phase == task_phase::waiting ? 1 : 0;
    task.phase = task_phase::done;
    task.checkpoint.clear();
    task.given_up.clear();
    task.crashes = {};
    stop_task(occurrence, step, index, now_ms);
    if (occurrence.step(step).gang) {
        complete_gang(occurrence, step, now_ms);
    }
    finish_occurrence(occurrence, now_ms);
}

void shard_core::complete_gang(occurrence_entry& occurrence, std::uint32_t step, std::int64_t now_ms)
{
    for (std::uint32_t index = 0; index < occurrence.progress.steps[step].size(); ++index) {
        task_progress& task = occurrence.task(step, index);
        occurrence.waiting_tasks -= task.phase == task_phase::waiting ? 1 : 0;
        task.phase = task_phase::done;
        mark_changed(occurrence, step, index);
        stop_task(occurrence, step, index, now_ms);
    }
}

/// Removes a run that ended without its worker listing the end. The task waits again if it has no other run.
void shard_core::requeue(run_entry& run, const char* reason, std::int64_t now_ms)
{
    occurrence_entry& occurrence = *run.occurrence;
    const std::uint32_t step = run.step;
    const std::uint32_t index = run.index;
    log_event(log_level::info, "run_lost",
              {{"shard", options_.shard},
               {"epoch", options_.epoch},
               {"task", run.task},
               {"run", run.number},
               {"worker", run.worker->entry.id},
               {"inherited", run.inherited},
               {"life", run.life_ms},
               {"reason", reason},
               {"ms", now_ms - run.ordered_ms}});
    if (run.in_crash && run.suspicion != crash_suspicion::none) {
        weaken_unlisted(run);
        run.worker->suspected.push_back(
            {{occurrence.job->spec.id, occurrence.number, step, index}, run.suspicion, run.crashed_life_ms});
    }
    task_progress& task = occurrence.task(step, index);
    const bool open = task.phase == task_phase::active || task.phase == task_phase::waiting;
    if (open && run.stage != run_stage::writing && !occurrence.step(step).long_running) {
        add_given_up(task, run.number);  // its end counts if it is listed after all
    }
    remove_run(run);
    mark_changed(occurrence, step, index);
    if (task.phase == task_phase::active && task.runs.empty()) {
        task.phase = task_phase::waiting;
        ++occurrence.waiting_tasks;
    }
    if (occurrence.step(step).gang) {
        // The other members wait for one that does not start. Once they have ended, the gang can start again.
        for (std::uint32_t other = 0; other < occurrence.progress.steps[step].size(); ++other) {
            stop_task(occurrence, step, other, now_ms);
        }
    }
}

void shard_core::stop_task(occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index,
                           std::int64_t now_ms)
{
    const std::string name = to_string(task_name{occurrence.job->spec.id, occurrence.number, step, index});
    for (const active_run& active : occurrence.task(step, index).runs) {
        const auto found = runs_.find(name + "#" + std::to_string(active.number));
        if (found != runs_.end()) {
            request_stop(*found->second, now_ms);
        }
    }
}

void shard_core::request_stop(run_entry& run, std::int64_t now_ms)
{
    run.stopping = true;
    if (run.stage == run_stage::writing || run.stop_confirmed_ms > 0 ||
        (run.stop_sent_ms > 0 && now_ms - run.stop_sent_ms < stop_retry_ms)) {
        return;
    }
    run.stop_sent_ms = now_ms;
    stops_.push_back({run.worker->target(), {run.task, run.number, token_of(*run.worker)}});
}

/// @return what the runs on @p worker reserve whose start has been ordered
resources shard_core::ordered_resources(const worker_state& worker)
{
    resources total;
    for (const run_entry* run : worker.runs) {
        if (run->stage != run_stage::writing) {
            total += run->occurrence->step(run->step).reserved();
        }
    }
    return total;
}

void shard_core::on_stored(std::uint64_t batch, std::int64_t now_ms)
{
    stored_batch_ = std::max(stored_batch_, batch);
    for (auto& [id, worker] : workers_) {
        if (worker->end_batch != 0 && worker->end_batch <= batch) {
            worker->end_batch = 0;
            worker->stored_end = worker->withheld_end == 0
                                     ? worker->applied_end
                                     : std::min(worker->applied_end, worker->withheld_end - 1);
            worker->next_poll_ms = now_ms;
        }
    }
    std::erase_if(unstored_ends_, [&](const unstored_end& end) { return end.batch <= batch; });
    order_stored_starts(now_ms);
}

void shard_core::set_known_until(std::int64_t registrations_ms, std::int64_t jobs_ms)
{
    const bool gap =
        known_until_ && registrations_ms - known_until_->registrations_ms > max_registrations_gap_ms;
    registrations_current_since_ms_ = gap ? registrations_ms : registrations_current_since_ms_;
    known_until_ = known_until{.registrations_ms = registrations_ms, .jobs_ms = jobs_ms};
}

/// Whether this owner knows the state of the workers and the cancels well enough to start tasks.
bool shard_core::may_start(std::int64_t now_ms)
{
    const auto within = [now_ms](std::int64_t until_ms, std::int64_t limit_ms) {
        return limit_ms == 0 || now_ms - until_ms <= limit_ms;
    };
    const bool current =
        !known_until_ || (within(known_until_->registrations_ms, options_.max_registrations_age_ms) &&
                          within(known_until_->jobs_ms, options_.max_jobs_age_ms));
    const bool held = !current || (stored_starts_wait() && !ownership_is_recent(now_ms));
    if (held && (!holds_starts_ || now_ms - last_held_report_ms_ >= held_report_interval_ms)) {
        report_held_starts(now_ms);
    }
    holds_starts_ = held;
    return current;
}

bool shard_core::ownership_is_recent(std::int64_t now_ms) const
{
    return !ownership_confirmed_ms_ || now_ms - *ownership_confirmed_ms_ <= options_.max_ownership_age_ms;
}

bool shard_core::stored_starts_wait() const
{
    return !writing_.empty() && writing_.begin()->first <= stored_batch_;
}

/// Says that nothing starts until this owner is up to date.
void shard_core::report_held_starts(std::int64_t now_ms)
{
    counts_.starts_held += holds_starts_ ? 0 : 1;
    last_held_report_ms_ = now_ms;
    log_event(log_level::warning, "starts_held",
              {{"shard", options_.shard},
               {"epoch", options_.epoch},
               {"registrations_read", known_until_ && known_until_->registrations_ms != 0},
               {"registrations_age_ms", known_until_ ? now_ms - known_until_->registrations_ms : 0},
               {"jobs_age_ms", known_until_ ? now_ms - known_until_->jobs_ms : 0},
               {"ownership_age_ms", now_ms - ownership_confirmed_ms_.value_or(now_ms)},
               {"stored", writing_.size()}});
}

/// Whether as many tasks of the run's step as may run on one worker have been ordered to its worker.
bool shard_core::at_limit(const run_entry& run)
{
    const std::uint32_t most = run.occurrence->step(run.step).max_per_worker;
    const auto ordered =
        std::count_if(run.worker->runs.begin(), run.worker->runs.end(), [&run](const run_entry* other) {
            return other->occurrence == run.occurrence && other->step == run.step &&
                   other->stage != run_stage::writing;
        });
    return most > 0 && static_cast<std::uint32_t>(ordered) >= most;
}

/// @return why the start of a stored assignment must not be ordered any more, or null
const char* shard_core::obstacle_to_start(const run_entry& run, std::int64_t now_ms) const
{
    const worker_state& worker = *run.worker;
    if (run.stopping) {
        return "stopped before the start order was sent";
    }
    if (!worker.registered || worker.clock_ms < 0) {
        return "the worker left before the start order was sent";
    }
    if (worker.entry.draining || worker.closed_until_ms > now_ms) {
        return "the worker was closed before the start order was sent";
    }
    if (!fits(run.occurrence->step(run.step), worker.entry.capacity - ordered_resources(worker))) {
        return "the worker lost the room before the start order was sent";
    }
    if (at_limit(run)) {
        return "another task of the step went on there before the start order was sent";
    }
    const auto advice = advice_.find(run.occurrence->key() + "." + std::to_string(run.step));
    if (advice != advice_.end() && advice->second.valid_ticket(worker.entry.id, now_ms) == nullptr) {
        return "its ticket lapsed before the start order was sent";
    }
    return nullptr;
}

/// Orders the starts whose assignments are stored. They wait while this owner is not up to date, or may have
/// been replaced.
void shard_core::order_stored_starts(std::int64_t now_ms)
{
    if (!stored_starts_wait() || !may_start(now_ms)) {
        return;
    }
    if (!ownership_is_recent(now_ms)) {
        // Only an append shows whether a newer owner has claimed the shard; any one does.
        batch_needed_ = batch_needed_ || batch_ == stored_batch_;
        return;
    }
    std::vector<std::string> ready;
    while (!writing_.empty() && writing_.begin()->first <= stored_batch_) {
        std::vector<std::string>& keys = writing_.begin()->second;
        ready.insert(ready.end(), std::make_move_iterator(keys.begin()), std::make_move_iterator(keys.end()));
        writing_.erase(writing_.begin());
    }
    for (const std::string& key : ready) {
        const auto found = runs_.find(key);
        if (found == runs_.end() || found->second->stage != run_stage::writing) {
            continue;  // the run ended meanwhile
        }
        run_entry* run = found->second.get();
        worker_state& worker = *run->worker;
        if (const char* obstacle = obstacle_to_start(*run, now_ms)) {
            requeue(*run, obstacle, now_ms);
            continue;
        }
        run->stage = run_stage::starting;
        run->ordered_ms = now_ms;
        run->progress_ms = now_ms;
        const occurrence_entry& occurrence = *run->occurrence;
        std::string ticket;
        const std::string step = occurrence.key() + "." + std::to_string(run->step);
        if (const auto advice = advice_.find(step); advice != advice_.end()) {
            const advice_entry::ticket* valid = advice->second.valid_ticket(worker.entry.id, now_ms);
            ticket = valid == nullptr ? std::string() : valid->text;
        }
        ++counts_.starts;
        run->lease_until_ms = renew_lease(worker, now_ms);
        starts_.push_back(
            {worker.target(),
             {run->task, run->number, occurrence.job->spec.payload, run->lease_until_ms, token_of(worker),
              occurrence.progress.steps[run->step][run->index].checkpoint, ticket},
             worker.entry.started_ms});
    }
}

void shard_core::on_start(const std::string& worker_id, const start_order& order, const order_answer& answer,
                          std::int64_t now_ms)
{
    worker_state& worker = find_or_add_worker(worker_id);
    const auto found = runs_.find(order.task + "#" + std::to_string(order.run));
    if (found == runs_.end() || found->second->worker != &worker) {
        return;
    }
    run_entry& run = *found->second;
    if (run.stage != run_stage::starting && run.stage != run_stage::unconfirmed) {
        return;
    }
    schedule_needed_ = schedule_needed_ || start_bytes_left_ <= 0;
    log_event(log_level::info, "run_start",
              {{"shard", options_.shard},
               {"epoch", options_.epoch},
               {"task", run.task},
               {"run", run.number},
               {"worker", worker_id},
               {"token", order.fencing_token},
               {"outcome", to_string(answer.outcome)},
               {"relayed", answer.relayed},
               {"waited_ms", run.ordered_ms - run.occurrence->due_ms}});
    switch (answer.outcome) {
    case order_result::ok:
        run.stage = run_stage::running;
        run.confirmed_ms = now_ms;
        if (!answer.relayed && worker.answered_poll_ms != 0 &&
            now_ms - worker.answered_poll_ms <= same_life_ms) {
            note_life(run);
        }
        if (run.stopping) {
            request_stop(run, now_ms);
        }
        return;
    case order_result::not_listening:
        ++counts_.rejected;
        worker.silent_since_ms = worker.silent_since_ms == 0 ? now_ms : worker.silent_since_ms;
        worker.next_poll_ms = now_ms;
        break;
    case order_result::not_sent:  // says nothing about the worker
        break;
    case order_result::no_answer:
    case order_result::disconnected:
    case order_result::unexplained:
        ++counts_.unanswered;
        run.stage = run_stage::unconfirmed;
        worker.avoid_until_ms = now_ms + rejection_pause_ms;
        worker.silent_since_ms = worker.silent_since_ms == 0 ? now_ms : worker.silent_since_ms;
        worker.next_poll_ms = now_ms;
        run.unanswered_ms = now_ms;
        // The next list tells whether a long-running task has started; a stop could end it while others of
        // its step are away. Else a stop makes the order fail that may still be in flight, so that the task
        // can start elsewhere.
        if (!run.occurrence->step(run.step).long_running) {
            request_stop(run, now_ms);
        }
        return;
    case order_result::fenced:
        if (order.fencing_token == token_of(worker)) {
            fenced_ = true;
            return;
        }
        // Its next life has heard of this owner by a later order.
        ++counts_.rejected;
        break;
    default:
        ++counts_.rejected;
        worker.avoid_until_ms = now_ms + rejection_pause_ms;
        if (answer.outcome == order_result::bad_ticket) {
            const auto advice = advice_.find(run.occurrence->key() + "." + std::to_string(run.step));
            if (advice != advice_.end()) {
                advice->second.tickets.erase(worker_id);
            }
            run.occurrence->job->wants_ticket = run.occurrence->job->wants_ticket || order.ticket.empty();
        }
    }
    take_crash_back(run);  // the start was not executed
    requeue(run, to_string(answer.outcome), now_ms);
}

void shard_core::on_stop(const std::string& worker_id, const stop_order& order, const order_answer& answer,
                         std::int64_t now_ms)
{
    worker_state& worker = find_or_add_worker(worker_id);
    if (answer.outcome == order_result::fenced) {
        fenced_ = fenced_ || order.fencing_token == token_of(worker);
        return;
    }
    const auto found = runs_.find(order.task + "#" + std::to_string(order.run));
    // An answer to an earlier token may be of an earlier life of the worker, whose stops are forgotten.
    if (found == runs_.end() || order.fencing_token != token_of(worker)) {
        return;
    }
    run_entry& run = *found->second;
    // `superseded`: the run has ended already and cannot start any more.
    if (answer.outcome == order_result::ok || answer.outcome == order_result::superseded) {
        run.stop_confirmed_ms = now_ms;
        worker.next_poll_ms = std::min(worker.next_poll_ms, now_ms);
    }
}

}  // namespace waxwingnotch
