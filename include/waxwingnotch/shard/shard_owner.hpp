/// @file
/// Runs the core of one shard: takes the shard over, writes its records to the store and sends its orders
/// to the workers.
#pragma once

#include "waxwingnotch/decision/stored_jobs.hpp"
#include "waxwingnotch/net/event_loop.hpp"
#include "waxwingnotch/shard/shard_core.hpp"
#include "waxwingnotch/store/journal.hpp"
#include "waxwingnotch/store/keyed_follower.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace waxwingnotch {

// Topics that only this system uses. The partition is the shard.
// Accepted jobs by id; cancellations and rerouted jobs by id and suffix.
constexpr const char* jobs_topic = "keyed.jobs";
// Progress by job and occurrence, decisions about rerouted jobs by id and suffix; fenced by the epoch.
constexpr const char* runs_topic = "keyed.runs";
// In runs_topic: address of the last owner that has finished its load, for the next one.
constexpr const char* owner_key = "~owner";
// In runs_topic: address and identity of the owner that has registered the newest epoch. A key of its own,
// since earlier versions send requests to the whole value of `owner_key`; they take this record for progress
// without a job and delete it after 30 s.
constexpr const char* claim_key = "~claim";
constexpr char cancel_key_suffix = '!';  // last character of a cancellation's key

class shard_owner {
public:
    struct parts {
        event_loop* loop = nullptr;
        log_store* store = nullptr;
        worker_api* workers = nullptr;
        advice_api* advice = nullptr;  // null: no policy service
        std::string address;           // of this node; stored for the next owner
        /// Asks the node at @p address to release @p shard; @p done receives whether it answered.
        std::function<void(const std::string& address, int shard, std::int64_t epoch,
                           std::function<void(bool)> done)>
            release;
        /// Stores a record of a job in the shard that runs it.
        std::function<void(int shard, keyed_record record, std::function<void(store_status)> done)> forward;
        /// Asks the owner of @p shard for a job; @p done receives whether it knows the job, or nothing
        /// without a certain answer.
        std::function<void(int shard, const std::string& id, std::function<void(std::optional<bool>)> done)>
            ask;
        /// Receives each job that an earlier version has stored, which did not know the homes of paths.
        /// Empty: not of interest.
        std::function<void(const stored_job& job)> found_without_home;
        /// Tells up to when the registrations of the workers are known, in monotonic time; the present while
        /// the store does not answer. Empty: they count as up to date.
        std::function<std::int64_t()> registrations_until;
        /// Send an order to a worker through another node; `no_answer` if it was not passed on. Empty: there
        /// are no other nodes.
        std::function<void(const relay_route& route, const worker_target& worker, const poll_order& order,
                           worker_api::handler<poll_answer> done)>
            relay_poll;
        std::function<void(const relay_route& route, const worker_target& worker, const stop_order& order,
                           worker_api::handler<order_answer> done)>
            relay_stop;
        /// Sends starts of one job through another node. @return false if this does not pay or no other node
        /// is known to do it: then nothing was sent, and @p done is not called. Empty: never.
        std::function<bool(const start_batch& batch, batch_handler done)> relay_starts = nullptr;
        /// Tells what shard_options::max_open_start_bytes is now. Empty: it stays as it is.
        std::function<std::int64_t()> open_start_limit = nullptr;
        /// As shard_group::renew_until_ms(). Empty: no limit.
        std::function<std::int64_t()> renew_until = nullptr;
        /// Called once, when the shard is loaded: this owner's claim is stored and the newest. May be null.
        std::function<void()> taken_over = nullptr;
    };

    /// @param lost called once, when another owner has replaced this one
    shard_owner(parts parts, int partition, shard_options options, std::function<void()> lost);
    ~shard_owner();
    shard_owner(const shard_owner&) = delete;
    shard_owner& operator=(const shard_owner&) = delete;
    shard_owner(shard_owner&&) = delete;
    shard_owner& operator=(shard_owner&&) = delete;

    /// Fences previous owners and claims the shard by one append, then reads the shard's records up to what
    /// the store held by then at least. The ownership ends if the newest claim is another owner's.
    void start();
    bool loaded() const { return core_.loaded(); }
    /// Finds out by an append whether another owner has claimed the shard since.
    void confirm()
    {
        journal_.when_stored([] {});
    }
    int partition() const { return partition_; }
    std::int64_t epoch() const { return options_.epoch; }
    /// Whether the shard is loaded and its accepted jobs were read within the last 3 s.
    bool up_to_date() const;
    /// @return monotonic time; all jobs that were stored by then are known here
    std::int64_t complete_until_ms() const;

    /// See shard_core.
    void set_service_shards(std::map<std::string, int> shards);
    void expect_jobs(std::set<std::string> ids);
    void set_config(std::shared_ptr<const cluster_config> config);
    void put_worker(const worker_entry& entry);
    void remove_worker(const std::string& id);
    void leave_worker(const std::string& id, std::int64_t started_ms);
    void note_host_lost(const std::string& id);
    void drain_worker(const std::string& id, std::int64_t for_ms, leftover_runs leftover);
    /// As shard_core::report_ends().
    std::size_t report_ends(const std::vector<ended_row>& ends);
    /// As journal::stalled_since_ms(), of the journal of the progress.
    std::int64_t stalled_since_ms() const { return journal_.stalled_since_ms(); }
    /// As journal::confirmed_ms(), of the journal of the progress.
    std::int64_t confirmed_ms() const { return journal_.confirmed_ms(); }
    const shard_core& core() const { return core_; }

private:
    void load_jobs();
    void load_runs();
    void check_jobs_loaded();
    void request_release();
    void on_job_record(const keyed_record& record);
    void on_job_deleted(const keyed_record& record);
    void finish_load();
    void update_known_until();
    void pump();       // executes the pending effects of the core
    void pump_soon();  // calls pump() from the loop, at most once per 4 ms
    void execute(shard_effects& effects);
    void send_starts(shard_effects& effects);
    void send_batch(const start_batch& batch);
    void send_start(const start_effect& effect);
    void on_start(const start_effect& effect, const order_answer& answer);
    void on_batch(const start_batch& batch, const batch_outcomes& outcomes, std::int64_t sent_ms);
    void send_stop(const stop_effect& effect);
    void send_poll(const poll_effect& effect);
    void send_forwards(shard_effects& effects);
    void delete_job_records(const std::string& id);
    void delete_job_and_cancel(const std::string& id);
    void end_ownership(const char* reason);

    parts parts_;
    int partition_;
    shard_options options_;
    std::string claim_;  // value of this owner's record `claim_key`; no other ownership has the same
    std::function<void()> on_lost_;
    shard_core core_;
    journal journal_;
    journal deletions_;                                          // of jobs and cancels
    std::unordered_map<std::string, std::int64_t> job_offsets_;  // of the newest record of each job
    std::unique_ptr<keyed_follower> jobs_follower_;
    std::unique_ptr<keyed_follower> runs_follower_;
    std::int64_t jobs_read_offset_ = -1;  // the next offset after the latest complete read of the jobs
    bool jobs_loaded_ = false;
    bool runs_loaded_ = false;
    bool pump_pending_ = false;
    bool ended_ = false;
    std::int64_t last_pump_ms_ = 0;
    std::int64_t started_ms_ = 0;
    std::string newest_claim_;    // as read from the store
    std::string previous_owner_;  // address; empty: none
    timer tick_;
    timer pump_timer_;
    timer release_retry_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace waxwingnotch
