/// @file
/// Drives the core of one shard: takes it over, keeps its records in the store and carries its orders
/// to the workers.
#pragma once

#include "waxwingnotch/net/event_loop.hpp"
#include "waxwingnotch/shard/shard_core.hpp"
#include "waxwingnotch/store/journal.hpp"
#include "waxwingnotch/store/keyed_follower.hpp"

#include <functional>
#include <memory>
#include <string>

namespace waxwingnotch {

// Topics of the system's own. Partition: shard.
constexpr const char* jobs_topic = "keyed.jobs";  // accepted jobs by id; cancels by id and a mark
constexpr const char* runs_topic = "keyed.runs";  // progress by job and occurrence; fenced by the epoch
constexpr const char* owner_key = "~owner";       // in runs_topic: address of the owner
constexpr char cancel_mark = '!';                 // ends the key of a cancel

class shard_owner {
public:
    struct parts {
        event_loop* loop = nullptr;
        log_store* store = nullptr;
        worker_api* workers = nullptr;
        advice_api* advice = nullptr;  // null: no policy service
        std::string address;           // of this node, for the next owner
        /// Asks the node at @p address to give up @p shard; @p done hears whether it answered.
        std::function<void(const std::string& address, int shard, std::int64_t epoch,
                           std::function<void(bool)> done)>
            release;
    };

    /// @param lost runs once when another owner has taken the shard
    shard_owner(parts parts, int partition, shard_options options, std::function<void()> lost);
    ~shard_owner();
    shard_owner(const shard_owner&) = delete;
    shard_owner& operator=(const shard_owner&) = delete;
    shard_owner(shard_owner&&) = delete;
    shard_owner& operator=(shard_owner&&) = delete;

    /// Fences earlier owners, then reads the records.
    void start();
    bool loaded() const { return core_.loaded(); }
    int partition() const { return partition_; }
    std::int64_t epoch() const { return options_.epoch; }
    /// Whether the accepted jobs have been read lately.
    bool current() const;
    /// Monotonic ms: every job that was stored then is known here.
    std::int64_t complete_until_ms() const;

    void set_config(std::shared_ptr<const cluster_config> config);
    void put_worker(const worker_entry& entry);
    void remove_worker(const std::string& id);
    void close_worker(const std::string& id, std::int64_t for_ms);
    void report_ends(const std::vector<ended_row>& ends);
    const shard_core& core() const { return core_; }

private:
    void load_jobs();
    void load_runs();
    void ask_earlier_owner();
    void on_intake(const keyed_record& record);
    void finish_load();
    void pump();
    void pump_soon();
    void carry_out(shard_effects& todo);
    void send_starts(shard_effects& todo);
    void forget(const std::string& id);
    void lose(const char* reason);

    parts parts_;
    int partition_;
    shard_options options_;
    std::function<void()> lost_;
    shard_core core_;
    journal journal_;
    std::unique_ptr<keyed_follower> intake_;
    std::unique_ptr<keyed_follower> runs_;
    bool intake_loaded_ = false;
    bool runs_loaded_ = false;
    bool pump_pending_ = false;
    bool over_ = false;
    std::int64_t last_pump_ms_ = 0;
    std::int64_t started_ms_ = 0;
    std::string earlier_owner_;  // its address; empty: none
    timer tick_;
    timer pump_timer_;
    timer release_retry_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace waxwingnotch
