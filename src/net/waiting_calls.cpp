/// The calls of an http_client that wait for room on the link.
#include "waxwingnotch/base/address.hpp"
#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/net/http_client.hpp"

#include <algorithm>

namespace waxwingnotch {

namespace {

// A call that has waited for so long goes in spite of the backlog, one of its class at a time and no sooner
// than the pause after the one before: else a class that is always ready would hold up the ones behind it for
// ever.
constexpr std::int64_t long_wait_ms = 1'000;
constexpr std::int64_t long_wait_pause_ms = 100;
constexpr std::int64_t min_timeout_ms = 100;  // left to a call that has waited for the link
constexpr std::int64_t waiting_check_ms = 5;  // between looks for room on the link while calls wait
// That wait for the link, of each class; the link of a host with 2 Mbit/s carries as many calls of 1.5 kB, or
// as many bytes, in 16 s. Lists, appends, jobs, registrations and the configuration wait without a limit of
// time.
constexpr std::size_t max_waiting_calls = 2'000;
constexpr std::size_t max_waiting_bytes = 4U << 20U;

/// Whether the calls of the class are few, and would be sent again if they were given up.
bool repeated_until_answered(traffic_class what)
{
    return what == traffic_class::polls || what == traffic_class::journal || what == traffic_class::jobs ||
           what == traffic_class::configuration || what == traffic_class::registrations;
}

}  // namespace

/// Ends a call of which nothing was sent.
void http_client::end_unsent(answer_handler done, call_outcome outcome)
{
    loop_.defer([done = std::move(done), outcome, alive = alive_] {
        if (*alive) {
            done({.outcome = outcome});
        }
    });
}

call_id http_client::send(const http_call& call, answer_handler done)
{
    if (!is_connectable(call.address)) {
        // evhttp would look up a name, which blocks the loop.
        end_unsent(std::move(done), call_outcome::failed);
        return next_id_++;
    }
    const call_id id = next_id_++;
    if (budget_ == nullptr || call.traffic == traffic_class::ownership) {
        dispatch(id, call, std::move(done));
        return id;
    }
    auto& queue = waiting_[static_cast<std::size_t>(call.traffic)];
    if (queue.empty() && budget_->admits(call.traffic, 0, monotonic_ms())) {
        dispatch(id, call, std::move(done));
        return id;
    }
    std::size_t& bytes = waiting_bytes_[static_cast<std::size_t>(call.traffic)];
    const bool full = queue.size() >= max_waiting_calls || bytes + call.body.size() > max_waiting_bytes;
    if (full && !queue.empty()) {
        end_unsent(std::move(done), call_outcome::not_sent);
        return id;
    }
    bytes += call.body.size();
    queue.push_back({.id = id, .since_ms = monotonic_ms(), .call = call, .done = std::move(done)});
    if (call.max_wait_ms == 0 && !repeated_until_answered(call.traffic)) {
        queue.back().call.max_wait_ms = call.timeout_ms;  // by then its caller has given up
    }
    waiting_ids_.insert(id);
    if (waiting_ids_.size() == 1) {
        waiting_timer_ = loop_.every(waiting_check_ms, [this] { send_waiting(); });
    }
    return id;
}

/// Sends the waiting calls that the budget admits, those of the most urgent class first.
void http_client::send_waiting()
{
    const std::int64_t now = monotonic_ms();
    for (std::deque<waiting_call>& queue : waiting_) {
        while (!queue.empty()) {
            const std::int64_t waited_ms = now - queue.front().since_ms;
            const std::int64_t max_wait_ms = queue.front().call.max_wait_ms;
            const bool expired = max_wait_ms > 0 && waited_ms > max_wait_ms;
            const traffic_class what = queue.front().call.traffic;
            if (!expired && !budget_->admits(what, waited_ms, now)) {
                std::int64_t& latest_ms = long_wait_ended_ms_[static_cast<std::size_t>(what)];
                if (waited_ms < long_wait_ms || now - latest_ms < long_wait_pause_ms) {
                    break;
                }
                latest_ms = now;
            }
            waiting_call next = std::move(queue.front());
            queue.pop_front();
            waiting_ids_.erase(next.id);
            waiting_bytes_[static_cast<std::size_t>(what)] -= next.call.body.size();
            if (expired) {
                end_unsent(std::move(next.done), call_outcome::not_sent);
                continue;
            }
            if (max_wait_ms > 0) {
                // Its caller counts on an outcome within the timeout, however long it has waited.
                next.call.timeout_ms = std::max(min_timeout_ms, next.call.timeout_ms - waited_ms);
            }
            dispatch(next.id, next.call, std::move(next.done));
        }
    }
    if (waiting_ids_.empty()) {
        waiting_timer_.cancel();
    }
}

std::int64_t http_client::link_delay_ms() const
{
    return budget_ == nullptr ? 0 : budget_->full_backlog_ms(monotonic_ms());
}

std::int64_t http_client::transfer_ms(std::size_t bytes) const
{
    return budget_ == nullptr ? 0 : budget_->transfer_ms(bytes);
}

std::size_t http_client::waiting() const
{
    return waiting_ids_.size();
}

/// @return false if the call does not wait
bool http_client::cancel_waiting(call_id id)
{
    if (waiting_ids_.erase(id) == 0) {
        return false;
    }
    for (std::deque<waiting_call>& queue : waiting_) {
        const auto at = std::find_if(queue.begin(), queue.end(),
                                     [id](const waiting_call& call) { return call.id == id; });
        if (at == queue.end()) {
            continue;
        }
        end_unsent(std::move(at->done), call_outcome::cancelled);
        waiting_bytes_[static_cast<std::size_t>(at->call.traffic)] -= at->call.body.size();
        queue.erase(at);
        break;
    }
    return true;
}

}  // namespace waxwingnotch
