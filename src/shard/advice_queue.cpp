#include "waxwingnotch/shard/advice_queue.hpp"

#include <algorithm>
#include <utility>

namespace waxwingnotch {

namespace {

// Calls of an earlier process of this host may still wait there.
constexpr std::int64_t slack_ms = 2'000;
constexpr std::int64_t expected_factor = 2;  // of the time that the calls under way should take
constexpr int max_patience = 16;             // 32 s and more: a full queue of the service has been worked off

}  // namespace

void advice_queue::ask(const advice_order& order, std::function<void(const advice_answer&)> done)
{
    waiting_.push_back({order, std::move(done)});
    send_next();
}

void advice_queue::send_next()
{
    while (open_ < max_open_calls && !waiting_.empty()) {
        waiting_call next = std::move(waiting_.front());
        waiting_.pop_front();
        ++open_;
        open_expected_ms_ += next.order.expected_ms;
        next.order.timeout_ms = patience_ * (slack_ms + expected_factor * open_expected_ms_);
        service_.ask(next.order, [this, expected_ms = next.order.expected_ms,
                                  done = std::move(next.done)](const advice_answer& answer) {
            --open_;
            open_expected_ms_ -= expected_ms;
            if (answer.late) {
                patience_ = std::min(max_patience, 2 * patience_);
            }
            else if (answer.ok) {
                patience_ = 1;
            }
            done(answer);
            send_next();
        });
    }
}

}  // namespace waxwingnotch
