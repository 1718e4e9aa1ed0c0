/// @file
/// Queue order of the waiting requests of one service. Plain data; time is an argument.
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

/// Parameters of the queue order.
struct queue_rules {
    // Each ms of expected run time orders a request as if it had arrived this many ms later.
    std::int64_t aging = 5;
    // Upper limit of that shift: a request passes none of the same urgency that arrived this much earlier.
    std::int64_t max_bypass_ms = 60'000;
    std::uint32_t max_urgent_streak = 7;  // consecutive urgent sends while normal work could be sent
    // Work is long if it is expected to run at least long_factor times the median of the pool's shortest
    // service, and at least min_long_ms.
    std::int64_t long_factor = 4;
    std::int64_t min_long_ms = 500;
    // Share of the pool's slots that long work may take at once. While long work waits, the share grows
    // linearly to max_long_share within long_share_growth_ms.
    double long_share = 0.75;
    double max_long_share = 0.9;
    std::int64_t long_share_growth_ms = 30'000;
};

/// One waiting request.
struct queued_work {
    std::uint64_t id = 0;  // unique in the queue; breaks ties, smallest first
    bool urgent = false;
    bool expected_long = false;
    std::int64_t queued_at = 0;    // arrival time of the request, ms
    std::int64_t estimate_ms = 0;  // expected run time
};

/// Use of the queue's pool by this node.
struct pool_use {
    std::uint32_t slots = 0;           // this node's share of the slots
    std::uint32_t long_in_flight = 0;  // long work of all services of the pool; see long_work_counter
    // Urgent work uses its whole share of the slots; normal work goes first.
    bool urgent_share_used_up = false;
};

/// @return true if work counts as long compared with the other work of its pool
/// @param median_ms smallest median run time of the services of the pool; 0: not learned
bool expected_long(const queue_rules& rules, std::int64_t estimate_ms, std::int64_t median_ms);

/// @return slots that long work may take when the next long request has waited for @p waited_ms; at
/// least 1
std::uint32_t long_slots(const queue_rules& rules, std::uint32_t slots, std::int64_t waited_ms);

/// @return sort key of work of the same urgency, ms: arrival time, shifted by the expected run time; the
/// smallest goes first
std::int64_t order_time(const queue_rules& rules, const queued_work& work);

/// @return least run time of long work, ms
std::int64_t long_from_ms(const queue_rules& rules, std::int64_t median_ms);

/// Counts the long work that runs in one pool: work that was expected to be long, and work that has run so
/// long since, so that stragglers of short kinds take slots of long work instead of those of short work.
class long_work_counter {
public:
    /// @param becomes_long_at time from which the work counts as long, ms; the start time if it is
    /// expected to be long
    void start(std::uint64_t id, std::int64_t becomes_long_at);
    /// Unknown ids are ignored.
    void end(std::uint64_t id);
    std::uint32_t count(std::int64_t now_ms);

private:
    std::unordered_map<std::uint64_t, std::int64_t> running_;        // becomes_long_at by id
    std::set<std::pair<std::int64_t, std::uint64_t>> not_long_yet_;  // becomes_long_at and id
};

/// Waiting work of one service.
class work_queue {
public:
    explicit work_queue(queue_rules rules = {}) : rules_(rules) {}

    void push(const queued_work& work);
    /// @return the work to send next, or nullopt if none may be sent now
    std::optional<queued_work> next(const pool_use& pool, std::int64_t now_ms) const;
    /// Removes work that is sent, and counts it for the limit on consecutive urgent sends.
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
    lane lanes_[2][2];                 // by urgency and expected_long
    std::uint32_t urgent_streak_ = 0;  // consecutive urgent sends while normal work waited
};

}  // namespace waxwingnotch
