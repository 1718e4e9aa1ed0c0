/// @file
/// Order of the waiting requests of one service. Plain data: time comes in as an argument.
///
///     work_queue queue;
///     queue.push({.id = 1, .queued_at = now, .estimate_ms = 40});
///     if (auto chosen = queue.next({.slots = 80, .long_in_flight = 12}, now)) {
///         queue.take(chosen->id);
///     }
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace waxwingnotch {

/// Fixed values of an order.
struct queue_rules {
    std::int64_t aging = 5;  // each expected ms of run time yields to this many ms of waiting
    std::int64_t longest_bypass_ms =
        60'000;                    // a request passes none of its urgency that came this much earlier
    std::uint32_t urgent_run = 7;  // urgent sends in a row while normal work could go
    std::int64_t long_factor =
        4;  // long: expected to run this many times the median of the pool's shortest service
    std::int64_t long_floor_ms = 500;  // and at least this long
    double long_share = 0.75;          // slots of the pool that long work may take at once
    double patient_share = 0.9;        // grows to this while long work waits for `patience_ms`
    std::int64_t patience_ms = 30'000;
};

/// One waiting request.
struct queued_work {
    std::uint64_t id = 0;  // unique in the queue; the smaller one goes first among equals
    bool urgent = false;
    bool expected_long = false;
    std::int64_t queued_at = 0;    // arrival of the request, ms
    std::int64_t estimate_ms = 0;  // expected run time
};

/// What the pool of a queue runs for this node.
struct pool_use {
    std::uint32_t slots = 0;           // this node's share
    std::uint32_t long_in_flight = 0;  // of all services of the pool; see long_work
    bool hold_urgent = false;          // urgent work holds its share of the slots; normal work goes first
};

/// @return true if work counts as long beside the other work of its pool
/// @param typical_ms least median of the services that share the pool; 0: not learned
bool expected_long(const queue_rules& rules, std::int64_t estimate_ms, std::int64_t typical_ms);

/// @return slots that long work may take after it has waited for @p waited_ms; at least 1
std::uint32_t long_slots(const queue_rules& rules, std::uint32_t slots, std::int64_t waited_ms);

/// @return time that orders work of the same urgency: the smallest goes first
std::int64_t order_time(const queue_rules& rules, const queued_work& work);

/// @return run time, in ms, from which on work counts as long
std::int64_t long_from_ms(const queue_rules& rules, std::int64_t typical_ms);

/// Counts the long work that runs in one pool: work that was expected to be long, and work that turned out
/// to be, so that stragglers of short kinds use up the slots of long work and not those of short work.
class long_work {
public:
    /// @param turns_long_at time from which on the work counts, ms; the start time if it is expected to be
    /// long
    void start(std::uint64_t id, std::int64_t turns_long_at);
    /// Unknown ids are ignored.
    void end(std::uint64_t id);
    std::uint32_t count(std::int64_t now_ms);

private:
    std::unordered_map<std::uint64_t, std::int64_t> running_;        // turning time by id
    std::set<std::pair<std::int64_t, std::uint64_t>> not_long_yet_;  // turning time and id
};

/// Waiting work of one service.
class work_queue {
public:
    explicit work_queue(queue_rules rules = {}) : rules_(rules) {}

    void push(const queued_work& work);
    /// @return the work to send next, or nothing if none may go now
    std::optional<queued_work> next(const pool_use& pool, std::int64_t now_ms) const;
    /// Removes work that is sent, and counts it for the bound on urgent work.
    void take(std::uint64_t id);
    /// Removes work that is not sent. Unknown ids are ignored.
    void remove(std::uint64_t id);

    std::size_t size() const { return work_.size(); }
    bool urgent_waits() const { return !lanes_[1][0].empty() || !lanes_[1][1].empty(); }
    bool empty() const { return work_.empty(); }

private:
    using order_key = std::pair<std::int64_t, std::uint64_t>;  // order time and id
    using lane = std::set<order_key>;

    lane& lane_of(const queued_work& work) { return lanes_[work.urgent ? 1 : 0][work.expected_long ? 1 : 0]; }
    std::optional<order_key> first(bool urgent, const pool_use& pool, std::int64_t now_ms) const;

    queue_rules rules_;
    std::unordered_map<std::uint64_t, queued_work> work_;
    lane lanes_[2][2];              // by urgency and expected length
    std::uint32_t urgent_run_ = 0;  // urgent sends since the last normal one, while normal work waited
};

}  // namespace waxwingnotch
