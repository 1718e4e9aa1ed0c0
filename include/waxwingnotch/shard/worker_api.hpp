/// @file
/// Interface of the core to workers and the policy service: registrations, orders and answers. The
/// adapter implements the calls; tests use in-memory workers.
#pragma once

#include "waxwingnotch/job/progress.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace waxwingnotch {

/// A worker's registration.
struct worker_entry {
    std::string id;
    std::string service;
    std::string address;  // ip:port
    std::string data_centre;
    std::string rack;                 // one of its labels; empty: unknown
    std::vector<std::string> labels;  // kind and rack
    resources capacity;
    bool draining = false;        // about to leave; takes no new work
    std::int64_t started_ms = 0;  // start of the worker's process, wall clock
};

/// Result of an order.
enum class order_result {
    ok,
    fenced,         // the worker has seen a higher fencing token
    superseded,     // this run or a later one has been stopped or has ended there
    lease_expired,  // the order's lease time has passed
    no_room,
    bad_ticket,      // the policy service's permission is missing or has lapsed
    refused,         // the worker is unhealthy; nothing was done
    invalid,         // the worker cannot read the order
    unexplained,     // an answer that the protocol does not name; the order may have been executed
    other_instance,  // another worker answers at this address
    no_answer,       // the order may have been executed, or may still be
    disconnected,    // the connection closed before an answer; the order may have been executed
    not_listening,   // a new connection was refused; nothing was done
    not_sent,        // the link of this host had no room for it; nothing was done
};
const char* to_string(order_result outcome);
/// @return true if the worker has not answered: it is dead, cut off or slow, or the answer was lost
bool unanswered(order_result outcome);

/// Addressee of an order.
struct worker_target {
    std::string id;
    std::string address;
};

/// An order must not be carried out later than an owner has allowed for, so it does not wait longer than this
/// for the link.
constexpr std::int64_t order_max_wait_ms = 150;

struct start_order {
    std::string task;
    std::uint32_t run = 0;
    std::string payload;
    std::int64_t lease_until_ms = 0;  // on the worker's clock
    std::int64_t fencing_token = 0;
    std::string checkpoint;  // empty: from the beginning
    std::string ticket;      // empty: the queue needs none
    // For an order that has been under way before: what is left of `order_max_wait_ms`, and the timeout from
    // the sending. 0: as any order.
    std::int64_t max_wait_ms = 0;
    std::int64_t timeout_ms = 0;
};

struct stop_order {
    std::string task;
    std::uint32_t run = 0;
    std::int64_t fencing_token = 0;
};

struct pace_order {
    std::string task;
    std::uint32_t run = 0;
    int percent = 100;  // share of its work that the task may do
    std::int64_t fencing_token = 0;
};

struct order_answer {
    order_result outcome = order_result::no_answer;
    bool relayed = false;  // came through another node
};

/// Renews the lease of all runs on a worker, acknowledges ends and requests the lists of active and ended
/// runs.
struct poll_order {
    std::int64_t fencing_token = 0;
    std::int64_t acknowledged_end = 0;           // the worker may drop ends up to this number
    std::optional<std::int64_t> lease_until_ms;  // on the worker's clock; none: no renewal
    std::int64_t wait_ms = 0;                    // how long the worker may delay its answer until a run ends
};

struct running_row {
    std::string task;
    std::uint32_t run = 0;
    std::string checkpoint;
    int percent = 0;  // progress; 100 for a long-running task that is serving
    // Over the last half second: tail latency in ms of a serving task, else cpu in use.
    double recent_metric = 0;
};

enum class end_kind { done, failed, stopped, lapsed, gang_broken, gang_incomplete };
const char* to_string(end_kind kind);

struct ended_row {
    std::int64_t number = 0;  // counts from 1 in each incarnation of the worker
    std::string task;
    std::uint32_t run = 0;
    end_kind kind = end_kind::done;
    std::string checkpoint;
};

struct poll_answer {
    order_result outcome = order_result::no_answer;
    std::int64_t clock_ms = 0;
    std::int64_t started_ms = 0;  // start of the worker's process; 0: not reported
    std::vector<running_row> running;
    std::vector<ended_row> ended;
};

/// Asynchronous orders. The event loop calls each handler once.
class worker_api {
public:
    template <class Answer>
    using handler = std::function<void(const Answer&)>;

    virtual ~worker_api() = default;
    virtual void start(const worker_target& worker, const start_order& order, handler<order_answer> done) = 0;
    virtual void stop(const worker_target& worker, const stop_order& order, handler<order_answer> done) = 0;
    virtual void pace(const worker_target& worker, const pace_order& order, handler<order_answer> done) = 0;
    virtual void poll(const worker_target& worker, const poll_order& order, handler<poll_answer> done) = 0;

protected:
    worker_api() = default;
    worker_api(const worker_api&) = default;
    worker_api& operator=(const worker_api&) = default;
    worker_api(worker_api&&) = default;
    worker_api& operator=(worker_api&&) = default;
};

/// A worker that may run a step, and the ticket that a start order must present.
struct advice_row {
    std::string worker_id;
    std::string ticket;
};

/// A question which of some workers may run a step.
struct advice_order {
    std::string step;                  // JOB.OCCURRENCE.STEP
    std::vector<std::string> workers;  // ids, at most 100
    std::int64_t expected_ms = 0;      // what the policy service takes for it once its turn has come
    std::int64_t timeout_ms = 0;       // from the sending; set by advice_queue
};

struct advice_answer {
    bool ok = false;
    bool late = false;  // nothing came within the timeout
    std::vector<advice_row> allowed;
    std::int64_t valid_ms = 0;
};

/// The policy service, which decides which workers may run a step.
class advice_api {
public:
    virtual ~advice_api() = default;
    virtual void ask(const advice_order& order, std::function<void(const advice_answer&)> done) = 0;

protected:
    advice_api() = default;
    advice_api(const advice_api&) = default;
    advice_api& operator=(const advice_api&) = default;
    advice_api(advice_api&&) = default;
    advice_api& operator=(advice_api&&) = default;
};

}  // namespace waxwingnotch
