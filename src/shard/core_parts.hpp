/// @file
/// Internal types of shard_core.
#pragma once

#include "waxwingnotch/decision/job_order.hpp"
#include "waxwingnotch/decision/task_placement.hpp"
#include "waxwingnotch/job/progress_parts.hpp"
#include "waxwingnotch/job/route.hpp"
#include "waxwingnotch/shard/shard_core.hpp"

#include <algorithm>
#include <optional>
#include <set>

namespace waxwingnotch {

/// A job and its open occurrences.
struct shard_core::job_entry {
    job_spec spec;
    std::int64_t arrived_ms = 0;  // submission time on this process's steady clock
    bool cancelled = false;
    bool failed = false;
    std::uint32_t next_occurrence = 0;  // number of the next one to open
    std::uint32_t completed_occurrences = 0;
    // Of its queue while that exists, else the latest known, or those in the job's record.
    std::uint32_t max_attempts = 1;
    queue_terms terms;
    bool wants_ticket = false;    // a worker has rejected a start because it had none
    bool started = false;         // a run of some task has been assigned
    std::int64_t ended_ms = 0;    // 0: not ended
    std::uint64_t end_batch = 0;  // store batch that contains its last end; 0: stored before
    std::map<std::uint32_t, std::unique_ptr<occurrence_entry>> occurrences;

    std::size_t runs = 0;            // active, including assignments that are not stored yet
    bool deleting = false;           // the deletion of its record has been requested
    bool deleted = false;            // its record has been deleted
    std::optional<job_route> route;  // the decision to run it here; none for a job of the home's own service
    bool ended() const { return cancelled || failed || completed_occurrences >= spec.occurrences(); }
};

/// A job that is stored here and runs in another shard.
struct shard_core::forward_entry {
    job_spec spec;
    job_route route;
    std::uint64_t route_batch = 0;  // store batch that contains the decision; 0: stored before
    bool cancelled = false;
    bool sending_job = false;
    bool sending_cancel = false;
    bool checking = false;
    bool deleting = false;                   // the deletion of its record has been requested
    std::vector<std::string> progress_keys;  // of a job that is handed over; deleted with the decision
    std::int64_t retry_ms = 0;               // no forwarding before
    std::int64_t check_ms = 0;               // no question whether the other shard knows it before

    /// Whether the other shard has all records of the job.
    bool settled() const { return route.forwarded && (!cancelled || route.cancel_forwarded); }
};

/// One occurrence of a job.
struct shard_core::occurrence_entry {
    job_entry* job = nullptr;
    std::uint32_t number = 0;
    std::int64_t due_ms = 0;  // steady clock; arrival time of a job that does not repeat
    occurrence_progress progress;
    progress_parts parts;               // records in which the progress is stored
    std::size_t waiting_tasks = 0;      // tasks in phase `waiting`, whether their step is ready or not
    waiting_job ranking;                // input of order_key(); each scheduling round updates its age
    std::int64_t ranking_until_ms = 0;  // the rest of `ranking` is recomputed after this; 0: it is outdated
    // Workers on which a task failed, by its step and index.
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::set<std::string>> failed_on;

    std::string key() const { return job->spec.id + "." + std::to_string(number); }
    task_progress& task(std::uint32_t step, std::uint32_t index) { return progress.steps[step][index]; }
    const step_spec& step(std::uint32_t number) const { return job->spec.steps[number]; }
};

/// Progress of a run from its assignment to its confirmed start.
enum class run_stage {
    writing,      // the assignment is not stored yet
    starting,     // the start order is in flight
    unconfirmed,  // the start order got no answer; the run may still start
    running,      // confirmed by the worker, or read from the store at the takeover
};

/// A run that is assigned and may be active.
struct shard_core::run_entry {
    occurrence_entry* occurrence = nullptr;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::uint32_t number = 0;
    std::string task;
    worker_state* worker = nullptr;
    run_stage stage = run_stage::writing;
    std::uint64_t batch = 0;  // store batch that contains the assignment
    std::int64_t ordered_ms = 0;
    std::int64_t lease_until_ms =
        0;                          // of its start order, on the worker's clock; 0: ordered by another owner
    std::int64_t confirmed_ms = 0;  // when its start was confirmed; lists requested later must contain it
    bool stopping = false;
    std::int64_t stop_sent_ms = 0;
    std::int64_t stop_confirmed_ms = 0;
    std::int64_t unanswered_ms = 0;    // when its start order counted as unanswered
    bool listed = false;               // seen in a worker's list of runs
    std::int64_t life_ms = 0;          // start of the process whose list has shown it; 0: none has
    bool inherited = false;            // ordered by a previous owner; `ordered_ms` is the takeover
    bool in_crash = false;             // its worker has crashed
    std::int64_t crashed_life_ms = 0;  // start of the process that has crashed
    bool awaited = false;  // its worker is silent, and its task waits until it is known how the run has ended
    crash_suspicion suspicion = crash_suspicion::none;  // what the crash added to the history of the task
    int percent = 0;
    std::int64_t progress_ms = 0;  // when `percent` last rose
    double recent_metric = 0;      // tail latency in ms of a serving task, else cpu in use
    int pace = 100;                // ordered share of its work, percent
    std::string key() const { return task + "#" + std::to_string(number); }
};

/// A task that is suspected of a crash and waits again, while the crash is not proved.
struct shard_core::suspected_task {
    task_name name;
    crash_suspicion suspicion = crash_suspicion::none;
    std::int64_t crashed_life_ms = 0;  // start of the process that may have crashed
};

/// Orders through other nodes to a worker that does not answer this one.
struct relayed_contact {
    bool poll_in_flight = false;
    std::uint64_t turn = 0;           // of the next poll
    std::int64_t next_ms = 0;         // no poll before
    std::int64_t answered_ms = 0;     // latest answer of the worker in this silence; 0: none
    std::uint64_t answered_turn = 0;  // of the poll that it answered
    bool follows_up = false;          // the poll in flight was sent at once after an answer
    std::int64_t ends_due =
        0;  // highest end number that came in this silence and is not acknowledged; 0: none

    /// Forgets what was learned in a silence that has ended, or of a life that has.
    void reset()
    {
        answered_ms = 0;
        ends_due = 0;
    }
};

/// A worker and its runs.
struct shard_core::worker_state {
    /// A run that it lists and that has no entry. It takes its room until a newer list does not show it.
    struct unassigned_run {
        std::int64_t list_clock_ms = -1;    // of the newest list that shows it, on the worker's clock
        std::int64_t restarts = 0;          // of the worker before that list
        std::int64_t listed_ms = 0;         // when that list was handled
        std::int64_t waited_ms = 0;         // since the first such list, without the silence of the worker
        std::optional<resources> reserved;  // what its task reserves; none: its job is not known
        std::string step;                   // JOB.OCCURRENCE.STEP
    };

    worker_entry entry;
    // Start of the process that wrote its newest registration, be it for another service; 0: not said.
    std::int64_t registered_life_ms = 0;
    bool registered = false;
    bool synced = false;  // has answered a poll of this owner
    std::set<run_entry*> runs;
    resources used;                                    // by `runs`
    std::map<std::string, unassigned_run> unassigned;  // by task and number
    std::int64_t clock_ms = -1;                        // its steady clock when it last answered; -1: never
    std::int64_t clock_at_ms = 0;                      // this process's steady clock then
    // This process's steady clock; by then the leases of the runs have lapsed that its lists have shown.
    std::int64_t lease_end_ms = 0;
    std::int64_t lease_ordered_ms = 0;  // when the latest order with a lease may have been sent; 0: none
    std::int64_t answered_poll_ms =
        0;  // when the latest poll was sent that its process has answered; 0: none
    bool poll_in_flight = false;
    std::int64_t poll_sent_ms = 0;
    std::int64_t next_poll_ms = 0;
    std::int64_t list_clock_ms = -1;   // its clock at the newest list of this life; -1: none was handled
    std::int64_t silent_since_ms = 0;  // since when it does not answer; 0: it answers
    order_result silence = order_result::ok;  // how the latest poll failed while it does not answer
    int refusals = 0;                         // connections that were refused in a row
    relayed_contact relayed;
    std::int64_t avoid_until_ms = 0;   // gets no tasks until then, because it rejected one
    std::int64_t closed_until_ms = 0;  // gets no tasks until then, because of a host operation
    std::int64_t stops_since_ms = 0;   // when its short runs were first stopped for that; 0: not
    std::int64_t applied_end = 0;      // highest end number that was applied
    std::int64_t stored_end = 0;       // highest end number that is in the store
    std::uint64_t end_batch = 0;       // store batch that contains `applied_end`; 0: stored
    std::int64_t polled_end = 0;       // acknowledged by the poll in flight; 0: none
    std::int64_t forgotten_end = 0;    // acknowledged by a poll that it has answered
    std::int64_t withheld_end = 0;     // lowest number of an end that the store does not take; 0: none
    std::int64_t removed_ms = 0;       // when it was unregistered; 0: registered
    bool host_lost = false;            // the platform says that its host runs it no more
    std::int64_t last_pace_ms = 0;
    std::vector<suspected_task> suspected;  // of its last crash, unless it is proved or refuted
    double failure_rate = 0;                // moving average over its recent runs, 0 to 1
    std::int64_t restarts = 0;              // seen by this owner
    std::int64_t restarted_ms = 0;          // when it saw the latest one; later orders have a higher token

    worker_target target() const { return {entry.id, entry.address}; }
    worker_incarnation incarnation() const { return {entry.id, entry.started_ms}; }
    /// Whether its newest list shows the run.
    bool lists(const unassigned_run& run) const
    {
        return run.list_clock_ms == list_clock_ms && run.restarts == restarts;
    }
    /// @return the room that unassigned runs take; none while that is not known
    std::optional<resources> unassigned_resources() const;
    /// @return how many unassigned runs are of @p step (JOB.OCCURRENCE.STEP)
    std::uint32_t unassigned_tasks(const std::string& step) const;
};

/// What the policy service has said about the workers for a step. Whether a worker is allowed does not change
/// in its life, so one that was refused is not asked about again.
struct shard_core::advice_entry {
    struct ticket {
        std::string text;
        std::int64_t valid_until_ms = 0;
    };
    std::vector<std::string> asked;         // workers of the latest request
    std::optional<std::int64_t> asked_ms;   // of the latest request
    std::int64_t retry_ms = 0;              // no request before
    std::int64_t valid_ms = 0;              // of the tickets in the latest answer; 0: there was none
    std::map<std::string, ticket> tickets;  // by worker id
    std::set<std::string> refused;          // worker ids

    /// @return the ticket of the worker, or null without one that is valid until @p time_ms
    const ticket* valid_ticket(const std::string& worker, std::int64_t time_ms) const
    {
        const auto found = tickets.find(worker);
        return found != tickets.end() && found->second.valid_until_ms > time_ms ? &found->second : nullptr;
    }
};

/// A worker and its free resources during one scheduling round.
struct shard_core::placement_view {
    worker_state* worker = nullptr;
    resources free;

    // Isolation of tasks that may have crashed a worker; see reserve_isolation().
    bool isolation = false;                      // takes only isolated tasks
    const occurrence_entry* isolates = nullptr;  // runs there; null: none yet
    std::int64_t busy_ms = 0;                    // until its runs that are not settled should end; 0: none
    std::uint32_t settled_tasks = 0;
    resources settled_used;

    resources isolation_room() const { return worker->entry.capacity - settled_used; }
    void reserve(const occurrence_entry& occurrence, const step_spec& step)
    {
        free -= step.reserved();
        isolates = isolation ? &occurrence : nullptr;
    }
};

/// The workers of a service that can take tasks in one scheduling round.
struct shard_core::placement_round {
    std::vector<placement_view> views;
    resources largest;  // maximum of each free resource over all workers

    void update_largest()
    {
        largest = {};
        for (const placement_view& view : views) {
            largest.cpu_milli = std::max(largest.cpu_milli, view.free.cpu_milli);
            largest.memory_mb = std::max(largest.memory_mb, view.free.memory_mb);
            largest.gpus = std::max(largest.gpus, view.free.gpus);
        }
    }
};

/// Fencing tokens per owner epoch. Each restart of a worker raises its token, so that the worker rejects
/// delayed orders that were meant for its previous incarnation.
constexpr std::int64_t tokens_per_epoch = 1'000;

/// A task that enough workers seem to have crashed under waits for one of them to answer, which proves or
/// refutes the crash. Workers that are gone this long, ten times what a restart takes, are not cut off for a
/// while.
constexpr std::int64_t proof_wait_ms = 60'000;

/// Longest record of progress with several tasks. With the 60 bytes that a task at work takes without a
/// checkpoint it holds some 250 tasks, and most jobs have one record.
constexpr std::size_t part_bytes = 16'384;

/// An order names no process of a worker, only its id, so the next process takes what was meant for the one
/// before. Workers have started again within 0.6 s; what is answered so soon after a poll was sent which a
/// process has answered is of the same process.
constexpr std::int64_t same_life_ms = 200;

/// Slowest rate of a worker's clock, relative to this process's clock.
constexpr double min_clock_rate = 0.98;

}  // namespace waxwingnotch
