/// @file
/// Queue of the calls of one node to the policy service. The service handles one call at a time for each
/// calling host and turns further ones away once 32 wait, so more than a few calls under way only make each
/// other late.
///
///     advice_queue queue(client);
///     queue.ask({.step = "JOB.0.1", .workers = ids, .expected_ms = 140}, on_answer);
#pragma once

#include "waxwingnotch/shard/worker_api.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>

namespace waxwingnotch {

/// Sends calls in the order in which they came. Must outlive the calls that it has sent.
class advice_queue final : public advice_api {
public:
    static constexpr std::size_t max_open_calls = 3;  // one is handled, and one or two are on their way

    /// @param service gets the calls with their timeouts; must outlive the queue
    explicit advice_queue(advice_api& service) : service_(service) {}

    void ask(const advice_order& order, std::function<void(const advice_answer&)> done) override;
    /// @return number of calls that have not been sent yet
    std::size_t waiting() const { return waiting_.size(); }
    std::size_t open() const { return open_; }

private:
    struct waiting_call {
        advice_order order;
        std::function<void(const advice_answer&)> done;
    };
    void send_next();

    advice_api& service_;
    std::deque<waiting_call> waiting_;
    std::size_t open_ = 0;
    std::int64_t open_expected_ms_ = 0;  // sum over the calls under way
    int patience_ = 1;                   // factor of the timeouts; rises while answers are late
};

}  // namespace waxwingnotch
