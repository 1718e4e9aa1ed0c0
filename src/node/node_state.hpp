/// @file
/// The parts of a node and what they share.
#pragma once

#include "waxwingnotch/base/counters.hpp"
#include "waxwingnotch/decision/pool_balance.hpp"
#include "waxwingnotch/net/http_client.hpp"
#include "waxwingnotch/net/http_server.hpp"
#include "waxwingnotch/node/host_api.hpp"
#include "waxwingnotch/node/settings.hpp"
#include "waxwingnotch/shard/shard_group.hpp"
#include "waxwingnotch/shard/shard_owner.hpp"
#include "waxwingnotch/store/batch_appender.hpp"
#include "waxwingnotch/store/keyed_follower.hpp"
#include "waxwingnotch/store/transport.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace waxwingnotch {

/// Shared by the parts of one node; owned by node.
struct node_state {
    explicit node_state(node_settings settings_in);

    node_settings settings;
    event_loop loop;
    http_client client;
    store_transport transport;
    std::unique_ptr<log_store> store;
    std::unique_ptr<worker_api> workers;
    std::unique_ptr<advice_api> advice;
    std::unique_ptr<host_api> hosts;
    metrics counters;

    std::shared_ptr<const cluster_config> config;  // null until the first one was read
    std::map<std::string, worker_entry> registry;  // workers by id
    std::map<std::int64_t, maintenance_wave> waves;
    std::map<std::int64_t, std::int64_t> wave_seen_ms;   // steady time at which a wave was first read
    std::map<int, std::unique_ptr<shard_owner>> shards;  // owned by this node
    std::unique_ptr<shard_group> group;
    bool stopping = false;

    /// Gives up a shard that is owned with an epoch below @p epoch.
    std::function<void(int shard, std::int64_t epoch)> release;
    /// Ends that this node has read as owner of a shard and could not store before it lost the shard.
    struct left_ends {
        std::vector<ended_row> ends;
        std::int64_t since_ms = 0;
    };
    std::map<int, left_ends> left;
    /// Where accepted jobs and cancels of a shard are stored.
    batch_appender& intake(int shard);
    std::map<int, std::unique_ptr<batch_appender>> intakes;
    /// Shard that holds the jobs of @p service.
    int shard_of(const std::string& service) const
    {
        return config->partition_of(service, settings.partitions);
    }
    /// @return the shard if this node owns it and has loaded it, else null
    shard_owner* loaded_shard(int partition) const;
};

/// What the owner of a shard answers.
struct owner_reply {
    bool answered = false;  // false: no owner could be asked
    int status = 0;
    std::string body;
};

/// Asks the owner of a shard, here or at a peer.
/// @param path of the internal interface, with the query, without the shard
/// @param timeout_ms for one attempt
void ask_owner(node_state& node, const std::string& method, int shard, const std::string& path,
               std::int64_t timeout_ms, std::function<void(const owner_reply&)> done);

/// Answers a question about a shard that this node owns.
owner_reply answer_for_shard(node_state& node, int shard, const std::string& path,
                             const std::function<std::string(std::string_view)>& query);

/// Body that tells the next owner of a shard about ends that are not stored.
std::string encode_ends(const std::vector<ended_row>& ends);

/// The interface for client accounts.
class caller_api {
public:
    explicit caller_api(node_state& node);
    void handle(const http_exchange_ptr& exchange);

private:
    struct question;

    void submit(const http_exchange_ptr& exchange, const queue_config& queue, const std::string& id);
    void append_job(const std::shared_ptr<question>& item);
    void end_in_doubt(const std::shared_ptr<question>& item);
    void refuse_unless_known(const std::shared_ptr<question>& item);
    void show(const http_exchange_ptr& exchange, const queue_config& queue, const std::string& id);
    void ask_state(const std::shared_ptr<question>& item);
    void cancel(const http_exchange_ptr& exchange, const queue_config& queue, const std::string& id);
    void ask_before_cancel(const std::shared_ptr<question>& item);
    void append_cancel(const std::shared_ptr<question>& item);
    void count_pending(const http_exchange_ptr& exchange, const queue_config& queue);
    void ask_pending(const std::shared_ptr<question>& item);
    std::shared_ptr<question> make_question(const http_exchange_ptr& exchange, const queue_config& queue,
                                            const std::string& id);
    void again(const std::shared_ptr<question>& item,
               void (caller_api::*action)(const std::shared_ptr<question>&));
    bool again_in_time(const std::shared_ptr<question>& item,
                       void (caller_api::*action)(const std::shared_ptr<question>&));
    void reply(const http_exchange_ptr& exchange, int status, const std::string& body,
               std::int64_t retry_after_s = 0);
    void finish(question& item, int status, const std::string& body, const char* reason);

    node_state& node_;
    counter& accepted_;
    counter& refused_;
    counter& failed_;
    histogram& accept_ms_;
};

/// The interface for the other entry nodes.
class internal_api {
public:
    explicit internal_api(node_state& node) : node_(node) {}
    void handle(const http_exchange_ptr& exchange);

private:
    void relay(const http_exchange_ptr& exchange);
    void take_ends(const http_exchange_ptr& exchange);
    void shard(const http_exchange_ptr& exchange);

    node_state& node_;
};

/// The duty of the one holder for all hosts: maintenance waves, and moves between pools as demand moves.
class host_keeper {
public:
    /// @param token rises with each holder
    host_keeper(node_state& node, std::int64_t token);
    ~host_keeper();
    host_keeper(const host_keeper&) = delete;
    host_keeper& operator=(const host_keeper&) = delete;
    host_keeper(host_keeper&&) = delete;
    host_keeper& operator=(host_keeper&&) = delete;

private:
    struct host_work;
    struct pool_load;
    struct survey;

    void step();
    void on_list(const host_list& list);
    void ask_loads(const std::shared_ptr<survey>& look);
    void balance(const survey& look);
    void log_pools(const std::vector<balance_pool>& pools, const std::vector<balance_host>& hosts);
    void try_move(const pool_move& planned);
    void order_move(const pool_move& planned);
    void close_worker(const std::string& pool, const std::string& worker,
                      std::function<void(const std::optional<drain_state>&)> done);
    std::set<std::string> leaving_hosts() const;
    bool moved_lately(const std::string& host) const;
    std::vector<std::string> by_disturbance(const maintenance_wave& wave,
                                            const std::map<std::string, const host_row*>& rows) const;
    void work_wave(const maintenance_wave& wave, const host_list& list);
    void prepare(const host_row& host, const maintenance_wave& wave, std::int64_t left_ms);
    void order(const std::string& host, std::int64_t wave);
    void write_status(std::int64_t wave, bool completed);
    bool wave_due(std::int64_t number) const;

    node_state& node_;
    host_authority authority_;
    std::int64_t begin_ms_ = 0;  // no order before: an earlier holder may have ordered just now
    bool busy_ = false;
    bool refused_ = false;  // a later holder exists
    std::map<std::pair<std::int64_t, std::string>, std::unique_ptr<host_work>> work_;
    std::map<std::int64_t, bool> written_;           // status written by wave: completed
    std::map<std::string, std::int64_t> moving_ms_;  // host: last order to move it
    std::map<std::string, std::string> moving_to_;
    std::map<std::string, std::string> host_workers_;  // host: its worker
    std::set<std::string> busy_workers_;               // on which something ran at the last look
    balance_policy policy_;
    std::int64_t last_pools_ms_ = 0;
    std::map<std::string, std::int64_t> surplus_since_ms_;  // by pool
    timer timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace waxwingnotch
