/// Workers that do not answer: what becomes of their runs, and orders to them through other nodes.
#include "shard/core_parts.hpp"

#include "waxwingnotch/base/log.hpp"

#include <algorithm>
#include <utility>

namespace waxwingnotch {

namespace {

// A living worker that is cut off from the store as well is missing for up to 5.5 s. Its registration goes at
// the earliest 3 s after the beginning of the cut, as the last heartbeat came up to 1.5 s before, and returns
// within 2 s of the end of a cut of 6.5 s.
constexpr std::int64_t missing_limit_ms = 6'000;
// Between polls of one worker through other nodes. Callers wait no more than this longer for a task that is
// done, and a worker costs the other nodes two calls a second.
constexpr std::int64_t relayed_poll_interval_ms = 500;

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
/// registered here, its first list tells, since a start may still be under way to the new process. A run that
/// no list has shown may be one of the later process, whatever process its start was meant for.
bool shard_core::has_other_life(const run_entry& run)
{
    return !run.worker->registered && run.life_ms != 0 && run.worker->registered_life_ms > run.life_ms;
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
    const bool ended = worker.silence == order_result::other_instance || worker.host_lost;
    const std::vector<run_entry*> runs(worker.runs.begin(), worker.runs.end());
    for (run_entry* run : runs) {
        if (run->stage == run_stage::writing) {
            continue;
        }
        if (!gone && may_have_ended_task(*run) && !has_other_life(*run)) {
            await_end(*run, now_ms);
            continue;
        }
        if (!ended && now_ms < lease_end_of(*run)) {
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
               {"life", run.life_ms},
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

/// Whether a poll through another node may tell how a run of the worker has ended, or acknowledges ends that
/// came in this way.
bool shard_core::wants_relayed_poll(const worker_state& worker)
{
    if (worker.silent_since_ms == 0 || !worker.registered) {
        return false;
    }
    const bool acknowledges = worker.relayed.ends_due != 0 && worker.end_batch == 0;
    return acknowledges || std::any_of(worker.runs.begin(), worker.runs.end(),
                                       [](const run_entry* run) { return run->awaited; });
}

/// Plans the next poll of a silent worker through another node, and the stops of its runs through the node
/// that has reached it last.
void shard_core::plan_relayed_orders(worker_state& worker, std::int64_t now_ms, shard_effects& out)
{
    relayed_contact& relayed = worker.relayed;
    if (relayed.poll_in_flight || now_ms < relayed.next_ms || !wants_relayed_poll(worker)) {
        return;
    }
    const bool same_life = relayed.answered_ms != 0 && now_ms - relayed.answered_ms <= same_life_ms;
    // As in make_poll(), no lease of a silent worker is renewed: the answer may be lost.
    const poll_order order{.fencing_token = token_of(worker),
                           .acknowledged_end = same_life && relayed.ends_due != 0 ? worker.stored_end : 0,
                           .lease_until_ms = std::nullopt,
                           .wait_ms = 0};
    if (same_life) {
        for (const run_entry* run : worker.runs) {
            if (run->stopping && run->awaited && run->stop_confirmed_ms == 0) {
                out.stops.push_back({worker.target(),
                                     {run->task, run->number, order.fencing_token},
                                     relay_route{relayed.answered_turn, worker.entry.started_ms}});
            }
        }
    }
    relayed.poll_in_flight = true;
    relayed.follows_up = same_life;
    relayed.next_ms = now_ms + relayed_poll_interval_ms;
    out.polls.push_back(
        {worker.target(), order, false, relay_route{relayed.turn++, worker.entry.started_ms}});
}

void shard_core::on_relayed_poll(const poll_effect& poll, std::int64_t sent_ms, const poll_answer& answer,
                                 std::int64_t now_ms)
{
    const auto found = workers_.find(poll.worker.id);
    if (found == workers_.end()) {
        return;
    }
    worker_state& worker = *found->second;
    worker.relayed.poll_in_flight = false;
    const bool overtaken = worker.silent_since_ms == 0 || worker.silent_since_ms > sent_ms ||
                           poll.order.fencing_token != token_of(worker);
    if (overtaken || worker.entry.address != poll.worker.address) {
        return;  // a direct answer, a new life or a new address is newer than this
    }
    if (answer.outcome == order_result::fenced) {
        fenced_ = true;
        return;
    }
    if (answer.outcome == order_result::other_instance) {
        note_silence(worker, answer.outcome, now_ms);
        end_life(worker, now_ms);
        return;
    }
    // Any other outcome may be of the path between the nodes, and tells nothing of the worker.
    if (answer.outcome != order_result::ok || !enter_life(worker, answer.started_ms, now_ms)) {
        return;
    }
    relayed_contact& relayed = worker.relayed;
    if (relayed.answered_ms == 0) {
        log_event(log_level::info, "worker",
                  {{"worker", worker.entry.id},
                   {"state", "answers another node"},
                   {"silent_ms", now_ms - worker.silent_since_ms},
                   {"runs", worker.runs.size()}});
    }
    relayed.answered_ms = now_ms;
    relayed.answered_turn = poll.relay->turn;
    if (poll.order.acknowledged_end >= relayed.ends_due) {
        relayed.ends_due = 0;
    }
    const std::int64_t applied_before = worker.applied_end;
    const bool all_ends = apply_ended(worker, answer, "relay", now_ms);
    if (worker.applied_end > applied_before) {
        relayed.ends_due = worker.applied_end;
    }
    apply_running(worker, sent_ms, answer, all_ends, now_ms);
    // What depends on this life goes at once.
    const bool stops = std::any_of(worker.runs.begin(), worker.runs.end(), [](const run_entry* run) {
        return run->stopping && run->awaited && run->stop_confirmed_ms == 0;
    });
    if (!relayed.follows_up && (stops || (relayed.ends_due != 0 && worker.end_batch == 0))) {
        relayed.next_ms = now_ms;
    }
}

}  // namespace waxwingnotch
