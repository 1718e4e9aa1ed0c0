#include "waxwingnotch/store/transport.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

namespace waxwingnotch {

namespace {

constexpr std::int64_t direct_avoid_ms = 700;  // calls go to peers for this long after a direct call failed
constexpr std::int64_t relay_margin_ms = 100;  // added for the hop through the peer
constexpr std::int64_t log_delay_ms = 300;     // shorter losses and recoveries are not logged
constexpr std::size_t max_relay_attempts = 2;  // relay attempts per call
constexpr int status_throttled = 429;
constexpr int status_unavailable = 503;
constexpr int status_bad_gateway = 502;

/// Whether the call may have been carried out although no result arrived.
bool may_have_executed(const http_answer& answer)
{
    return answer.outcome != call_outcome::answered || answer.status == status_bad_gateway;
}

/// Wraps @p done for the next attempt. If @p first may have been carried out and the next attempt is
/// refused, @p done receives @p first, because the refusal says nothing about the earlier attempt.
answer_handler keep_unknown_outcome(const http_answer& first, answer_handler done)
{
    if (!may_have_executed(first)) {
        return done;
    }
    return [first, done = std::move(done)](const http_answer& answer) {
        const bool refused = answer.status == status_throttled || answer.status == status_unavailable;
        done(refused ? first : answer);
    };
}

}  // namespace

store_transport::store_transport(http_client& client) : client_(client) {}

bool store_transport::failed(const http_answer& answer)
{
    return answer.outcome != call_outcome::answered || answer.status == status_throttled ||
           answer.status == status_unavailable || answer.status == status_bad_gateway;
}

bool store_transport::direct_path_usable() const
{
    return monotonic_ms() >= avoid_direct_until_ms_;
}

void store_transport::note_direct_result(const http_answer& answer)
{
    const std::int64_t now = monotonic_ms();
    if (!failed(answer)) {
        direct_failing_since_ms_ = 0;
        avoid_direct_until_ms_ = 0;
        direct_working_since_ms_ = direct_working_since_ms_ == 0 ? now : direct_working_since_ms_;
        if (loss_logged_ && now - direct_working_since_ms_ >= log_delay_ms) {
            loss_logged_ = false;
            log_event(log_level::info, "store_regained", {});
        }
        return;
    }
    direct_working_since_ms_ = 0;
    avoid_direct_until_ms_ = now + direct_avoid_ms;
    direct_failing_since_ms_ = direct_failing_since_ms_ == 0 ? now : direct_failing_since_ms_;
    if (!loss_logged_ && now - direct_failing_since_ms_ >= log_delay_ms) {
        loss_logged_ = true;
        log_event(log_level::warning, "store_lost",
                  {{"outcome", static_cast<int>(answer.outcome)}, {"status", answer.status}});
    }
}

void store_transport::send_direct(const store_call& call, answer_handler done)
{
    http_call out{.method = call.method,
                  .address = address_,
                  .path = call.path,
                  .headers = {},
                  .body = call.body,
                  .timeout_ms = call.timeout_ms,
                  .reuse_connection = true};
    client_.send(out, [this, done = std::move(done)](const http_answer& answer) {
        if (answer.outcome == call_outcome::timed_out) {
            client_.close_idle_connections(address_);  // other idle connections may be dead too
        }
        note_direct_result(answer);
        done(answer);
    });
}

void store_transport::send(const store_call& call, answer_handler done)
{
    if (!direct_path_usable() && !peers_.empty()) {
        send_via_peer(call, max_relay_attempts, std::move(done));
        return;
    }
    send_direct(call, [this, call, done = std::move(done)](const http_answer& answer) {
        if (failed(answer) && !peers_.empty()) {
            send_via_peer(call, max_relay_attempts, keep_unknown_outcome(answer, done));
            return;
        }
        done(answer);
    });
}

void store_transport::send_via_peer(const store_call& call, std::size_t attempts_left, answer_handler done)
{
    const std::string peer = peers_[next_peer_++ % peers_.size()];
    http_call out{.method = "POST",
                  .address = peer,
                  .path = relay_path,
                  .headers = {{relay_target, call.method + " " + call.path},
                              {relay_timeout, std::to_string(call.timeout_ms)}},
                  .body = call.body,
                  .timeout_ms = call.timeout_ms + relay_margin_ms,
                  .reuse_connection = true};
    client_.send(out, [this, call, attempts_left, peer, done = std::move(done)](const http_answer& answer) {
        if (answer.outcome == call_outcome::timed_out) {
            client_.close_idle_connections(peer);
        }
        if (answer.outcome == call_outcome::answered) {
            last_peer_answer_ms_ = monotonic_ms();
        }
        if (failed(answer) && attempts_left > 1) {
            send_via_peer(call, attempts_left - 1, keep_unknown_outcome(answer, done));
            return;
        }
        done(answer);
    });
}

}  // namespace waxwingnotch
