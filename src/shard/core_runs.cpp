/// Runs of a shard: from the assignment to the end.
#include "shard/core_parts.hpp"

#include "waxwingnotch/base/log.hpp"

#include <algorithm>
#include <iterator>

namespace waxwingnotch {

namespace {

constexpr std::int64_t stop_retry_ms = 300;     // a stop without an answer is ordered again
constexpr std::int64_t refused_pause_ms = 500;  // a worker that turned work down gets none for this long
constexpr double trouble_weight = 0.25;         // of the newest run in a worker's moving average
constexpr double longest_ratio = 4.0;           // of a run time to the declared one, as a sample
constexpr double duration_weight = 0.05;        // of the newest run in a queue's moving average

bool counts_cpu(const step_spec& step)
{
    return !step.fills;
}

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
    case order_result::late:
        return "the lease time has passed";
    case order_result::no_room:
        return "no room";
    case order_result::bad_ticket:
        return "no valid ticket";
    case order_result::refused:
        return "the worker is unhealthy";
    case order_result::invalid:
        return "the order cannot be read";
    case order_result::other_instance:
        return "another worker answers";
    case order_result::no_answer:
        return "no answer";
    }
    return "unnamed";
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
        return "another member ended";
    case end_kind::gang_incomplete:
        return "the other members did not come";
    }
    return "unnamed";
}

shard_core::run_entry& shard_core::add_run(occurrence_entry& item, std::uint32_t step, std::uint32_t index,
                                           std::uint32_t number, worker_state& worker)
{
    auto owned = std::make_unique<run_entry>();
    run_entry& run = *owned;
    run.item = &item;
    run.step = step;
    run.index = index;
    run.number = number;
    run.task = to_string(task_name{item.job->spec.id, item.number, step, index});
    run.worker = &worker;
    runs_[run.key()] = std::move(owned);
    worker.runs.insert(&run);
    const step_spec& spec = item.step(step);
    worker.used.cpu_milli += counts_cpu(spec) ? spec.need.cpu_milli : 0;
    worker.used.memory_mb += spec.need.memory_mb;
    worker.used.gpus += spec.need.gpus;
    task_progress& task = item.task(step, index);
    task.runs.push_back({number, worker.life()});
    ++item.job->runs;
    return run;
}

void shard_core::drop_run(run_entry& run)
{
    occurrence_entry& item = *run.item;
    const step_spec& spec = item.step(run.step);
    run.worker->used.cpu_milli -= counts_cpu(spec) ? spec.need.cpu_milli : 0;
    run.worker->used.memory_mb -= spec.need.memory_mb;
    run.worker->used.gpus -= spec.need.gpus;
    run.worker->runs.erase(&run);
    --item.job->runs;
    std::erase_if(item.task(run.step, run.index).runs,
                  [&](const active_run& active) { return active.number == run.number; });
    runs_.erase(run.key());
    schedule_needed_ = true;
}

void shard_core::note_end(occurrence_entry& item, const run_entry& run, end_kind kind, std::int64_t now_ms)
{
    const bool done = kind == end_kind::done;
    (done ? counts_.ends_done : kind == end_kind::failed ? counts_.ends_failed : counts_.ends_other) += 1;
    if (done || kind == end_kind::failed) {
        double& trouble = run.worker->trouble;
        trouble += trouble_weight * ((done ? 0.0 : 1.0) - trouble);
    }
    const step_spec& spec = item.step(run.step);
    if (done && spec.estimate_ms > 0 && run.listed) {
        double& ratio = duration_ratio_.try_emplace(item.job->spec.queue, 1.0).first->second;
        // A straggler, or an end that was listed late, says little of the next task.
        const double seen = std::min(longest_ratio, static_cast<double>(now_ms - run.ordered_ms) /
                                                        static_cast<double>(spec.estimate_ms));
        ratio += duration_weight * (seen - ratio);
    }
    log_event(log_level::info, "run_end",
              {{"task", run.task},
               {"run", run.number},
               {"worker", run.worker->entry.id},
               {"how", to_string(kind)},
               {"ms", now_ms - run.ordered_ms}});
}

void shard_core::end_run(run_entry& run, end_kind kind, const std::string& checkpoint, std::int64_t now_ms)
{
    occurrence_entry& item = *run.item;
    const std::uint32_t step = run.step;
    const std::uint32_t index = run.index;
    const step_spec& spec = item.step(step);
    task_progress& task = item.task(step, index);
    note_end(item, run, kind, now_ms);
    const std::string worker = run.worker->entry.id;
    drop_run(run);
    mark(item);
    if (!checkpoint.empty()) {
        task.checkpoint = checkpoint;
    }
    if (task.phase == task_phase::done || task.phase == task_phase::failed) {
        return;
    }
    if (kind == end_kind::done && !spec.long_running) {
        task.phase = task_phase::done;
        task.checkpoint.clear();
        stop_task(item, step, index, now_ms);
        if (spec.gang) {
            complete_gang(item, step, now_ms);
        }
        finish_occurrence(item, now_ms);
        return;
    }
    if (kind == end_kind::failed && !spec.long_running) {
        ++task.failures;
        item.failed_on[{step, index}].insert(worker);
        std::uint32_t failures = task.failures;
        if (spec.gang) {
            failures = 0;
            for (const task_progress& member : item.progress.steps[step]) {
                failures += member.failures;
            }
        }
        if (failures >= attempts_of(*item.job)) {
            task.phase = task_phase::failed;
            stop_task(item, step, index, now_ms);
            finish_occurrence(item, now_ms);
            return;
        }
    }
    if (task.runs.empty()) {
        task.phase = task_phase::waiting;
        ++item.waiting;
    }
}

void shard_core::complete_gang(occurrence_entry& item, std::uint32_t step, std::int64_t now_ms)
{
    for (std::uint32_t index = 0; index < item.progress.steps[step].size(); ++index) {
        task_progress& task = item.task(step, index);
        item.waiting -= task.phase == task_phase::waiting ? 1 : 0;
        task.phase = task_phase::done;
        stop_task(item, step, index, now_ms);
    }
}

/// The run is over without an end that a worker has listed.
void shard_core::requeue(run_entry& run, const char* reason, std::int64_t now_ms)
{
    occurrence_entry& item = *run.item;
    const std::uint32_t step = run.step;
    const std::uint32_t index = run.index;
    log_event(log_level::info, "run_lost",
              {{"task", run.task},
               {"run", run.number},
               {"worker", run.worker->entry.id},
               {"reason", reason},
               {"ms", now_ms - run.ordered_ms}});
    drop_run(run);
    mark(item);
    task_progress& task = item.task(step, index);
    if (task.phase == task_phase::active && task.runs.empty()) {
        task.phase = task_phase::waiting;
        ++item.waiting;
    }
    if (item.step(step).gang) {
        // The others wait for a member that does not come; their ends make the step ready again.
        for (std::uint32_t other = 0; other < item.progress.steps[step].size(); ++other) {
            stop_task(item, step, other, now_ms);
        }
    }
}

void shard_core::stop_task(occurrence_entry& item, std::uint32_t step, std::uint32_t index,
                           std::int64_t now_ms)
{
    const std::string name = to_string(task_name{item.job->spec.id, item.number, step, index});
    for (const active_run& active : item.task(step, index).runs) {
        const auto found = runs_.find(name + "#" + std::to_string(active.number));
        if (found != runs_.end()) {
            order_stop(*found->second, now_ms);
        }
    }
}

void shard_core::order_stop(run_entry& run, std::int64_t now_ms)
{
    run.stopping = true;
    if (run.stage == run_stage::writing || run.stop_confirmed_ms > 0 ||
        (run.stop_sent_ms > 0 && now_ms - run.stop_sent_ms < stop_retry_ms)) {
        return;
    }
    run.stop_sent_ms = now_ms;
    stops_.push_back({run.worker->target(), {run.task, run.number, token_of(*run.worker)}});
}

void shard_core::stored(std::uint64_t batch, std::int64_t now_ms)
{
    stored_batch_ = std::max(stored_batch_, batch);
    for (auto& [id, worker] : workers_) {
        if (worker->end_batch != 0 && worker->end_batch <= batch) {
            worker->end_batch = 0;
            worker->stored_end = worker->read_end;
            worker->next_hold_ms = now_ms;
        }
    }
    std::erase_if(unstored_ends_, [&](const auto& item) { return item.first <= batch; });
    std::vector<std::string> ready;
    while (!writing_.empty() && writing_.begin()->first <= batch) {
        std::vector<std::string>& keys = writing_.begin()->second;
        ready.insert(ready.end(), std::make_move_iterator(keys.begin()), std::make_move_iterator(keys.end()));
        writing_.erase(writing_.begin());
    }
    for (const std::string& key : ready) {
        const auto found = runs_.find(key);
        if (found == runs_.end() || found->second->stage != run_stage::writing) {
            continue;  // its worker was lost meanwhile
        }
        run_entry* run = found->second.get();
        worker_state& worker = *run->worker;
        if (run->stopping) {
            requeue(*run, "stopped before it was ordered", now_ms);
            continue;
        }
        if (!worker.listed || worker.clock_ms < 0) {
            requeue(*run, "the worker left before the order", now_ms);
            continue;
        }
        run->stage = run_stage::starting;
        run->ordered_ms = now_ms;
        run->progress_ms = now_ms;
        const occurrence_entry& item = *run->item;
        std::string ticket;
        const std::string step = item.key() + "." + std::to_string(run->step);
        if (const auto advice = advice_.find(step); advice != advice_.end()) {
            const auto row = advice->second.tickets.find(worker.entry.id);
            ticket = row == advice->second.tickets.end() ? std::string() : row->second;
        }
        ++counts_.starts;
        starts_.push_back(
            {worker.target(),
             {run->task, run->number, item.job->spec.payload, lease_for(worker, now_ms), token_of(worker),
              item.progress.steps[run->step][run->index].checkpoint, ticket}});
    }
}

void shard_core::on_start(const std::string& worker_id, const start_order& order, const order_answer& answer,
                          std::int64_t now_ms)
{
    worker_state& worker = worker_at(worker_id);
    if (answer.clock_ms) {
        note_clock(worker, *answer.clock_ms, now_ms);
    }
    const auto found = runs_.find(order.task + "#" + std::to_string(order.run));
    if (found == runs_.end() || found->second->worker != &worker) {
        return;
    }
    run_entry& run = *found->second;
    if (run.stage != run_stage::starting && run.stage != run_stage::doubtful) {
        return;
    }
    log_event(log_level::info, "run_start",
              {{"task", run.task},
               {"run", run.number},
               {"worker", worker_id},
               {"token", order.fencing_token},
               {"outcome", to_string(answer.outcome)},
               {"waited_ms", run.ordered_ms - run.item->due_ms}});
    switch (answer.outcome) {
    case order_result::ok:
        run.stage = run_stage::running;
        run.confirmed_ms = now_ms;
        if (run.stopping) {
            order_stop(run, now_ms);
        }
        return;
    case order_result::no_answer:
        ++counts_.doubtful;
        run.stage = run_stage::doubtful;
        worker.silent_since_ms = worker.silent_since_ms == 0 ? now_ms : worker.silent_since_ms;
        worker.next_hold_ms = now_ms;
        // A stop makes an order that is still under way fail, so the task may start elsewhere.
        order_stop(run, now_ms);
        return;
    case order_result::fenced:
        fenced_ = true;
        return;
    default:
        ++counts_.rejected;
        worker.avoid_until_ms = now_ms + refused_pause_ms;
        if (answer.outcome == order_result::bad_ticket) {
            advice_.erase(run.item->key() + "." + std::to_string(run.step));
        }
        requeue(run, to_string(answer.outcome), now_ms);
    }
}

void shard_core::on_stop(const std::string& worker_id, const stop_order& order, const order_answer& answer,
                         std::int64_t now_ms)
{
    worker_state& worker = worker_at(worker_id);
    if (answer.clock_ms) {
        note_clock(worker, *answer.clock_ms, now_ms);
    }
    if (answer.outcome == order_result::fenced) {
        fenced_ = true;
        return;
    }
    const auto found = runs_.find(order.task + "#" + std::to_string(order.run));
    if (found == runs_.end()) {
        return;
    }
    run_entry& run = *found->second;
    // A run that is over already cannot be stopped, and cannot start any more either.
    if (answer.outcome == order_result::ok || answer.outcome == order_result::superseded) {
        run.stop_confirmed_ms = now_ms;
        worker.next_hold_ms = std::min(worker.next_hold_ms, now_ms);
    }
}

}  // namespace waxwingnotch
