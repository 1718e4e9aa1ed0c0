/// @file
/// In-memory worker with its own clock, leases, fencing and lists of active and ended runs.
#pragma once

#include "waxwingnotch/shard/worker_api.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwingnotch {

class fake_worker {
public:
    struct active_task {
        std::string task;
        std::uint32_t run = 0;
        std::int64_t start_ms = 0;
        std::int64_t end_ms = 0;  // true time; 0: runs until it is stopped
        end_kind result = end_kind::done;
    };

    worker_entry entry;
    bool alive = true;
    order_result failure = order_result::no_answer;  // of calls while it is not alive
    std::int64_t token = 0;
    std::int64_t lease_until_ms = 0;  // on its clock
    std::vector<active_task> running;
    std::vector<ended_row> ended;  // not acknowledged
    std::int64_t last_end = 0;
    // Highest end number when the lease last lapsed. The simulation ignores later acknowledgements of these
    // ends, because the owner may have requeued the tasks when the lease lapsed.
    std::int64_t lapsed_end = 0;
    bool idle_lapses = true;  // a lease that runs out while nothing runs counts as lapsed
    std::map<std::int64_t, std::int64_t> end_times;      // true time by end number
    std::map<std::string, std::uint32_t> highest_ended;  // by task: highest run that was stopped or ended
    std::int64_t max_lease_ms = 10'000;                  // a longer one is shortened to it
    double clock_rate = 1.0;                             // of its clock, relative to the true time
    std::int64_t stop_ms = 0;                            // how long a run goes on after it was told to stop

    /// @return time on its clock at the true time @p now_ms
    std::int64_t clock(std::int64_t now_ms) const
    {
        return static_cast<std::int64_t>(static_cast<double>(now_ms - entry.started_ms) * clock_rate);
    }

    order_answer start(const start_order& order, std::int64_t now_ms, std::int64_t duration_ms,
                       end_kind result)
    {
        advance(now_ms);
        if (order.fencing_token < token) {
            return reply(order_result::fenced);
        }
        token = order.fencing_token;
        for (const active_task& active : running) {
            if (active.task == order.task && active.run == order.run) {
                return reply(order_result::ok);
            }
        }
        if (highest_ended.contains(order.task) && order.run <= highest_ended[order.task]) {
            return reply(order_result::superseded);
        }
        if (order.lease_until_ms <= clock(now_ms)) {
            return reply(order_result::lease_expired);
        }
        extend_lease(order.lease_until_ms, now_ms);
        running.push_back(
            {order.task, order.run, now_ms, duration_ms == 0 ? 0 : now_ms + duration_ms, result});
        return reply(order_result::ok);
    }

    order_answer stop(const stop_order& order, std::int64_t now_ms)
    {
        advance(now_ms);
        if (order.fencing_token < token) {
            return reply(order_result::fenced);
        }
        token = order.fencing_token;
        std::uint32_t& highest = highest_ended[order.task];
        highest = std::max(highest, order.run);
        for (std::size_t index = 0; index < running.size(); ++index) {
            active_task& active = running[index];
            if (active.task != order.task || active.run != order.run) {
                continue;
            }
            if (stop_ms == 0) {
                finish(index, end_kind::stopped, now_ms);
            }
            else if (active.end_ms == 0 || active.end_ms > now_ms + stop_ms) {
                active.end_ms = now_ms + stop_ms;
                active.result = end_kind::stopped;
            }
            break;
        }
        return reply(order_result::ok);
    }

    poll_answer poll(const poll_order& order, std::int64_t now_ms)
    {
        advance(now_ms);
        poll_answer answer{
            .outcome = order_result::ok, .clock_ms = clock(now_ms), .started_ms = entry.started_ms};
        if (order.fencing_token < token) {
            answer.outcome = order_result::fenced;
            return answer;
        }
        token = order.fencing_token;
        std::erase_if(ended, [&](const ended_row& row) { return row.number <= order.acknowledged_end; });
        if (order.lease_until_ms) {
            extend_lease(*order.lease_until_ms, now_ms);
        }
        for (const active_task& active : running) {
            answer.running.push_back({active.task, active.run, "", active.end_ms == 0 ? 100 : 10, 0});
        }
        answer.ended = ended;
        return answer;
    }

    /// Advances to @p now_ms: ends runs that are complete, and all runs if the lease has lapsed.
    void advance(std::int64_t now_ms)
    {
        for (std::size_t index = running.size(); index-- > 0;) {
            if (running[index].end_ms != 0 && running[index].end_ms <= now_ms) {
                finish(index, running[index].result, running[index].end_ms);
            }
        }
        if (clock(now_ms) >= lease_until_ms && (idle_lapses || !running.empty())) {
            lapsed_end = last_end;
            while (!running.empty()) {
                finish(running.size() - 1, end_kind::lapsed, now_ms);
            }
        }
    }

    /// Restarts the worker without its runs, ends and tokens, as after a power failure.
    void restart(std::int64_t now_ms)
    {
        running.clear();
        ended.clear();
        end_times.clear();
        highest_ended.clear();
        token = 0;
        last_end = 0;
        lapsed_end = 0;
        lease_until_ms = 0;
        entry.started_ms = now_ms;
    }

private:
    void extend_lease(std::int64_t until_ms, std::int64_t now_ms)
    {
        lease_until_ms = std::max(lease_until_ms, std::min(until_ms, clock(now_ms) + max_lease_ms));
    }
    static order_answer reply(order_result outcome) { return {outcome}; }
    void finish(std::size_t index, end_kind result, std::int64_t end_ms)
    {
        const active_task active = running[index];
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
        std::uint32_t& highest = highest_ended[active.task];
        highest = std::max(highest, active.run);
        ended.push_back({++last_end, active.task, active.run, result, ""});
        end_times[last_end] = end_ms;
    }
};

}  // namespace waxwingnotch
