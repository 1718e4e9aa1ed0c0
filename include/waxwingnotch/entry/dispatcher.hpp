/// @file
/// Takes callers' requests, queues them per service, sends them to upstreams and answers.
#pragma once

#include "waxwingnotch/base/counters.hpp"
#include "waxwingnotch/decision/never_runnable.hpp"
#include "waxwingnotch/decision/queue.hpp"
#include "waxwingnotch/decision/retry.hpp"
#include "waxwingnotch/decision/run_time.hpp"
#include "waxwingnotch/entry/caller_request.hpp"
#include "waxwingnotch/entry/claim_desk.hpp"
#include "waxwingnotch/entry/fleet_view.hpp"
#include "waxwingnotch/entry/quota_desk.hpp"
#include "waxwingnotch/entry/request_trace.hpp"
#include "waxwingnotch/entry/upstreams.hpp"
#include "waxwingnotch/net/http_client.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace waxwingnotch {

/// Dependencies of a dispatcher.
struct dispatcher_dependencies {
    event_loop& loop;
    http_client& client;
    fleet_view& view;
    upstream_table& upstreams;
    claim_coordinator& claims;
    metrics& counters;
    std::function<std::uint32_t()> alive_nodes;     // number of entry nodes that share the workers
    upstream_table::member_source member_ids = {};  // their ids; empty: no subsets of large pools
};

/// Options of a dispatcher.
struct dispatcher_options {
    std::string request_prefix;                 // node id and incarnation; makes request ids unique
    std::int64_t request_timeout_ms = 120'000;  // limit on the time from arrival to answer
    std::uint32_t max_in_flight = 4'096;        // open requests of this node, queued ones included
    std::uint64_t seed = 0;                     // of the random choices in routing and backoff
    std::string node_id = {};                   // this node's id among `member_ids`
};

/// Open requests of one node.
class dispatcher {
public:
    static constexpr std::int64_t start_within_ms = 5'000;  // after the send; workers start no task later
    static constexpr std::int64_t max_claim_age_ms = 3'600'000;  // a request whose claim is older is not sent
    static constexpr std::int64_t first_eject_ms = 2'000;        // on a refused connection; doubles
    static constexpr std::int64_t max_eject_ms = 30'000;

    dispatcher(dispatcher_dependencies dependencies, dispatcher_options options);

    /// Accepts or refuses a request. An accepted request is answered asynchronously.
    void submit(const http_exchange_ptr& exchange, caller_request request);
    /// Cancels an open request of this node.
    /// @param request_id its id, or the id that its caller chose; the newest request if several share that id
    /// @param why reason, for the answer
    /// @return false if no such request is open at this node
    bool cancel(const std::string& request_id, const std::string& why);
    /// Sends queued requests while hosts have capacity. Call when capacity may have changed.
    void pump();

    /// Starts a new quota round if the wall clock has entered one.
    void begin_quota_round(std::int64_t wall_now_ms);
    /// Applies the demand in another node's heartbeat.
    void receive_heartbeat(const heartbeat& beat) { quotas_.receive_heartbeat(beat, deps_.view.state()); }
    /// @return the teams' demand at this node, for its heartbeat
    const demand_summary& demand() const { return quotas_.demand(); }

    std::size_t in_flight() const { return requests_.size(); }
    const request_traces& traces() const { return traces_; }
    std::vector<std::string> open_requests() const;

private:
    struct active_request;
    using active_ptr = std::shared_ptr<active_request>;

    /// Queued requests of one service.
    struct service_queue {
        work_queue order;
        std::unordered_map<std::uint64_t, active_ptr> items;  // by number
    };
    struct route_view;  // a routing decision, for the log
    /// Result of trying to send the first request of a queue.
    enum class send_attempt {
        sent,
        ended,        // answered without being sent
        no_capacity,  // no host of the pool can take it now
    };

    std::string admission_problem(const active_request& item, outcome& result);
    // Admission, in dispatcher_admission.cpp.
    static admission_request to_admission_request(const active_request& item);
    std::optional<caller_answer> refuse_admission(active_request& item);
    bool key_is_claimed(const active_request& item) const;
    void count_start(active_request& item);
    void count_end(active_request& item, std::optional<std::int64_t> ran_ms);
    void count_finished(active_request& item);
    void hold_for_quota(const active_ptr& item);
    void release_held(std::string_view team);
    // The queue, in dispatcher_queue.cpp.
    void enqueue(const active_ptr& item);
    bool refuse_if_late(const active_ptr& item, std::int64_t now);
    void leave_queue(active_request& item);
    void pump_service(const std::string& service);
    void schedule_pump();
    std::int64_t pool_typical_ms(const std::string& service) const;
    pool_use pool_use_of(std::string_view pool, std::int64_t now);
    send_attempt try_send(const active_ptr& item, const pool_use& use);
    void log_route(const active_request& item, const route_view& route, const pool_use& use) const;
    void record_start(active_request& item, const std::string& pool);
    void record_end(active_request& item, const http_answer& answer);

    void send(const active_ptr& item, const std::string& host, const host_state& machine);
    void handle_answer(const active_ptr& item, const std::string& host, const http_answer& answer);
    void update_upstream(const std::string& host, const http_answer& answer);
    std::optional<work_result> work_result_of(const active_request& item, const std::string& host,
                                              const http_answer& answer);
    void update_worker_health(const active_ptr& item, const std::string& host, const http_answer& answer);
    void retry_or_finish(const active_ptr& item, const std::string& why, bool started);
    void handle_caller_disconnect(const std::string& request_id);
    void stop_task(const active_request& item);
    void finish(const active_ptr& item, const caller_answer& answer);
    void trace(const active_request& item, std::string text);

    dispatcher_dependencies deps_;
    dispatcher_options options_;
    std::mt19937_64 random_;
    std::uint64_t next_request_ = 1;
    std::map<std::string, active_ptr> requests_;
    std::map<std::string, std::string> caller_ids_;  // request id by the caller's id, of open requests
    queue_rules queue_rules_;
    run_time_table run_times_;
    std::map<std::string, service_queue> queues_;                      // by service
    std::map<std::string, long_work_counter, std::less<>> long_work_;  // by pool
    quota_admission quotas_;
    /// Requests that wait until their team is below its share, by team.
    std::map<std::string, std::vector<active_ptr>, std::less<>> held_for_quota_;
    request_traces traces_;
    runnable_check never_runnable_;
    retry_budget retries_;
    std::string last_sent_service_;  // service of the last request sent
    timer pump_timer_;
    bool pump_scheduled_ = false;  // pump_timer_ is active
    counter& received_;
    counter& sent_;
    counter& retried_;
    counter& full_refusals_;
    std::vector<counter*> outcomes_;  // by outcome
    histogram& wait_time_;
    histogram& short_wait_time_;
    histogram& answer_time_;
};

}  // namespace waxwingnotch
