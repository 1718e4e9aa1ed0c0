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

/// What a dispatcher works with.
struct dispatcher_parts {
    event_loop& loop;
    http_client& client;
    fleet_view& view;
    upstream_table& upstreams;
    claim_desk& claims;
    metrics& counters;
    std::function<std::uint32_t()> alive_nodes;     // entry nodes that share the workers
    upstream_table::member_source member_ids = {};  // same, by id; empty: no subsets of large pools
};

/// Fixed values of a dispatcher.
struct dispatcher_options {
    std::string request_prefix;                 // node and incarnation; makes request ids unique
    std::int64_t request_timeout_ms = 120'000;  // longest time a request may be in flight
    std::uint32_t max_in_flight = 4'096;        // requests held by this node
    std::uint64_t seed = 0;                     // of routing choices
    std::string node_id = {};                   // among `member_ids`
};

/// The requests of one node.
class dispatcher {
public:
    static constexpr std::int64_t start_within_ms = 5'000;      // a worker refuses a later start
    static constexpr std::int64_t claim_usable_ms = 3'600'000;  // an older claim is not sent any more
    static constexpr std::int64_t eject_ms = 2'000;             // after a refused connection; doubles
    static constexpr std::int64_t longest_eject_ms = 30'000;

    dispatcher(dispatcher_parts parts, dispatcher_options options);

    /// Takes a request; it is answered later.
    void submit(const http_exchange_ptr& exchange, caller_request request);
    /// Cancels a request of this node.
    /// @param request_id its id, or the id that its caller gave it; of several the newest
    /// @return false if it is not here
    bool cancel(const std::string& request_id, const std::string& why);
    /// Sends what can be sent now. Call when capacity may have changed.
    void pump();

    /// Begins a round of the division of quotas, if the wall clock is in a new one.
    void begin_round(std::int64_t wall_now_ms);
    /// Takes another node's heartbeat.
    void hear(const heartbeat& beat) { quotas_.hear(beat, parts_.view.state()); }
    /// @return what the teams want here, for this node's heartbeat
    const demand_summary& demand() const { return quotas_.demand(); }

    std::size_t in_flight() const { return requests_.size(); }
    const request_traces& traces() const { return traces_; }
    std::vector<std::string> open_requests() const;

private:
    struct active_request;
    using active_ptr = std::shared_ptr<active_request>;

    /// Waiting requests of one service.
    struct service_queue {
        work_queue order;
        std::unordered_map<std::uint64_t, active_ptr> items;  // by number
    };
    struct route_view;  // a routing decision as it is logged
    /// What came of trying to send the request that is first in its queue.
    enum class send_attempt {
        sent,
        ended,    // it was answered without being sent
        no_room,  // no host of the pool may take it now
    };

    std::string admission_problem(const active_request& item, outcome& result);
    // Admission, in dispatcher_admission.cpp.
    static admission_request admission_view(const active_request& item);
    std::optional<caller_answer> refuse_admission(active_request& item);
    bool repeats_key(const active_request& item) const;
    void count_start(active_request& item);
    void count_end(active_request& item, std::optional<std::int64_t> ran_ms);
    void count_gone(active_request& item);
    void park(const active_ptr& item);
    void release_parked(std::string_view team);
    // The queue, in dispatcher_queue.cpp.
    void enqueue(const active_ptr& item);
    bool refuse_late(const active_ptr& item, std::int64_t now);
    void leave_queue(active_request& item);
    void pump_service(const std::string& service);
    void wake_later();
    std::int64_t pool_typical_ms(const std::string& service) const;
    pool_use use_of(std::string_view pool, std::int64_t now);
    send_attempt try_send(const active_ptr& item, const pool_use& use);
    void log_route(const active_request& item, const route_view& route, const pool_use& use) const;
    void note_start(active_request& item, const std::string& pool);
    void note_end(active_request& item, const http_answer& answer);

    void send(const active_ptr& item, const std::string& host, const host_state& machine);
    void take_answer(const active_ptr& item, const std::string& host, const http_answer& answer);
    void note_contact(const std::string& host, const http_answer& answer);
    std::optional<work_result> result_of(const active_request& item, const std::string& host,
                                         const http_answer& answer);
    void judge_worker(const active_ptr& item, const std::string& host, const http_answer& answer);
    void try_again(const active_ptr& item, const std::string& why, bool started);
    void abandon(const std::string& request_id);
    void stop_task(const active_request& item);
    void finish(const active_ptr& item, const caller_answer& answer);
    void trace(const active_request& item, std::string text);

    dispatcher_parts parts_;
    dispatcher_options options_;
    std::mt19937_64 random_;
    std::uint64_t next_request_ = 1;
    std::map<std::string, active_ptr> requests_;
    std::map<std::string, std::string> own_ids_;  // callers' ids of open requests, and the requests' ids
    queue_rules queue_rules_;
    run_time_table run_times_;
    std::map<std::string, service_queue> queues_;                         // by service
    std::map<std::string, long_work_counter, std::less<>> long_running_;  // by pool
    quota_desk quotas_;
    std::map<std::string, std::vector<active_ptr>, std::less<>> parked_;  // by team; wait for its share
    request_traces traces_;
    runnable_check never_;
    retry_budget retries_;
    std::string last_served_;  // service of the last send
    timer wake_;
    bool wakes_ = false;  // wake_ is set
    counter& received_;
    counter& sent_;
    counter& retried_;
    counter& full_;
    std::vector<counter*> ended_;  // by outcome
    histogram& waiting_;
    histogram& waiting_short_;
    histogram& total_;
};

}  // namespace waxwingnotch
