/// @file
/// Components of an entry node and their shared state.
#pragma once

#include "node/host_lists.hpp"
#include "node/process_watch.hpp"
#include "node/start_relay.hpp"

#include "waxwingnotch/base/counters.hpp"
#include "waxwingnotch/decision/burst_reserve.hpp"
#include "waxwingnotch/decision/pool_balance.hpp"
#include "waxwingnotch/decision/submission_route.hpp"
#include "waxwingnotch/net/http_client.hpp"
#include "waxwingnotch/net/http_server.hpp"
#include "waxwingnotch/node/host_api.hpp"
#include "waxwingnotch/node/settings.hpp"
#include "waxwingnotch/shard/advice_queue.hpp"
#include "waxwingnotch/shard/job_homes.hpp"
#include "waxwingnotch/shard/service_shards.hpp"
#include "waxwingnotch/shard/shard_group.hpp"
#include "waxwingnotch/shard/shard_owner.hpp"
#include "waxwingnotch/shard/store_upgrade.hpp"
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

// A link as wide as this carries more than the processors of entry hosts can send, and needs no budget.
constexpr std::int64_t ample_link_kbps = 50'000;

/// @return the rate by which calls wait and starts are limited; 0: they are not
constexpr std::int64_t budgeted_kbps(const node_settings& settings)
{
    return settings.link_kbps < ample_link_kbps ? settings.link_kbps : 0;
}

/// State shared by the components of one node; owned by the class node.
struct node_state {
    explicit node_state(node_settings settings_in);

    node_settings settings;
    event_loop loop;
    process_watch watch{loop};
    traffic_meter traffic;
    link_usage link;
    link_budget budget;
    http_client client;
    store_transport transport;
    std::unique_ptr<log_store> store;
    std::unique_ptr<job_homes> homes;  // of the paths under which jobs were accepted
    std::unique_ptr<service_shards> shards_of_services;
    std::unique_ptr<store_upgrade> upgrade;  // finds the jobs that earlier versions have stored
    std::unique_ptr<worker_api> workers;
    start_relay starts{*this};
    std::unique_ptr<advice_api> policy_service;
    std::unique_ptr<advice_queue> advice;  // calls of all shards of this node; null: no policy service
    std::unique_ptr<host_api> hosts;
    host_lists lists{*this};  // of hosts
    metrics counters;

    std::shared_ptr<const cluster_config> config;        // null until the first configuration has been read
    std::map<std::string, worker_entry> registry;        // workers by id; empty while this node is a reserve
    std::map<std::int64_t, maintenance_wave> waves;      // by number
    std::map<std::int64_t, std::int64_t> wave_seen_ms;   // monotonic time of the first read of a wave
    std::map<int, std::unique_ptr<shard_owner>> shards;  // owned by this node
    std::unique_ptr<shard_group> group;
    bool stopping = false;

    /// Tells up to when the registrations of the workers are known, in monotonic time. 0: this node does not
    /// follow them, as it owns no shard.
    std::function<std::int64_t()> registrations_until;
    /// Releases a shard if this node owns it with an epoch below @p epoch.
    std::function<void(int shard, std::int64_t epoch)> release_shard;
    /// Ends of runs that this node received as owner of a shard and could not store before it lost the shard.
    struct undelivered_ends {
        std::vector<ended_row> ends;
        std::int64_t since_ms = 0;    // when the shard was lost; monotonic, as the other times
        std::int64_t epoch = 0;       // of this node as owner
        std::int64_t oldest_ms = 0;   // when the oldest end was read
        std::int64_t stalled_ms = 0;  // how long the append in flight had failed when the shard was lost
    };
    std::map<int, undelivered_ends> undelivered;  // by shard
    /// Stores the record of an accepted job or of a cancel: through the owner of the shard, or by an own
    /// append if the owner is unknown or has not answered lately.
    /// @param done receives the outcome; `refused` if the record is certainly not stored
    void store_job_record(int shard, keyed_record record, std::function<void(store_status)> done);
    std::map<int, submission_route> submission_routes;  // by shard
    /// Appender of accepted jobs and cancels of a shard; made on first use.
    batch_appender& job_appender(int shard);
    std::map<int, std::unique_ptr<batch_appender>> job_appenders;  // by shard
    /// @return the shard of the jobs and workers of @p service; service_shards::no_shard if it is not known:
    ///         shortly after a version has added the service, and until the homes of all stored jobs are
    ///         known
    int shard_of(const std::string& service) const
    {
        return upgrade->complete() ? shards_of_services->find(service) : service_shards::no_shard;
    }
    /// @return the owner if this node owns the shard and has loaded it, else null
    shard_owner* loaded_shard(int partition) const;
};

/// Answer of a shard's owner.
struct owner_reply {
    bool answered = false;  // false: the owner is unknown or did not answer
    int status = 0;
    std::string body;
};

/// What the owner of a shard knows of a job.
struct job_answer {
    bool answered = false;  // false: the owner is unknown, has not loaded the shard or did not answer
    bool known = false;
    std::string state;            // encoded, of a known job
    std::optional<int> moved_to;  // shard that runs the job, if that is another one
    std::int64_t complete_until_ms =
        0;  // monotonic; all jobs that were stored by then are known to the owner
};

/// Asks the owner of @p shard for a job: this node or a peer.
/// @param timeout_ms of the call to a peer; the call is not retried
void query_job(node_state& node, int shard, const std::string& id, std::int64_t timeout_ms,
               std::function<void(const job_answer&)> done);

/// Sets the gauges of the metrics page.
void update_metrics(node_state& node);

/// Logs what the bytes of a node are for, so that a record of a full link tells what has filled it.
class traffic_log {
public:
    explicit traffic_log(node_state& node) : node_(node) {}
    void start();

private:
    void update();

    node_state& node_;
    std::int64_t last_log_ms_ = 0;
    traffic_meter last_;
    timer timer_;
};

/// Status of the answer of a node that does not own the shard, or has not loaded it.
constexpr int status_not_owner = 421;
/// Status of the answer about a job that another shard runs; the body is its number.
constexpr int status_other_shard = 308;

/// Sends a call to a peer that is said to own a shard. Looks for the owners again if it does not answer or is
/// not the owner.
void call_owner(node_state& node, const http_call& call, answer_handler done);

constexpr std::int64_t peer_timeout_ms = 500;  // one call to another node
// An order without an answer is followed by a stop after this time, so a task starts no later than this after
// its order. What an owner knows must be younger than the bound for starts by that much.
constexpr std::int64_t order_margin_ms = 400;

/// Sends a call without an answer of interest to another node.
/// @param done receives true if the peer answered with status 200
void post_to_peer(node_state& node, const std::string& address, const std::string& path, std::string body,
                  std::function<void(bool)> done);

/// Asks another node whether it reaches the store and which shards it owns.
/// @param done receives nothing without an answer, or from a node of a version that does not tell
void ask_peer_report(node_state& node, const std::string& address,
                     std::function<void(std::optional<shard_group::peer_report>)> done);

/// Keeps the ends that the owner of a shard has read and not stored, for the next owner.
void keep_unstored_ends(node_state& node, int shard, const shard_owner& owner);

/// Sends the ends that this node has kept of @p shard to its owner at @p address, if there are any.
void send_ends(node_state& node, int shard, const std::string& address);

/// Delivers the ends that this node has kept to the current owners of their shards. Without them, a task that
/// is done would run again if its worker has stopped too.
void deliver_ends(node_state& node);

/// Sends a query to the owner of a shard: this node or a peer.
/// @param path path of the internal interface with its query, without the shard
/// @param timeout_ms of the call to a peer; the call is not retried
void query_owner(node_state& node, const std::string& method, int shard, const std::string& path,
                 std::int64_t timeout_ms, std::function<void(const owner_reply&)> done);

/// Answers a query about a shard. The status is status_not_owner if this node does not own the shard or
/// has not loaded it, and if the answer would let a host be taken and the ownership is not confirmed.
/// @param done is called at once, or after a call of the worker or of the store that confirms the ownership
void answer_shard_query(node_state& node, int shard, const std::string& path,
                        const std::function<std::string(std::string_view)>& query,
                        std::function<void(const owner_reply&)> done);

/// Path of the internal interface at which an owner takes records of jobs and cancels.
constexpr const char* submit_path = "/shard/submit";
/// Body of an answer to a submitted record: the link of the owner is full, and other nodes should append the
/// next records themselves.
constexpr const char* append_elsewhere_word = "append elsewhere";
/// Status of the answer to a submitted record.
int status_of_stored_record(store_status outcome);

/// Encodes ends of runs that are not stored, for the next owner of the shard.
std::string encode_ends(const std::vector<ended_row>& ends);
/// Applies ends that an earlier owner could not store, and logs them.
/// @param from_epoch of that owner; -1: not known, as are the times
/// @param age_ms of the oldest end @param stalled_ms as in node_state::undelivered_ends
void apply_reported_ends(shard_owner& owner, const std::vector<ended_row>& ends, std::int64_t from_epoch,
                         std::int64_t age_ms, std::int64_t stalled_ms);

// Paths of the internal interface at which a node passes orders of owners on to workers.
constexpr const char* relayed_poll_path = "/worker/poll";
constexpr const char* relayed_stop_path = "/worker/stop";
/// Polls a worker through another node, for an owner that does not reach it.
/// @param order renews no lease
/// @param done receives `no_answer` if there is no other node, or it cannot or does not pass the order on
void relay_poll(node_state& node, const relay_route& route, const worker_target& worker,
                const poll_order& order, worker_api::handler<poll_answer> done);
/// The same for the stop of a run.
void relay_stop(node_state& node, const relay_route& route, const worker_target& worker,
                const stop_order& order, worker_api::handler<order_answer> done);
/// Passes an order of another node on to a worker, at the address that this node knows from its registration.
/// Answers 400 if the order cannot be read, 404 if no worker has registered with this id in this life, and
/// 503 if this node follows no registrations.
void relay_to_worker(node_state& node, const http_exchange_ptr& exchange);

/// HTTP interface for client accounts.
class caller_api {
public:
    explicit caller_api(node_state& node);
    void handle(const http_exchange_ptr& exchange);

private:
    struct pending_request;

    void submit(const http_exchange_ptr& exchange, const queue_config& queue, const std::string& id);
    void find_home(const std::shared_ptr<pending_request>& request);
    void refuse_or_retry_home(const std::shared_ptr<pending_request>& request);
    void encode_record(pending_request& request);
    void ask_owner(const std::shared_ptr<pending_request>& request,
                   std::function<void(const job_answer&)> done);
    void find_job(const std::shared_ptr<pending_request>& request,
                  std::function<void(const job_answer&)> done);
    const job_home* home_of(const pending_request& request) const;
    void use_home(pending_request& request) const;
    void append_job(const std::shared_ptr<pending_request>& request);
    void finish_unknown(const std::shared_ptr<pending_request>& request);
    void refuse_unless_known(const std::shared_ptr<pending_request>& request);
    void get_job(const http_exchange_ptr& exchange, const queue_config& queue, const std::string& id);
    void query_state(const std::shared_ptr<pending_request>& request);
    void cancel(const http_exchange_ptr& exchange, const queue_config& queue, const std::string& id);
    void check_before_cancel(const std::shared_ptr<pending_request>& request);
    void append_cancel(const std::shared_ptr<pending_request>& request);
    void count_pending(const http_exchange_ptr& exchange, const queue_config& queue);
    void query_pending(const std::shared_ptr<pending_request>& request);
    void add_pending(const std::shared_ptr<pending_request>& request, std::vector<int> shards,
                     std::uint64_t count);
    std::shared_ptr<pending_request> make_request(const http_exchange_ptr& exchange,
                                                  const queue_config& queue, const std::string& id);
    void retry_later(const std::shared_ptr<pending_request>& request,
                     void (caller_api::*action)(const std::shared_ptr<pending_request>&));
    bool retry_before_deadline(const std::shared_ptr<pending_request>& request,
                               void (caller_api::*action)(const std::shared_ptr<pending_request>&));
    void reply(const http_exchange_ptr& exchange, int status, const std::string& body,
               std::int64_t retry_after_s = 0);
    void finish(pending_request& request, int status, const std::string& body, const char* reason);

    node_state& node_;
    counter& accepted_;
    counter& refused_;
    counter& failed_;
    histogram& accept_ms_;
};

/// HTTP interface for the other entry nodes.
class internal_api {
public:
    explicit internal_api(node_state& node) : node_(node) {}
    void handle(const http_exchange_ptr& exchange);

private:
    void relay(const http_exchange_ptr& exchange);
    void accept_ends(const http_exchange_ptr& exchange);
    void accept_record(const http_exchange_ptr& exchange);
    void handle_shard(const http_exchange_ptr& exchange);

    node_state& node_;
};

/// Manages all hosts: runs maintenance waves, and moves hosts between pools as demand changes. Only the
/// owner of the last shard has one.
///
/// Where the link is too narrow for a list of hosts in each turn, turns in between use the latest list: they
/// follow the demand and keep drained workers closed, but order nothing by it. A host may have got another
/// worker since, whose runs would be lost. If they find an order to give, the next list is requested at once.
class host_manager {
public:
    /// @param token fencing token; each new holder has a higher one
    host_manager(node_state& node, std::int64_t token);
    ~host_manager();
    host_manager(const host_manager&) = delete;
    host_manager& operator=(const host_manager&) = delete;
    host_manager(host_manager&&) = delete;
    host_manager& operator=(host_manager&&) = delete;

private:
    struct host_maintenance;
    struct pool_load;
    struct host_survey;
    struct ordered_state;
    enum class turn_kind : std::uint8_t {
        new_list,     // by a list that has just arrived
        latest_list,  // by an earlier one; gives no orders to hosts
    };

    void poll();
    bool request_list(list_need need);
    void on_list(const host_listing& list, std::int64_t sent_ms);
    void take_turn(turn_kind kind);
    void need_list();
    bool latest_list_allows_order(const host_row& host) const;
    void note_ordered(const std::string& host, host_row_state state);
    void query_loads(const std::shared_ptr<host_survey>& survey);
    void balance(const host_survey& survey);
    void set_reserves(const host_survey& survey, std::vector<balance_pool>& pools,
                      const std::vector<balance_host>& hosts);
    void log_pools(const std::vector<balance_pool>& pools, const std::vector<balance_host>& hosts);
    void plan_moves(turn_kind kind, const std::vector<balance_pool>& pools,
                    const std::vector<balance_host>& hosts);
    void try_move(const pool_move& planned);
    void order_move(const pool_move& planned);
    void keep_closed(const std::string& pool, const std::string& worker);
    void request_drain(const std::string& pool, const std::string& worker, std::int64_t for_ms,
                       leftover_runs leftover, std::function<void(const std::optional<drain_state>&)> done);
    std::optional<drain_state> accept_drain_answer(int shard, const owner_reply& answer);
    std::set<std::string> leaving_hosts() const;
    bool recently_moved(const std::string& host) const;
    std::vector<std::string> idle_hosts_first(const maintenance_wave& wave,
                                              const std::map<std::string, const host_row*>& rows) const;
    void advance_wave(const maintenance_wave& wave, turn_kind kind);
    void resend_orders(const maintenance_wave& wave, const std::map<std::string, const host_row*>& rows,
                       std::int64_t remaining_ms, turn_kind kind);
    void drain_host(const host_row& host, const maintenance_wave& wave, std::int64_t remaining_ms,
                    turn_kind kind);
    void order_if_room(const host_row& host, const maintenance_wave& wave);
    void order_maintenance(const host_row& row, std::int64_t wave);
    void write_status(std::int64_t wave, bool completed);
    bool wave_unfinished(std::int64_t number) const;

    node_state& node_;
    host_authority authority_;
    std::int64_t first_order_ms_ = 0;  // monotonic; before, an earlier holder's order may be recent
    bool list_in_flight_ = false;
    bool order_waits_ = false;                      // for a new list
    host_listing latest_;                           // not ok: the latest call failed
    std::int64_t latest_ms_ = 0;                    // when it arrived; monotonic, as the other times
    std::int64_t last_turn_ms_ = 0;                 // when a turn began
    std::int64_t turns_without_moves_ = 0;          // since moves were last ordered
    std::map<std::string, ordered_state> ordered_;  // by host: by the latest order that was carried out
    bool fenced_ = false;                           // a newer holder exists; no more orders
    // By wave and host.
    std::map<std::pair<std::int64_t, std::string>, std::unique_ptr<host_maintenance>> maintenance_;
    std::map<std::int64_t, bool> wave_status_;             // by number, once written; true: completed
    std::map<std::string, std::int64_t> move_attempt_ms_;  // by host: latest attempt to move it
    std::map<std::string, std::string> move_target_;       // by host: pool of the latest move
    std::map<std::string, std::string> host_workers_;      // by host: id of its worker
    std::set<std::string> busy_workers_;                   // workers with runs in the latest survey
    std::map<int, std::int64_t> newest_epochs_;            // by shard: highest one that an owner has named
    balance_policy policy_;
    burst_reserve reserve_;
    std::int64_t last_pool_log_ms_ = 0;
    std::map<std::string, std::int64_t> surplus_since_ms_;  // by pool; 0: no surplus
    timer timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace waxwingnotch
