/// @file
/// State and decisions of the owner of one shard: the jobs of some services and the workers that run
/// them. The core does no I/O. Its caller reports events together with the current time and executes
/// the effects that the core returns.
///
///     core.add_job(spec, 0, now);
///     shard_effects effects = core.take_effects(now);
///     // store effects.writes, then call core.on_stored(effects.batch, now)
///
/// The core orders a start only after the assignment is stored, and acknowledges an end to the worker
/// only after the end is stored. A new owner that reads the store therefore never runs a task twice.
#pragma once

#include "waxwingnotch/decision/crash_suspicion.hpp"
#include "waxwingnotch/decision/host_drain.hpp"
#include "waxwingnotch/decision/job_order.hpp"
#include "waxwingnotch/decision/task_placement.hpp"
#include "waxwingnotch/job/progress.hpp"
#include "waxwingnotch/job/route.hpp"
#include "waxwingnotch/shard/shard_effects.hpp"

#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace waxwingnotch {

struct shard_options {
    int shard = 0;           // its number
    std::int64_t epoch = 0;  // the store and the workers reject owners with a lower epoch
    // Workers keep their runs for this long without a renewal; longer than a takeover takes.
    std::int64_t lease_ms = 4'000;
    // A worker answers a poll after this time at the latest when no run ends; a quarter of the lease.
    std::int64_t poll_wait_ms = 1'000;
    // Longest lease that a worker grants. An order names the end of a lease on the clock of the worker's
    // process; the next process under the same id has another clock, and may grant as much for it.
    std::int64_t max_lease_ms = 10'000;
    // A previous owner that cannot be reached may renew leases for 3 s after the takeover, and late timers.
    std::int64_t previous_renewals_ms = 3'750;
    // How long the jobs that have ended are kept; twice the time promised to callers.
    std::int64_t ended_job_retention_ms = 240'000;
    // Tasks of the open occurrences of one job, unless one occurrence alone has more. Without a limit, a
    // short submission whose repeats are all due at once takes the memory of every node that owns its shard.
    std::uint64_t max_open_tasks = 2 * max_tasks;
    // Starts wait while this owner's knowledge of the workers' registrations, or of the jobs and cancels, is
    // older than this. 0: no limit.
    std::int64_t max_registrations_age_ms = 0;
    std::int64_t max_jobs_age_ms = 0;
    // Starts wait while the latest confirmation of this ownership was sent longer ago than this: with its
    // lease, a later one could outlast what the next owner assumes, see `previous_renewals_ms`.
    std::int64_t max_ownership_age_ms = 2'600;
    // Starts that are being stored or have not been answered may have so many bytes, so that those of a load
    // peak do not wait in the queue of the link until they count as lost. 0: no limit.
    std::int64_t max_open_start_bytes = 0;
    // Longest record that the store takes, with its key.
    std::size_t max_record_bytes = 262'144;
};

/// Demand of a service on its pool, for decisions on moves of hosts.
struct service_demand {
    std::int64_t waiting_cpu_ms = 0;     // core-milliseconds of ready tasks, without long-running jobs
    std::int64_t running_cpu_milli = 0;  // reserved by active runs or needed by long-running tasks that wait
    std::int64_t running_memory_mb = 0;  // the same
    std::uint32_t min_workers = 0;       // of the step that must be spread over the most workers
    std::vector<std::string> busy;       // workers with active runs or with ends that are not stored yet
};

/// Counters since the core was constructed.
struct shard_counts {
    std::uint64_t starts = 0;
    std::uint64_t ends_done = 0;
    std::uint64_t ends_failed = 0;
    std::uint64_t ends_other = 0;
    std::uint64_t lost = 0;            // runs that their worker no longer lists or whose lease has lapsed
    std::uint64_t awaited = 0;         // runs on silent workers that may have ended their tasks
    std::uint64_t presumed_lost = 0;   // of these: given up, as the worker counts as gone
    std::uint64_t rejected = 0;        // starts that a worker rejected
    std::uint64_t unanswered = 0;      // starts without an answer
    std::uint64_t worker_crashes = 0;  // with runs on the worker, and not by an order to its host
    std::uint64_t given_up = 0;        // tasks that crashed their workers
    std::uint64_t runs_unknown = 0;    // rows of runs that workers listed and no record assigned to them
    std::uint64_t ends_unknown = 0;    // ends of runs that the states of their tasks do not explain
    std::uint64_t runs_adopted = 0;    // of runs_unknown: went on, as their tasks were waiting
    std::uint64_t starts_held = 0;     // times that this owner ceased to start tasks until it is up to date
    std::uint64_t ends_adopted = 0;    // ends `done` of runs that had been given up, which ended their tasks
    std::uint64_t records_unreadable = 0;    // of jobs and their progress that this version cannot decode
    std::uint64_t records_refused = 0;       // of progress, by the store; their jobs start nothing more
    std::uint64_t checkpoints_too_long = 0;  // seen in lists of workers and not kept
};

/// What an owner knows of a task.
enum class task_state : std::uint8_t {
    no_job,       // no record of its job, or a deleted one
    other_shard,  // the job is stored here and runs in another shard
    no_task,      // the job has no such task, or its occurrence has not been opened
    job_ended,    // the task had not ended before its job did
    waiting,
    active,
    done,
    failed,
};
const char* to_string(task_state state);

/// What an owner knows of a task and its runs; tells why it does not know a run that a worker lists.
struct task_report {
    task_state state = task_state::no_job;
    bool long_running = false;
    std::uint32_t last_run = 0;    // highest run number assigned, by this owner or an earlier one; 0: none
    std::uint32_t active_run = 0;  // the run asked about, if it may be active, else the newest; 0: none
    std::string active_worker;     // of `active_run`
};

class shard_core {
public:
    explicit shard_core(shard_options options);
    ~shard_core();
    shard_core(const shard_core&) = delete;
    shard_core& operator=(const shard_core&) = delete;
    shard_core(shard_core&&) = delete;
    shard_core& operator=(shard_core&&) = delete;

    // Takeover: load the records in any order, then call finish_load().
    void load_progress(const std::string& key, std::string_view bytes);
    void finish_load(std::int64_t now_ms);
    bool loaded() const { return loaded_; }

    /// The next owner will learn from the store that this one has owned the shard. Until then no lease is
    /// renewed.
    void on_owner_stored() { confirmed_ = true; }
    /// The previous owner renews no more leases: it has released the shard.
    void on_previous_owner_gone(std::int64_t now_ms);
    /// The store names no previous owner: no worker has had an order of one.
    void on_first_owner(std::int64_t now_ms);

    // Requests of callers and operators. Repeated calls have no effect. Calls before finish_load() are part
    // of the takeover.
    /// @param job runs here unless it names another shard; then it is forwarded, unless it is known already
    void add_job(const job_spec& job, std::int64_t age_ms, std::int64_t now_ms);
    /// The record of a job, or the decision about it, cannot be decoded. Nothing of the job starts, and its
    /// records stay in the store; the ends of its runs are noted.
    void add_unreadable_job(const std::string& id, std::int64_t now_ms);
    void cancel_job(const std::string& id, std::int64_t now_ms);
    /// The record of a job has been deleted from the store. Its progress is deleted only now: a record
    /// without progress would be a new job to the next owner, and its tasks would run again.
    void remove_job(const std::string& id);
    void set_config(std::shared_ptr<const cluster_config> config);
    /// Hands jobs over that lie here and whose service another shard runs: each with its progress, so that
    /// runs go on. An earlier version has stored them here. To be called before any worker is put.
    /// @param shards by service, of all services that have one
    void set_service_shards(std::map<std::string, int> shards, std::int64_t now_ms);
    /// Leaves the runs of jobs alone that other shards will hand over, for at most a minute from the
    /// takeover.
    /// @param ids of the jobs
    void expect_jobs(std::set<std::string> ids);

    // Registrations and answers of workers.
    void put_worker(const worker_entry& entry, std::int64_t now_ms);
    void remove_worker(const std::string& id, std::int64_t now_ms);
    /// The worker belongs to another shard now, whose owner orders it. This one sends it nothing more and
    /// waits until the leases of its runs have lapsed.
    /// @param started_ms start of the process that has registered there; 0: not said
    void leave_worker(const std::string& id, std::int64_t started_ms, std::int64_t now_ms);
    /// The platform says that no host runs the worker any more.
    void note_host_lost(const std::string& id);
    /// @return silent workers that are not registered and may have ended tasks that wait for them
    std::vector<std::string> missing_workers() const;
    /// @param sent_ms when the poll was sent; a run that the answer does not list is gone only if its start
    ///        or stop was confirmed before
    /// @param extra as in poll_effect
    void on_poll(const std::string& worker, std::int64_t sent_ms, bool extra, const poll_answer& answer,
                 std::int64_t now_ms);
    /// The answer to a poll through another node. It settles runs and tells of another life of the worker;
    /// the worker stays silent, as this owner does not reach it.
    /// @param sent_ms as in on_poll()
    void on_relayed_poll(const poll_effect& poll, std::int64_t sent_ms, const poll_answer& answer,
                         std::int64_t now_ms);
    void on_start(const std::string& worker, const start_order& order, const order_answer& answer,
                  std::int64_t now_ms);
    void on_stop(const std::string& worker, const stop_order& order, const order_answer& answer,
                 std::int64_t now_ms);
    void on_advice(const std::string& step, const advice_answer& answer, std::int64_t now_ms);
    void on_forwarded(const std::string& id, bool cancel, bool stored, std::int64_t now_ms);
    /// @param known whether the shard that runs the job knows it; none: it did not answer
    void on_forward_checked(const std::string& id, std::optional<bool> known, std::int64_t now_ms);
    /// The writes of @p batch and of all batches before it are in the store, but those that it has refused.
    void on_stored(std::uint64_t batch, std::int64_t now_ms);
    /// The store does not take the record of @p key. To be called before on_stored() of its batch. The job
    /// starts nothing more under this owner, and its ends that are not stored are not acknowledged.
    void on_record_refused(const std::string& key, std::int64_t now_ms);
    /// Tells up to when this owner knows the registrations of the workers, and the jobs and cancels. Until
    /// the first call it counts as up to date.
    void set_known_until(std::int64_t registrations_ms, std::int64_t jobs_ms);
    /// Tells when the latest append was sent by which the store has confirmed this ownership.
    void set_ownership_confirmed(std::int64_t sent_ms) { ownership_confirmed_ms_ = sent_ms; }
    /// @param until_ms no lease is renewed later
    void set_renew_until(std::int64_t until_ms) { renew_until_ms_ = until_ms; }
    /// Changes shard_options::max_open_start_bytes. Starts that are open already go on.
    void set_max_open_start_bytes(std::int64_t bytes) { options_.max_open_start_bytes = bytes; }
    /// Applies ends that a previous owner has read and could not store. Ignores runs that are not active.
    /// @return the number of ends that were applied
    std::size_t report_ends(const std::vector<ended_row>& ends, std::int64_t now_ms);
    /// @return ends that were read and are not stored yet, to be passed to the next owner
    std::vector<ended_row> unstored_ends() const;
    /// @return when the oldest of unstored_ends() was read; 0: there are none
    std::int64_t oldest_unstored_end_ms() const;
    /// Handles what depends on the time; to be called regularly.
    /// @param wall_ms time of day, for due times
    void tick(std::int64_t now_ms, std::int64_t wall_ms);

    shard_effects take_effects(std::int64_t now_ms);

    // Queries
    std::optional<job_state> state_of(const std::string& id) const;
    /// @return the shard that runs the job and is to be asked about it, if that is another one
    std::optional<int> forwarded_to(const std::string& id) const;
    std::uint64_t pending(std::string_view queue) const;
    service_demand demand_of(std::string_view service) const;
    const shard_counts& counts() const { return counts_; }
    std::size_t jobs() const { return jobs_.size(); }
    std::size_t runs() const { return runs_.size(); }
    /// Jobs that are stored here and run in other shards.
    std::size_t forwards() const { return forwards_.size(); }
    /// Occurrences of jobs that have not ended.
    std::size_t open_occurrences() const { return open_.size(); }
    std::size_t suspected_occurrences() const { return suspects_.size(); }
    /// Long-running tasks that wait, by the reason found in the latest check, at most a second ago.
    const std::array<std::size_t, wait_reason_count>& waiting_tasks() const { return waiting_tasks_; }
    /// @param task its full name @param run the one of its runs that is asked about
    task_report report_task(std::string_view task, std::uint32_t run) const;
    bool fenced() const { return fenced_; }  // a worker has seen a higher token: this owner is replaced

    // Host operations
    /// Starts no task on @p worker until @p until_ms and moves its long-running tasks to other workers.
    /// @param leftover `stop` stops its short runs too, once no long-running task holds the host up
    void drain_worker(const std::string& worker, std::int64_t until_ms, std::int64_t now_ms,
                      leftover_runs leftover = leftover_runs::keep);
    drain_state drain_of(const std::string& worker, std::int64_t now_ms) const;
    /// A poll that shows whether an owner with a higher epoch has reached @p worker. It renews no lease and
    /// acknowledges no end.
    /// @return nothing if the worker is not known, or does not answer
    std::optional<poll_effect> ownership_check(const std::string& worker) const;

private:
    struct job_entry;
    struct forward_entry;
    struct occurrence_entry;
    struct run_entry;
    struct worker_state;
    struct advice_entry;
    struct suspected_task;
    struct placement_view;
    struct placement_round;
    struct held_job;

    // Jobs
    void open_occurrences(job_entry& job, std::int64_t now_ms);
    occurrence_entry& make_occurrence_entry(job_entry& job, std::uint32_t number, std::int64_t due_ms,
                                            std::int64_t now_ms);
    void finish_occurrence(occurrence_entry& occurrence, std::int64_t now_ms);
    void discard_advice(const occurrence_entry& occurrence);
    void stop_job(job_entry& job, std::int64_t now_ms);
    void mark_changed(occurrence_entry& occurrence);
    void mark_changed(occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index);
    void note_change(occurrence_entry& occurrence);
    void keep_checkpoint(occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index,
                         const std::string& checkpoint, std::int64_t now_ms);
    void forget_ended_jobs(std::int64_t now_ms);
    void drop_job(job_entry& job);
    void follow_queue(job_entry& job) const;
    job_entry* insert_job(const job_spec& spec, std::int64_t age_ms, std::int64_t now_ms);

    // Jobs with a record that cannot be decoded
    bool held(const std::string& job) const;
    bool lacks_record(const std::string& job) const;
    held_job& hold(job_entry& job);
    void load_unreadable_jobs(std::int64_t now_ms);
    void insert_unreadable_job(const std::string& id, std::int64_t now_ms);
    void open_unreadable_job(job_entry& job, std::int64_t now_ms);
    void report_unreadable(const std::string& key);
    void hold_occurrence(occurrence_entry& occurrence);
    void apply_notes(occurrence_entry& occurrence);
    occurrence_entry* update_notes(const occurrence_entry& occurrence);
    void update_all_notes();
    void release_held(const std::string& job);
    bool refused_by_store(std::string_view task) const;

    // Jobs of services that another shard runs, stored here by an earlier version
    void hand_over_jobs(std::int64_t now_ms);
    void hand_over(job_entry& job, int shard, std::int64_t now_ms);
    void release_job(job_entry& job);
    void take_back(const job_spec& spec, std::int64_t age_ms, std::int64_t now_ms);
    void keep_here(job_entry& job);
    bool expected(std::string_view task, std::int64_t now_ms) const;

    // Jobs of paths whose route leads to another service than before
    void load_rerouted_jobs(std::int64_t now_ms);
    void load_rerouted_job(const job_spec& spec, std::int64_t age_ms, std::int64_t now_ms);
    void decide_route(const job_spec& spec, std::int64_t age_ms, std::int64_t now_ms);
    void add_forward(const job_spec& spec, const job_route& route, bool cancelled, std::int64_t now_ms,
                     const std::string& id);
    void drop_repeat(const std::string& id);
    void remove_forward(const std::string& id);
    void write_routes(shard_effects& out);
    void plan_forwards(std::int64_t now_ms, shard_effects& out);
    void check_forwards(std::int64_t now_ms);
    void delete_orphans(const std::string& prefix);
    std::uint32_t attempt_limit(const job_entry& job) const;

    // Runs
    run_entry& add_run(occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index,
                       std::uint32_t number, worker_state& worker);
    void remove_run(run_entry& run);
    void end_run(run_entry& run, end_kind kind, const std::string& checkpoint, const char* heard,
                 std::int64_t now_ms);
    void requeue(run_entry& run, const char* reason, std::int64_t now_ms);
    void request_stop(run_entry& run, std::int64_t now_ms);
    static resources ordered_resources(const worker_state& worker);
    bool may_start(std::int64_t now_ms);
    bool ownership_is_recent(std::int64_t now_ms) const;
    bool stored_starts_wait() const;
    void order_stored_starts(std::int64_t now_ms);
    const char* obstacle_to_start(const run_entry& run, std::int64_t now_ms) const;
    static bool at_limit(const run_entry& run);
    void report_held_starts(std::int64_t now_ms);
    void stop_task(occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index,
                   std::int64_t now_ms);
    bool count_failure(occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index,
                       const std::string& worker, std::int64_t now_ms);
    void complete_task(occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index,
                       std::int64_t now_ms);
    void complete_gang(occurrence_entry& occurrence, std::uint32_t step, std::int64_t now_ms);
    void record_end(occurrence_entry& occurrence, const run_entry& run, end_kind kind, const char* heard,
                    std::int64_t now_ms);
    bool handle_unknown_run(worker_state& worker, const running_row& row, bool known_elsewhere,
                            std::int64_t now_ms);
    std::optional<resources> reserved_by(const task_name& name) const;
    void note_unassigned_run(worker_state& worker, const running_row& row, std::int64_t now_ms);
    void withdraw_unfitting(worker_state& worker, std::int64_t now_ms);
    run_entry* adopt_run(worker_state& worker, const running_row& row, std::int64_t now_ms);
    run_entry* find_unordered_run(const occurrence_entry& occurrence, std::uint32_t step,
                                  std::uint32_t index);
    const char* adopt_end(const std::string& worker, const ended_row& row, std::int64_t now_ms);
    void handle_unknown_end(const std::string& worker, const ended_row& row, const char* heard,
                            std::int64_t now_ms);

    // Workers
    worker_state& find_or_add_worker(const std::string& id);
    std::int64_t token_of(const worker_state& worker) const;
    void handle_restart(worker_state& worker, std::int64_t started_ms, std::int64_t now_ms);
    void end_life(worker_state& worker, std::int64_t now_ms);
    bool enter_life(worker_state& worker, std::int64_t started_ms, std::int64_t now_ms);
    void apply_running(worker_state& worker, std::int64_t sent_ms, const poll_answer& answer, bool all_ends,
                       std::int64_t now_ms);
    bool apply_ended(worker_state& worker, const poll_answer& answer, const char* heard, std::int64_t now_ms);
    void expire_lease(worker_state& worker, std::int64_t now_ms);
    bool may_have_ended_task(const run_entry& run) const;
    static bool has_other_life(const run_entry& run);
    bool counts_as_gone(const worker_state& worker, std::int64_t now_ms) const;
    void await_end(run_entry& run, std::int64_t now_ms);
    std::int64_t latest_lease_end(std::int64_t now_ms) const;
    std::int64_t latest_granted_end(std::int64_t now_ms) const;
    std::int64_t inherited_lease_end(std::int64_t now_ms) const;
    std::int64_t lease_end_of(const run_entry& run) const;
    bool young(std::int64_t started_ms, std::int64_t at_ms) const;
    void assume_inherited_leases(worker_state& worker, std::int64_t now_ms) const;
    void note_life(run_entry& run);
    void plan_polls(std::int64_t now_ms, shard_effects& out);
    static bool wants_relayed_poll(const worker_state& worker);
    void plan_relayed_orders(worker_state& worker, std::int64_t now_ms, shard_effects& out);
    poll_order make_poll(worker_state& worker, std::int64_t now_ms);
    void update_clock(worker_state& worker, std::int64_t clock_ms, std::int64_t now_ms);
    std::int64_t renew_lease(worker_state& worker, std::int64_t now_ms);
    void adjust_pace(worker_state& worker, std::int64_t now_ms);
    void evacuate(worker_state& worker, std::int64_t now_ms);
    bool has_open_worker(const worker_state& leaving, const step_spec& spec, std::int64_t now_ms) const;
    void stop_short_runs(worker_state& worker, std::int64_t now_ms);

    // Crashes of workers
    static bool settled(const run_entry& run);
    static bool has_suspects(const occurrence_entry& occurrence);
    static bool isolated(const occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index);
    void note_silence(worker_state& worker, order_result outcome, std::int64_t now_ms);
    std::vector<run_at_crash> describe_crash(std::span<run_entry* const> runs, std::int64_t crashed_ms,
                                             std::int64_t now_ms) const;
    crash_history proved_crashes(const task_name& name, const run_entry* proved) const;
    void record_crash(worker_state& worker, std::int64_t crashed_ms, std::int64_t now_ms);
    void suspect_task(run_entry& run, crash_suspicion suspicion, std::size_t runs_on_worker,
                      std::int64_t now_ms);
    void clear_suspicion(run_entry& run);
    void prove_run_crashed(run_entry& run, std::int64_t now_ms);
    void prove_lost_runs(worker_state& worker, std::int64_t now_ms);
    void take_crash_back(run_entry& run);
    static void weaken_unlisted(run_entry& run);
    void refute_crash(worker_state& worker, std::int64_t started_ms);
    static void log_suspect(const run_entry& run, std::size_t runs_on_worker, bool given_up,
                            std::int64_t now_ms);
    occurrence_entry* find_open(const task_name& name) const;
    static bool awaits_proof(const occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index);
    void check_awaited_proofs(std::int64_t now_ms);
    void give_up(occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index, std::int64_t now_ms);
    void remove_suspicion(occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index,
                          crash_suspicion suspicion);
    void describe_runs(placement_view& view, std::int64_t now_ms) const;
    void reserve_isolation(std::string_view service, placement_round& round, std::int64_t now_ms);
    void reserve_for_step(const occurrence_entry& occurrence, std::uint32_t step, placement_round& round,
                          std::size_t& may_empty, std::int64_t now_ms);
    bool isolation_allows(const occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index,
                          const placement_view& view) const;

    // Scheduling
    void schedule(std::int64_t now_ms);
    const waiting_job& update_ranking(occurrence_entry& occurrence, std::int64_t now_ms);
    void schedule_occurrence(occurrence_entry& occurrence, placement_round& round, std::int64_t now_ms);
    bool schedule_gang(occurrence_entry& occurrence, std::uint32_t step, placement_round& round,
                       std::int64_t now_ms);
    bool place(occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index, placement_round& round,
               std::int64_t now_ms);
    void schedule_copies(std::int64_t now_ms);
    std::int64_t open_start_bytes() const;
    placement_round make_round(std::string_view service, std::int64_t now_ms);
    std::vector<placement_candidate> make_candidates(const occurrence_entry& occurrence, std::uint32_t step,
                                                     std::uint32_t index,
                                                     const std::vector<placement_view>& views,
                                                     std::int64_t now_ms) const;
    bool may_run(const occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index,
                 const worker_state& worker, std::int64_t now_ms) const;
    int choose_view(const occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index,
                    const std::vector<placement_view>& views, std::int64_t now_ms) const;
    void report_waiting_tasks(std::int64_t now_ms);
    void report_waiting_step(const occurrence_entry& occurrence, std::uint32_t step, std::int64_t now_ms);
    static bool needs_advice(const job_entry& job);
    std::int64_t advice_valid_ms(const std::string& step) const;
    std::int64_t ticket_margin_ms(const std::string& step) const;
    void request_advice(std::int64_t now_ms);
    void forget_advice(const std::string& worker);
    bool advice_ready(occurrence_entry& occurrence, std::uint32_t step, std::int64_t now_ms);
    std::int64_t expected_ms(const job_entry& job, std::uint32_t step) const;
    std::int64_t critical_path_ms(const job_entry& job, const occurrence_progress* progress) const;
    std::int64_t waiting_cpu_ms(const occurrence_entry& occurrence, bool ready_only) const;
    resources waiting_demand(const occurrence_entry& occurrence) const;
    std::uint32_t min_workers(const occurrence_entry& occurrence) const;

    shard_options options_;
    std::shared_ptr<const cluster_config> config_;
    std::unordered_map<std::string, std::unique_ptr<job_entry>> jobs_;
    std::map<std::string, std::string> loaded_progress_;          // by key, until finish_load()
    std::map<std::string, std::unique_ptr<held_job>> held_jobs_;  // by job; part of jobs_
    std::set<std::string> unreadable_jobs_;                       // until finish_load()
    std::set<std::string> unreadable_routes_;  // until finish_load(); part of unreadable_jobs_
    struct rerouted_job {
        job_spec spec;
        std::int64_t age_ms = 0;
    };
    std::map<std::string, std::string> handed_progress_;  // by key, of jobs that are being inserted
    std::map<std::string, int> service_shards_;           // empty: not known yet
    std::set<std::string> expected_jobs_;                 // that other shards will hand over
    std::vector<rerouted_job> rerouted_jobs_;             // until finish_load()
    std::map<std::string, job_route> loaded_routes_;      // by job, until finish_load()
    std::map<std::string, std::unique_ptr<forward_entry>> forwards_;  // by job
    std::set<std::string> open_forwards_;   // whose job or cancel is not in the other shard yet
    std::set<std::string> changed_routes_;  // jobs whose decisions are to be written
    std::vector<forward_check> forward_checks_;
    std::set<std::string> cancels_without_job_;  // cancelled before the job's record was read
    std::set<occurrence_entry*> open_;           // neither completed, failed nor cancelled
    std::set<occurrence_entry*> dirty_;          // changed since their last write
    /// A task that starts no more until a crash of one of its workers is proved or refuted.
    struct awaited_proof {
        task_name name;
        std::int64_t since_ms = 0;  // of its latest crash
        bool expired = false;       // nothing can prove or refute it
    };
    std::map<std::string, awaited_proof> awaiting_proof_;  // by task
    std::map<std::string, occurrence_entry*> suspects_;    // open ones with a task to isolate, by key
    std::unordered_map<std::string, std::unique_ptr<run_entry>> runs_;  // by task and number
    std::map<std::string, std::unique_ptr<worker_state>> workers_;
    std::map<std::string, advice_entry> advice_;  // by step
    /// A step that waits for a request to the policy service.
    struct wanted_advice {
        std::int64_t asked_ms = -1;  // of its latest request; -1: none
        advice_order order;
    };
    std::vector<wanted_advice> wanted_advice_;  // of this scheduling round, in its order
    std::set<std::string> open_advice_;         // steps with a request that is not answered
    struct unstored_end {
        std::uint64_t batch = 0;  // store batch that contains the end
        std::int64_t read_ms = 0;
        ended_row row;
        std::string worker;  // whose list it was in; empty: a previous owner has read it
    };
    std::vector<unstored_end> unstored_ends_;  // the oldest first
    /// Bounds the lines about runs or ends that this owner does not know.
    struct unknown_lines {
        std::int64_t since_ms = 0;  // start of the second that the bound counts in
        int lines = 0;
        std::uint64_t left_out = 0;  // since the last line

        /// @return whether a line may be written
        bool take(std::int64_t now_ms);
    };
    unknown_lines unknown_run_lines_;
    unknown_lines unknown_end_lines_;
    unknown_lines unknown_done_lines_;  // of ends `done`, which many stopped runs must not crowd out
    std::map<std::uint64_t, std::vector<std::string>> writing_;  // runs to start once the batch is stored
    std::vector<std::string> forgotten_jobs_;
    std::set<std::string> orphaned_progress_;  // keys of records that were loaded without a job
    std::set<std::string> deleted_progress_;   // keys of records to delete with the next batch
    std::vector<start_effect> starts_;
    std::vector<stop_effect> stops_;
    std::vector<pace_effect> paces_;
    std::vector<advice_order> advice_requests_;
    std::map<std::string, double> duration_ratio_;  // by queue: average of measured over declared run time
    std::uint64_t batch_ = 0;
    std::uint64_t stored_batch_ = 0;  // batches up to this one are in the store
    bool batch_needed_ = false;
    bool loaded_ = false;
    bool fenced_ = false;
    bool confirmed_ = false;    // see on_owner_stored()
    bool first_owner_ = false;  // see on_first_owner()
    bool schedule_needed_ = false;
    bool copies_needed_ = false;
    struct known_until {
        std::int64_t registrations_ms = 0;
        std::int64_t jobs_ms = 0;
    };
    std::optional<known_until> known_until_;
    std::int64_t start_bytes_left_ = std::numeric_limits<std::int64_t>::max();  // see max_open_start_bytes
    std::int64_t registrations_current_since_ms_ = 0;     // read without a gap since then
    std::optional<std::int64_t> ownership_confirmed_ms_;  // see set_ownership_confirmed()
    std::int64_t renew_until_ms_ = std::numeric_limits<std::int64_t>::max();
    bool holds_starts_ = false;
    std::int64_t last_held_report_ms_ = 0;
    std::int64_t last_checkpoint_report_ms_ = 0;
    std::int64_t wall_offset_ms_ = 0;  // time of day minus steady time
    std::int64_t loaded_ms_ = 0;
    std::int64_t last_forget_ms_ = 0;
    std::int64_t last_waiting_report_ms_ = 0;
    std::array<std::size_t, wait_reason_count> waiting_tasks_{};
    shard_counts counts_;
};

}  // namespace waxwingnotch
