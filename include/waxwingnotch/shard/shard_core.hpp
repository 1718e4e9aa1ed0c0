/// @file
/// The owner of one shard: the jobs of some services and the workers that run them. It decides and
/// keeps the books; it does no I/O. Whoever drives it passes in what happened with the time, and
/// carries out the effects that it asks for.
///
///     core.add_job(spec, 0, now);
///     shard_effects todo = core.take_effects(now);   // store the writes, then core.stored(todo.batch, now)
///
/// A start is ordered only after its assignment is stored, and an end is confirmed to the worker only
/// after it is stored, so a new owner that reads the store never runs a task twice.
#pragma once

#include "waxwingnotch/decision/job_order.hpp"
#include "waxwingnotch/job/progress.hpp"
#include "waxwingnotch/shard/worker_api.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace waxwingnotch {

struct shard_options {
    std::int64_t epoch = 0;             // fences earlier owners, in the store and at the workers
    std::int64_t lease_ms = 4'000;      // how long runs go on without their owner; outlasts a take-over
    std::int64_t hold_wait_ms = 1'000;  // a hold waits this long for an end; a quarter of the lease
    std::int64_t inherited_lease_ms =
        8'000;                              // an earlier owner that cannot be asked may extend leases for 3 s
    std::int64_t status_keep_ms = 240'000;  // ended jobs are kept this long; twice the promise
};

/// Orders for a worker.
struct start_effect {
    worker_target worker;
    start_order order;
};
struct stop_effect {
    worker_target worker;
    stop_order order;
};
struct pace_effect {
    worker_target worker;
    pace_order order;
};
struct hold_effect {
    worker_target worker;
    hold_order order;
    bool extra = false;  // beside one that waits for an end
};
struct advice_effect {
    std::string step;  // JOB.OCCURRENCE.STEP
    std::vector<std::string> workers;
};

/// What the core asks for, in the order of the members.
struct shard_effects {
    std::vector<std::pair<std::string, std::optional<std::string>>> writes;  // progress records by key
    std::uint64_t batch = 0;          // 0: nothing waits for the writes; else pass it to stored()
    std::vector<std::string> forget;  // jobs whose records may go
    std::vector<start_effect> starts;
    std::vector<stop_effect> stops;
    std::vector<pace_effect> paces;
    std::vector<hold_effect> holds;
    std::vector<advice_effect> advice;
};

/// What a service asks of its pool, for moves of hosts.
struct queue_load {
    std::int64_t waiting_cpu_ms = 0;     // core-milliseconds of work that waits and ends
    std::int64_t running_cpu_milli = 0;  // reserved by what runs, and wanted by long-running tasks that wait
    std::int64_t running_memory_mb = 0;  // the same
    std::vector<std::string> busy;       // workers on which something runs
};

/// Whether a worker may be taken away.
struct drain_state {
    bool known = false;
    std::size_t runs = 0;   // still there
    bool serving = false;   // some of them are long-running
    bool unstored = false;  // it has listed ends that are not in the store yet, and would be lost with it

    bool empty() const { return runs == 0 && !unstored; }
};

/// Counts since the core was made.
struct shard_counts {
    std::uint64_t starts = 0;
    std::uint64_t ends_done = 0;
    std::uint64_t ends_failed = 0;
    std::uint64_t ends_other = 0;
    std::uint64_t lost = 0;      // runs that vanished with their worker
    std::uint64_t rejected = 0;  // starts that a worker turned down
    std::uint64_t doubtful = 0;  // starts without an answer
};

class shard_core {
public:
    explicit shard_core(shard_options options);
    ~shard_core();
    shard_core(const shard_core&) = delete;
    shard_core& operator=(const shard_core&) = delete;
    shard_core(shard_core&&) = delete;
    shard_core& operator=(shard_core&&) = delete;

    // Taking over: records in any order, then finish_load().
    void load_progress(const std::string& key, std::string_view bytes);
    void finish_load(std::int64_t now_ms);
    bool loaded() const { return loaded_; }

    /// The earlier owner has said that it extends no lease any more.
    void earlier_owner_gone(std::int64_t now_ms);

    // What callers and operators want. Repeats are harmless. Before finish_load() they are loaded.
    void add_job(const job_spec& job, std::int64_t age_ms, std::int64_t now_ms);
    void cancel_job(const std::string& id, std::int64_t now_ms);
    void set_config(std::shared_ptr<const cluster_config> config);

    // Workers: the registration, and what they answered.
    void put_worker(const worker_entry& entry, std::int64_t now_ms);
    void remove_worker(const std::string& id, std::int64_t now_ms);
    /// @param sent_ms when the order left; only newer answers say what is not there
    /// @param extra as in the effect
    void on_hold(const std::string& worker, std::int64_t sent_ms, bool extra, const hold_answer& answer,
                 std::int64_t now_ms);
    void on_start(const std::string& worker, const start_order& order, const order_answer& answer,
                  std::int64_t now_ms);
    void on_stop(const std::string& worker, const stop_order& order, const order_answer& answer,
                 std::int64_t now_ms);
    void on_advice(const std::string& step, const advice_answer& answer, std::int64_t now_ms);
    /// The writes of @p batch are in the store.
    void stored(std::uint64_t batch, std::int64_t now_ms);
    /// Ends that an earlier owner has read and could not store. A run that is not waited for is ignored.
    void report_ends(const std::vector<ended_row>& ends, std::int64_t now_ms);
    /// Ends that were read and are not stored; to be told to the next owner.
    std::vector<ended_row> unstored_ends() const;
    /// Time has passed. @param wall_ms time of day, for due times
    void tick(std::int64_t now_ms, std::int64_t wall_ms);

    shard_effects take_effects(std::int64_t now_ms);

    // Questions
    std::optional<job_state> state_of(const std::string& id) const;
    std::uint64_t pending(std::string_view queue) const;
    queue_load load_of(std::string_view service) const;
    const shard_counts& counts() const { return counts_; }
    std::size_t jobs() const { return jobs_.size(); }
    std::size_t runs() const { return runs_.size(); }
    bool fenced() const { return fenced_; }  // a worker knows a higher token: this owner is replaced

    // Host operations
    /// Starts nothing more on @p worker until @p until_ms and moves long-running tasks away.
    void close_worker(const std::string& worker, std::int64_t until_ms, std::int64_t now_ms);
    drain_state drain_of(const std::string& worker) const;

private:
    struct job_entry;
    struct occurrence_entry;
    struct run_entry;
    struct worker_state;
    struct advice_entry;
    struct placement_view;
    struct placement_round;

    // Jobs
    void open_occurrences(job_entry& job, std::int64_t now_ms);
    occurrence_entry& make_occurrence_entry(job_entry& job, std::uint32_t number, std::int64_t due_ms);
    void finish_occurrence(occurrence_entry& item, std::int64_t now_ms);
    void drop_advice(const occurrence_entry& item);
    void stop_job(job_entry& job, std::int64_t now_ms);
    void mark(occurrence_entry& item);
    void forget_old(std::int64_t now_ms);
    std::uint32_t attempts_of(const job_entry& job) const;

    // Runs
    run_entry& add_run(occurrence_entry& item, std::uint32_t step, std::uint32_t index, std::uint32_t number,
                       worker_state& worker);
    void drop_run(run_entry& run);
    void end_run(run_entry& run, end_kind kind, const std::string& checkpoint, std::int64_t now_ms);
    void requeue(run_entry& run, const char* reason, std::int64_t now_ms);
    void order_stop(run_entry& run, std::int64_t now_ms);
    void stop_task(occurrence_entry& item, std::uint32_t step, std::uint32_t index, std::int64_t now_ms);
    void complete_gang(occurrence_entry& item, std::uint32_t step, std::int64_t now_ms);
    void note_end(occurrence_entry& item, const run_entry& run, end_kind kind, std::int64_t now_ms);

    // Workers
    worker_state& worker_at(const std::string& id);
    std::int64_t token_of(const worker_state& worker) const;
    void adopt_life(worker_state& worker, std::int64_t born_ms, std::int64_t now_ms);
    void read_running(worker_state& worker, std::int64_t sent_ms, const hold_answer& answer,
                      std::int64_t now_ms);
    void read_ended(worker_state& worker, const hold_answer& answer, std::int64_t now_ms);
    void lapse(worker_state& worker, std::int64_t now_ms);
    std::int64_t longest_lease_end(std::int64_t now_ms) const;
    void plan_holds(std::int64_t now_ms, shard_effects& out);
    hold_order hold_for(worker_state& worker, std::int64_t now_ms);
    void note_clock(worker_state& worker, std::int64_t clock_ms, std::int64_t now_ms);
    std::int64_t lease_for(worker_state& worker, std::int64_t now_ms);
    void control_pace(worker_state& worker, std::int64_t now_ms);
    void evacuate(worker_state& worker, std::int64_t now_ms);

    // Scheduling
    void schedule(std::int64_t now_ms);
    const waiting_job& refresh_outlook(occurrence_entry& item, std::int64_t now_ms);
    void schedule_occurrence(occurrence_entry& item, placement_round& round, std::int64_t now_ms);
    bool schedule_gang(occurrence_entry& item, std::uint32_t step, placement_round& round,
                       std::int64_t now_ms);
    bool place(occurrence_entry& item, std::uint32_t step, std::uint32_t index, placement_round& round,
               std::int64_t now_ms);
    void schedule_copies(std::int64_t now_ms);
    placement_round round_of(std::string_view service, std::int64_t now_ms);
    int best_view(const occurrence_entry& item, std::uint32_t step, std::uint32_t index,
                  const std::vector<placement_view>& views, std::int64_t now_ms);
    bool advice_ready(occurrence_entry& item, std::uint32_t step, std::int64_t now_ms);
    std::int64_t expected_ms(const job_entry& job, std::uint32_t step) const;
    std::int64_t chain_ms(const job_entry& job, const occurrence_progress* progress) const;
    std::int64_t waiting_cpu_ms(const occurrence_entry& item, bool ready_only) const;
    resources waiting_room(const occurrence_entry& item) const;

    shard_options options_;
    std::shared_ptr<const cluster_config> config_;
    std::unordered_map<std::string, std::unique_ptr<job_entry>> jobs_;
    std::map<std::string, std::string> loaded_progress_;  // by key, until finish_load()
    std::set<std::string> cancelled_early_;               // cancelled before the job's record was read
    std::set<occurrence_entry*> open_;                    // neither completed, failed nor cancelled
    std::set<occurrence_entry*> dirty_;                   // to be written
    std::unordered_map<std::string, std::unique_ptr<run_entry>> runs_;  // by task and number
    std::map<std::string, std::unique_ptr<worker_state>> workers_;
    std::map<std::string, advice_entry> advice_;                      // by step
    std::vector<std::pair<std::uint64_t, ended_row>> unstored_ends_;  // with the batch that holds them
    std::map<std::uint64_t, std::vector<std::string>> writing_;       // keys of runs, by the batch with them
    std::vector<std::string> forget_;
    std::vector<start_effect> starts_;
    std::vector<stop_effect> stops_;
    std::vector<pace_effect> paces_;
    std::vector<advice_effect> questions_;
    std::map<std::string, double> duration_ratio_;  // by queue: learned run time over the declared one
    std::uint64_t batch_ = 0;
    std::uint64_t stored_batch_ = 0;  // batches up to this one are in the store
    bool batch_needed_ = false;
    bool loaded_ = false;
    bool fenced_ = false;
    bool schedule_needed_ = false;
    bool copies_needed_ = false;
    std::int64_t wall_offset_ms_ = 0;  // time of day less steady time
    std::int64_t loaded_ms_ = 0;
    std::int64_t last_forget_ms_ = 0;
    shard_counts counts_;
};

}  // namespace waxwingnotch
