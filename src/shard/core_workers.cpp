/// Workers of a shard: registrations, leases, lists of runs.
#include "shard/core_parts.hpp"

#include "waxwingnotch/base/log.hpp"

#include <algorithm>

namespace waxwingnotch {

namespace {

constexpr std::int64_t retry_hold_ms = 150;     // after a hold without an answer
constexpr std::int64_t extra_hold_ms = 20;      // between holds that settle whether a run is gone
constexpr std::int64_t unstored_hold_ms = 400;  // while ends wait for the store; renews leases in time
constexpr std::int64_t lease_margin_ms = 150;   // an order is on its way, and timers fire late
constexpr std::size_t ends_per_answer = 500;    // a worker lists no more at once
constexpr std::int64_t pace_pause_ms = 400;     // four times what a worker needs to apply a pace
constexpr int pace_step = 10;                   // percent, upwards
constexpr int pace_floor = 5;
constexpr double pace_cut = 0.5;    // factor, downwards
constexpr double pace_high = 0.85;  // of the latency target: slower above
constexpr double pace_low = 0.6;    // faster below
constexpr std::int64_t evacuate_after_load_ms =
    2'000;                                         // a stop takes up to 0.9 s, and the list is up to 1 s old
constexpr std::int64_t leave_unlisted_ms = 2'000;  // entries are back this soon after an outage of the store

}  // namespace

shard_core::worker_state& shard_core::worker_at(const std::string& id)
{
    auto& slot = workers_[id];
    if (!slot) {
        slot = std::make_unique<worker_state>();
        slot->entry.id = id;
        // An earlier owner may have extended its lease until then.
        slot->lease_end_ms = loaded_ms_ + options_.inherited_lease_ms;
    }
    return *slot;
}

/// @return when a lease that is extended now has surely lapsed
std::int64_t shard_core::longest_lease_end(std::int64_t now_ms) const
{
    const auto longest = static_cast<std::int64_t>(static_cast<double>(options_.lease_ms) / slowest_clock);
    return now_ms + longest + lease_margin_ms;
}

void shard_core::earlier_owner_gone(std::int64_t now_ms)
{
    const std::int64_t end_ms = longest_lease_end(now_ms);
    for (auto& [id, worker] : workers_) {
        if (worker->clock_ms < 0) {
            worker->lease_end_ms = std::min(worker->lease_end_ms, end_ms);
        }
    }
}

std::int64_t shard_core::token_of(const worker_state& worker) const
{
    return options_.epoch * tokens_per_epoch + worker.lives % tokens_per_epoch;
}

void shard_core::put_worker(const worker_entry& entry, std::int64_t now_ms)
{
    worker_state& worker = worker_at(entry.id);
    const bool fresh = !worker.listed;
    const bool draining = entry.draining && !worker.entry.draining;
    const bool moved = worker.entry.address != entry.address;
    const std::int64_t born_ms = worker.entry.born_ms;
    worker.entry = entry;
    if (entry.born_ms == 0) {
        worker.entry.born_ms = born_ms;
    }
    else if (born_ms != 0 && born_ms != entry.born_ms) {
        worker.entry.born_ms = born_ms;
        adopt_life(worker, entry.born_ms, now_ms);
    }
    worker.listed = true;
    worker.removed_ms = 0;
    if (fresh || moved) {
        worker.next_hold_ms = now_ms;
        schedule_needed_ = true;
    }
    if (fresh || draining) {
        log_event(log_level::info, "worker",
                  {{"worker", entry.id},
                   {"service", entry.service},
                   {"state", entry.draining ? "draining" : "ready"}});
    }
    if (draining) {
        evacuate(worker, now_ms);
    }
}

void shard_core::remove_worker(const std::string& id, std::int64_t now_ms)
{
    const auto found = workers_.find(id);
    if (found == workers_.end() || !found->second->listed) {
        return;
    }
    found->second->listed = false;
    found->second->removed_ms = now_ms;
    log_event(log_level::info, "worker", {{"worker", id}, {"state", "unregistered"}});
}

void shard_core::note_clock(worker_state& worker, std::int64_t clock_ms, std::int64_t now_ms)
{
    // Answers may overtake each other; the estimate that runs ahead is the newer one.
    const std::int64_t estimate = worker.clock_ms < 0 ? -1 : worker.clock_ms + (now_ms - worker.clock_at_ms);
    if (worker.clock_ms < 0 || clock_ms > worker.clock_ms || clock_ms > estimate) {
        worker.clock_ms = clock_ms;
        worker.clock_at_ms = now_ms;
    }
}

/// @return the lease end for an order that leaves now, on the worker's clock
std::int64_t shard_core::lease_for(worker_state& worker, std::int64_t now_ms)
{
    const std::int64_t until = worker.clock_ms + (now_ms - worker.clock_at_ms) + options_.lease_ms;
    const auto slow = static_cast<std::int64_t>(static_cast<double>(until - worker.clock_ms) / slowest_clock);
    worker.lease_end_ms = std::max(worker.lease_end_ms, worker.clock_at_ms + slow + lease_margin_ms);
    return until;
}

/// A worker has started anew under its id and knows nothing of before.
void shard_core::adopt_life(worker_state& worker, std::int64_t born_ms, std::int64_t now_ms)
{
    log_event(log_level::info, "worker",
              {{"worker", worker.entry.id},
               {"state", "restarted"},
               {"born", born_ms},
               {"runs", worker.runs.size()}});
    worker.entry.born_ms = born_ms;
    ++worker.lives;
    worker.clock_ms = -1;
    worker.read_end = 0;
    worker.stored_end = 0;
    worker.end_batch = 0;
    worker.synced = false;
    worker.next_hold_ms = now_ms;
    // The next list, asked for with this owner's token, tells what is gone: an order of an earlier owner
    // may still reach the new life before that.
}

void shard_core::on_hold(const std::string& worker_id, std::int64_t sent_ms, bool extra,
                         const hold_answer& answer, std::int64_t now_ms)
{
    worker_state& worker = worker_at(worker_id);
    worker.hold_in_flight = worker.hold_in_flight && extra;
    if (answer.outcome == order_result::fenced) {
        fenced_ = true;
        return;
    }
    if (answer.outcome != order_result::ok) {
        if (worker.silent_since_ms == 0) {
            worker.silent_since_ms = now_ms;
            log_event(log_level::warning, "worker",
                      {{"worker", worker_id},
                       {"state", "silent"},
                       {"reason", to_string(answer.outcome)},
                       {"runs", worker.runs.size()}});
        }
        worker.next_hold_ms = now_ms + retry_hold_ms;
        if (answer.outcome == order_result::other_instance) {
            // This worker's life is over: no other process would answer at its address.
            worker.lease_end_ms = std::min(worker.lease_end_ms, now_ms);
            lapse(worker, now_ms);
        }
        return;
    }
    if (answer.born_ms != 0 && worker.entry.born_ms != 0 && answer.born_ms < worker.entry.born_ms) {
        worker.next_hold_ms = now_ms;
        return;  // a late answer of an earlier life
    }
    if (answer.born_ms != 0 && answer.born_ms != worker.entry.born_ms) {
        if (worker.entry.born_ms != 0) {
            adopt_life(worker, answer.born_ms, now_ms);
        }
        worker.entry.born_ms = answer.born_ms;
    }
    if (worker.silent_since_ms != 0) {
        log_event(
            log_level::info, "worker",
            {{"worker", worker_id}, {"state", "answers"}, {"silent_ms", now_ms - worker.silent_since_ms}});
        worker.silent_since_ms = 0;
        schedule_needed_ = true;
    }
    note_clock(worker, answer.clock_ms, now_ms);
    read_ended(worker, answer, now_ms);
    read_running(worker, sent_ms, answer, now_ms);
    if (!worker.synced) {
        worker.synced = true;
        // From now on it refuses an earlier owner, whose last extension is at most one lease old.
        worker.lease_end_ms = std::min(worker.lease_end_ms, longest_lease_end(now_ms));
        schedule_needed_ = true;
    }
    worker.next_hold_ms = worker.end_batch == 0 ? now_ms : now_ms + unstored_hold_ms;
    control_pace(worker, now_ms);
}

void shard_core::read_ended(worker_state& worker, const hold_answer& answer, std::int64_t now_ms)
{
    bool news = false;
    for (const ended_row& row : answer.ended) {
        if (row.number <= worker.read_end) {
            continue;
        }
        worker.read_end = row.number;
        news = true;
        const auto found = runs_.find(row.task + "#" + std::to_string(row.run));
        if (found != runs_.end() && found->second->worker == &worker) {
            unstored_ends_.emplace_back(batch_ + 1, row);
            end_run(*found->second, row.kind, row.checkpoint, now_ms);
        }
    }
    if (news) {
        batch_needed_ = true;
        worker.end_batch = batch_ + 1;
    }
}

void shard_core::report_ends(const std::vector<ended_row>& ends, std::int64_t now_ms)
{
    for (const ended_row& row : ends) {
        const auto found = runs_.find(row.task + "#" + std::to_string(row.run));
        if (found != runs_.end() && (row.kind == end_kind::done || row.kind == end_kind::failed)) {
            unstored_ends_.emplace_back(batch_ + 1, row);
            end_run(*found->second, row.kind, row.checkpoint, now_ms);
        }
    }
}

std::vector<ended_row> shard_core::unstored_ends() const
{
    std::vector<ended_row> ends;
    ends.reserve(unstored_ends_.size());
    for (const auto& [batch, row] : unstored_ends_) {
        ends.push_back(row);
    }
    return ends;
}

void shard_core::read_running(worker_state& worker, std::int64_t sent_ms, const hold_answer& answer,
                              std::int64_t now_ms)
{
    std::set<std::string> present;
    for (const running_row& row : answer.running) {
        const std::string key = row.task + "#" + std::to_string(row.run);
        present.insert(key);
        const auto found = runs_.find(key);
        if (found == runs_.end() || found->second->worker != &worker) {
            // Started by an earlier owner or late, and not wanted any more.
            log_event(log_level::warning, "run_unknown",
                      {{"task", row.task},
                       {"run", row.run},
                       {"worker", worker.entry.id},
                       {"known_elsewhere", found != runs_.end()},
                       {"outcome", "stopped"}});
            stops_.push_back({worker.target(), {row.task, row.run, token_of(worker)}});
            continue;
        }
        run_entry& run = *found->second;
        if (run.stage == run_stage::starting || run.stage == run_stage::doubtful) {
            run.stage = run_stage::running;
            run.confirmed_ms = now_ms;
        }
        if (row.percent > run.percent) {
            run.progress_ms = now_ms;
        }
        run.percent = row.percent;
        run.recent = row.recent;
        run.listed = true;
        if (!row.checkpoint.empty()) {
            run.item->task(run.step, run.index).checkpoint = row.checkpoint;
        }
        if (run.stopping) {
            order_stop(run, now_ms);
        }
    }
    if (answer.ended.size() >= ends_per_answer) {
        return;  // more ends follow; what is missing may be among them
    }
    const std::vector<run_entry*> runs(worker.runs.begin(), worker.runs.end());
    for (run_entry* run : runs) {
        if (present.contains(run->key())) {
            continue;
        }
        // A hold of the same millisecond may have left before the answer came.
        const bool gone = (run->confirmed_ms > 0 && run->confirmed_ms < sent_ms) ||
                          (run->stop_confirmed_ms > 0 && run->stop_confirmed_ms < sent_ms);
        if (gone) {
            ++counts_.lost;
            requeue(*run, "the worker does not list it", now_ms);
        }
    }
}

void shard_core::lapse(worker_state& worker, std::int64_t now_ms)
{
    const std::vector<run_entry*> runs(worker.runs.begin(), worker.runs.end());
    for (run_entry* run : runs) {
        if (run->stage != run_stage::writing) {
            ++counts_.lost;
            requeue(*run, "the lease of a worker that does not answer has lapsed", now_ms);
        }
    }
}

hold_order shard_core::hold_for(worker_state& worker, std::int64_t now_ms)
{
    // A worker that was silent may have started anew; its ends would be numbered from 1 again.
    hold_order order{.fencing_token = token_of(worker),
                     .confirmed_end = worker.silent_since_ms == 0 ? worker.stored_end : 0,
                     .lease_until_ms = std::nullopt,
                     .wait_ms = 0};
    // A worker that does not answer keeps the lease it has: extending it blindly would leave its runs
    // neither known to go on nor surely over.
    if (worker.clock_ms >= 0 && !worker.runs.empty() && worker.silent_since_ms == 0) {
        order.lease_until_ms = lease_for(worker, now_ms);
    }
    return order;
}

void shard_core::plan_holds(std::int64_t now_ms, shard_effects& out)
{
    for (auto& item : workers_) {
        worker_state* worker = item.second.get();
        if (worker->entry.address.empty() || (!worker->listed && worker->runs.empty())) {
            continue;
        }
        if (!worker->hold_in_flight && worker->next_hold_ms <= now_ms) {
            hold_order order = hold_for(*worker, now_ms);
            if (worker->synced && worker->end_batch == 0 && worker->silent_since_ms == 0) {
                order.wait_ms = options_.hold_wait_ms;
            }
            worker->hold_in_flight = true;
            worker->hold_sent_ms = now_ms;
            out.holds.push_back({worker->target(), order, false});
            continue;
        }
        // A run that was stopped before it began ends no wait; only a newer list shows that it is gone.
        const bool unsettled =
            std::any_of(worker->runs.begin(), worker->runs.end(), [&](const run_entry* run) {
                return run->stop_confirmed_ms > 0 && run->stop_confirmed_ms >= worker->hold_sent_ms &&
                       !run->listed;
            });
        if (worker->hold_in_flight && unsettled && now_ms - worker->hold_sent_ms >= extra_hold_ms) {
            worker->hold_sent_ms = now_ms;
            out.holds.push_back({worker->target(), hold_for(*worker, now_ms), true});
        }
    }
}

void shard_core::tick(std::int64_t now_ms, std::int64_t wall_ms)
{
    wall_offset_ms_ = wall_ms - now_ms;
    if (!loaded_) {
        return;
    }
    for (auto at = workers_.begin(); at != workers_.end();) {
        worker_state& worker = *at->second;
        if (worker.silent_since_ms != 0 && now_ms >= worker.lease_end_ms && !worker.runs.empty()) {
            lapse(worker, now_ms);
        }
        if (worker.entry.address.empty() && !worker.runs.empty() && now_ms >= worker.lease_end_ms) {
            lapse(worker, now_ms);  // never registered since the take-over
        }
        for (run_entry* run : std::vector<run_entry*>(worker.runs.begin(), worker.runs.end())) {
            if (run->stopping) {
                order_stop(*run, now_ms);
            }
        }
        const bool left = !worker.listed && worker.runs.empty() && !worker.hold_in_flight &&
                          now_ms - worker.removed_ms > leave_unlisted_ms;
        at = left ? workers_.erase(at) : std::next(at);
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
    forget_old(now_ms);
    schedule_needed_ = true;
    copies_needed_ = true;
}

void shard_core::control_pace(worker_state& worker, std::int64_t now_ms)
{
    if (now_ms - worker.last_pace_ms < pace_pause_ms) {
        return;
    }
    double pressure = 0;  // worst tail latency, relative to its target
    bool fills = false;
    for (const run_entry* run : worker.runs) {
        const step_spec& spec = run->item->step(run->step);
        fills = fills || spec.fills;
        if (spec.latency_target_ms > 0 && run->listed) {
            pressure = std::max(pressure, run->recent / static_cast<double>(spec.latency_target_ms));
        }
    }
    if (!fills) {
        return;
    }
    for (run_entry* run : worker.runs) {
        const step_spec& spec = run->item->step(run->step);
        if (!spec.fills || run->stage != run_stage::running || run->stopping) {
            continue;
        }
        int pace = run->pace;
        if (pressure > pace_high) {
            pace = std::max(pace_floor, static_cast<int>(pace * pace_cut));
        }
        else if (pressure < pace_low) {
            pace = std::min(100, pace + pace_step);
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

void shard_core::close_worker(const std::string& id, std::int64_t until_ms, std::int64_t now_ms)
{
    const auto found = workers_.find(id);
    if (found == workers_.end()) {
        return;
    }
    found->second->closed_until_ms = until_ms;
    evacuate(*found->second, now_ms);
}

/// Moves long-running tasks away from a worker that is leaving, one of a step at a time.
void shard_core::evacuate(worker_state& worker, std::int64_t now_ms)
{
    // A task that the earlier owner has just stopped is still listed as being at work.
    if (!worker.entry.draining && now_ms - loaded_ms_ < evacuate_after_load_ms) {
        return;
    }
    for (run_entry* run : std::vector<run_entry*>(worker.runs.begin(), worker.runs.end())) {
        occurrence_entry& item = *run->item;
        const step_spec& spec = item.step(run->step);
        if (!spec.long_running || run->stopping || run->stage != run_stage::running) {
            continue;
        }
        if (!worker.entry.draining) {
            std::uint32_t away = 0;
            for (std::uint32_t index = 0; index < spec.task_count; ++index) {
                if (index == run->index) {
                    continue;
                }
                const task_progress& other = item.task(run->step, index);
                const std::string name =
                    to_string(task_name{item.job->spec.id, item.number, run->step, index});
                const bool at_work =
                    std::any_of(other.runs.begin(), other.runs.end(), [&](const active_run& active) {
                        const auto entry = runs_.find(name + "#" + std::to_string(active.number));
                        return entry != runs_.end() && entry->second->percent >= 100 &&
                               !entry->second->stopping && entry->second->worker->silent_since_ms == 0;
                    });
                away += at_work ? 0 : 1;
            }
            // With this one gone too, no more than allowed may be away.
            if (away + 1 > spec.miss_allowed.value_or(0)) {
                continue;
            }
        }
        log_event(log_level::info, "evacuate",
                  {{"task", run->task}, {"worker", worker.entry.id}, {"draining", worker.entry.draining}});
        order_stop(*run, now_ms);
    }
}

drain_state shard_core::drain_of(const std::string& id) const
{
    const auto found = workers_.find(id);
    if (found == workers_.end()) {
        return {};
    }
    drain_state state{.known = true, .runs = found->second->runs.size()};
    state.unstored = found->second->end_batch != 0;
    for (const run_entry* run : found->second->runs) {
        state.serving = state.serving || run->item->step(run->step).long_running;
    }
    return state;
}

}  // namespace waxwingnotch
