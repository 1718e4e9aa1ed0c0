/// @file
/// Inner types of the shard's core.
#pragma once

#include "waxwingnotch/decision/job_order.hpp"
#include "waxwingnotch/decision/task_placement.hpp"
#include "waxwingnotch/shard/shard_core.hpp"

#include <algorithm>

namespace waxwingnotch {

/// A job and its open occurrences.
struct shard_core::job_entry {
    job_spec spec;
    std::int64_t arrived_ms = 0;  // submitted, on this process's steady clock
    bool cancelled = false;
    bool failed = false;
    std::uint32_t next_occurrence = 0;  // not opened yet
    std::uint32_t completed_occurrences = 0;
    std::uint32_t max_attempts = 1;  // of its queue while that exists, else as it was accepted
    bool started = false;            // some task has been given a run
    std::int64_t ended_ms = 0;       // 0: not ended
    std::uint64_t end_batch = 0;     // store batch with its last end; 0: the store had it before
    std::map<std::uint32_t, std::unique_ptr<occurrence_entry>> occurrences;

    std::size_t runs = 0;  // under way
    bool ended() const { return cancelled || failed || completed_occurrences >= spec.occurrences(); }
};

/// One occurrence.
struct shard_core::occurrence_entry {
    job_entry* job = nullptr;
    std::uint32_t number = 0;
    std::int64_t due_ms = 0;  // steady clock; for a job without times, when it arrived
    occurrence_progress progress;
    std::size_t waiting = 0;  // tasks in phase `waiting`, ready or not
    waiting_job outlook;  // what the order of waiting goes by; its age is brought up to date by each round
    std::int64_t outlook_until_ms = 0;  // the learned run times in it are good until then; 0: it has changed
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::set<std::string>> failed_on;  // task: workers

    std::string key() const { return job->spec.id + "." + std::to_string(number); }
    task_progress& task(std::uint32_t step, std::uint32_t index) { return progress.steps[step][index]; }
    const step_spec& step(std::uint32_t at) const { return job->spec.steps[at]; }
};

/// How far an order to start has come.
enum class run_stage {
    writing,   // the assignment is not stored yet
    starting,  // ordered, no answer yet
    doubtful,  // no answer: it may begin late
    running,   // the worker has confirmed it, or an earlier owner has written it
};

/// A run that may be under way.
struct shard_core::run_entry {
    occurrence_entry* item = nullptr;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::uint32_t number = 0;
    std::string task;
    worker_state* worker = nullptr;
    run_stage stage = run_stage::writing;
    std::uint64_t batch = 0;  // store batch with the assignment
    std::int64_t ordered_ms = 0;
    std::int64_t confirmed_ms = 0;  // known to be there; later lists must show it
    bool stopping = false;
    std::int64_t stop_sent_ms = 0;
    std::int64_t stop_confirmed_ms = 0;
    bool listed = false;  // seen in a list of the worker
    int percent = 0;
    std::int64_t progress_ms = 0;  // when `percent` last rose
    double recent = 0;             // tail latency in ms, or cpu in use
    int pace = 100;                // ordered share
    std::string key() const { return task + "#" + std::to_string(number); }
};

/// A worker and what runs there.
struct shard_core::worker_state {
    worker_entry entry;
    bool listed = false;  // registered now
    bool synced = false;  // has answered a hold of this owner
    std::set<run_entry*> runs;
    resources used;
    std::int64_t clock_ms = -1;     // its steady clock when it last answered; -1: never
    std::int64_t clock_at_ms = 0;   // our time then
    std::int64_t lease_end_ms = 0;  // our time at which its leases have surely lapsed
    bool hold_in_flight = false;
    std::int64_t hold_sent_ms = 0;
    std::int64_t next_hold_ms = 0;
    std::int64_t silent_since_ms = 0;  // 0: it answers
    std::int64_t avoid_until_ms = 0;   // it turned work down
    std::int64_t closed_until_ms = 0;  // a host operation is near
    std::int64_t read_end = 0;         // highest end number that was applied
    std::int64_t stored_end = 0;       // highest that is in the store
    std::uint64_t end_batch = 0;       // batch that holds `read_end`; 0: stored
    std::int64_t removed_ms = 0;       // unregistered since; 0: registered
    std::int64_t last_pace_ms = 0;
    double trouble = 0;      // recent runs that failed, as a moving average
    std::int64_t lives = 0;  // restarts that this owner has seen

    worker_target target() const { return {entry.id, entry.address}; }
    worker_life life() const { return {entry.id, entry.born_ms}; }
};

/// What the policy service said of a step.
struct shard_core::advice_entry {
    bool asked = false;
    std::int64_t asked_ms = 0;
    std::int64_t valid_until_ms = 0;
    std::map<std::string, std::string> tickets;  // worker id: ticket
};

/// A worker as a place for tasks during one round of scheduling.
struct shard_core::placement_view {
    worker_state* worker = nullptr;
    resources free;

    void take(const step_spec& step)
    {
        free.cpu_milli -= step.fills ? 0 : step.need.cpu_milli;
        free.memory_mb -= step.need.memory_mb;
        free.gpus -= step.need.gpus;
    }
};

/// The workers of a service during one round of scheduling.
struct shard_core::placement_round {
    std::vector<placement_view> views;
    resources largest;  // no worker has more room than this, in each respect

    void measure()
    {
        largest = {};
        for (const placement_view& view : views) {
            largest.cpu_milli = std::max(largest.cpu_milli, view.free.cpu_milli);
            largest.memory_mb = std::max(largest.memory_mb, view.free.memory_mb);
            largest.gpus = std::max(largest.gpus, view.free.gpus);
        }
    }
};

/// Tokens of one owner at one worker: a life of the worker that starts anew gets a higher one, so that
/// orders for the life before, which may come late, are refused.
constexpr std::int64_t tokens_per_epoch = 1'000;

/// Factor by which a worker's clock may run slow.
constexpr double slowest_clock = 0.98;

}  // namespace waxwingnotch
