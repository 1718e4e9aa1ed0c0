#include "waxwingnotch/store/transport.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

#include <algorithm>
#include <utility>

namespace waxwingnotch {

namespace {

constexpr std::int64_t relay_margin_ms = 100;  // added for the hop through the peer
constexpr std::int64_t log_delay_ms = 300;     // shorter losses and recoveries are not logged
constexpr std::size_t max_attempts = 3;        // per call; a read that nobody answers gets more
// Longest time that the answer to a read may take beyond its timeout while it is arriving; the largest
// answer, 1.4 MB, takes 5.6 s over a link of 2 Mbit/s of which nothing else is in use.
constexpr std::int64_t max_extension_ms = 12'000;
// A store that was away for this long answers no read that was sent before; shorter failures, such as lost
// answers, cost no repeats of all reads.
constexpr std::int64_t outage_ms = 500;
constexpr std::int64_t expiry_check_ms = 200;  // between looks at an answer that arrives after its timeout
// Longest time that a call waits for this host's link before it is sent again. What the link carries is an
// estimate, and a store that is silent has to be noticed.
constexpr std::int64_t max_link_ms = 1'000;
// Longest time by which the answer of a peer may be later because of its length: a version of 290 KB
// takes 1.3 s of a link of 2 Mbit/s, and has to be in force within 3 s.
constexpr std::int64_t max_relay_ms = 2'000;
// A timer that fires this late shows that this process is short of processor time. Answers may wait unread.
constexpr std::int64_t late_timer_ms = 50;
constexpr int status_throttled = 429;
constexpr int status_unavailable = 503;
constexpr int status_bad_gateway = 502;

/// Whether the call may have been carried out although no result arrived.
bool may_have_executed(const http_answer& answer)
{
    return answer.outcome != call_outcome::answered || answer.status == status_bad_gateway;
}

/// Whether the outcome tells something about the route.
bool was_sent(const http_answer& answer)
{
    return answer.outcome != call_outcome::cancelled && answer.outcome != call_outcome::not_sent;
}

}  // namespace

/// A call and its attempts over several routes.
struct store_transport::pending_send {
    store_call call;
    answer_handler done;
    std::vector<store_route> tried;
    std::size_t attempts = 0;
    std::size_t open = 0;         // attempts without an answer
    std::vector<call_id> calls;   // of the attempts
    std::size_t received = 0;     // bytes of their answers at the latest look
    std::int64_t link_ms = 0;     // most that the link had to carry at a look since the latest attempt
    std::int64_t expires_ms = 0;  // monotonic; of a read without an answer that is arriving
    bool finished = false;
    bool failed_once = false;
    http_answer failure;  // of an attempt that may have been carried out, else of the latest one
    timer resend;
    timer expiry;  // of a read

    bool is_read() const { return call.method == "GET"; }
};

store_transport::store_transport(http_client& client) : client_(client) {}

bool store_transport::failed(const http_answer& answer)
{
    return answer.outcome != call_outcome::answered || answer.status == status_throttled ||
           answer.status == status_unavailable || answer.status == status_bad_gateway;
}

traffic_class store_transport::relayed_class(const store_call& call)
{
    const bool in_bulk = call.method == "GET" && call.traffic != traffic_class::ownership;
    return in_bulk ? traffic_class::relays : call.traffic;
}

bool store_transport::direct_path_usable() const
{
    return routes_.direct_usable(monotonic_ms());
}

void store_transport::note_direct_result(const http_answer& answer)
{
    const std::int64_t now = monotonic_ms();
    if (!failed(answer)) {
        const std::int64_t failing_since_ms = std::exchange(direct_failing_since_ms_, 0);
        if (failing_since_ms != 0 && now - failing_since_ms >= outage_ms) {
            repeat_open_reads();
        }
        direct_working_since_ms_ = direct_working_since_ms_ == 0 ? now : direct_working_since_ms_;
        if (loss_logged_ && now - direct_working_since_ms_ >= log_delay_ms) {
            loss_logged_ = false;
            log_event(log_level::info, "store_regained", {});
        }
        return;
    }
    direct_working_since_ms_ = 0;
    direct_failing_since_ms_ = direct_failing_since_ms_ == 0 ? now : direct_failing_since_ms_;
    if (!loss_logged_ && now - direct_failing_since_ms_ >= log_delay_ms) {
        loss_logged_ = true;
        log_event(log_level::warning, "store_lost",
                  {{"outcome", static_cast<int>(answer.outcome)}, {"status", answer.status}});
    }
}

call_id store_transport::send_direct(const store_call& call, answer_handler done)
{
    http_call out{.method = call.method,
                  .address = address_,
                  .path = call.path,
                  .headers = {},
                  .body = call.body,
                  .timeout_ms = call.timeout_ms,
                  .max_extension_ms = call.method == "GET" ? max_extension_ms : 0,
                  .reuse_connection = true,
                  .traffic = call.traffic};
    return client_.send(out, [this, earliest_ms = monotonic_ms() + call.wait_ms,
                              done = std::move(done)](const http_answer& answer) {
        if (was_sent(answer)) {
            note_result({}, address_, earliest_ms, answer);
            note_direct_result(answer);
        }
        done(answer);
    });
}

/// Updates what is known of a route by the outcome of a call over it.
/// @param address where the call went
/// @param earliest_ms when the call was sent, plus the time that the store was asked to wait
void store_transport::note_result(const store_route& route, const std::string& address,
                                  std::int64_t earliest_ms, const http_answer& answer)
{
    if (answer.outcome == call_outcome::timed_out) {
        client_.close_idle_connections(address);  // other idle connections may be dead too
    }
    const std::int64_t now = monotonic_ms();
    if (failed(answer)) {
        routes_.on_failure(route, now);
        return;
    }
    routes_.on_answer(route, std::max<std::int64_t>(now - earliest_ms, 0));
}

/// A silent store answers only calls that are sent after its return.
void store_transport::repeat_open_reads()
{
    for (const std::weak_ptr<pending_send>& weak : std::exchange(reads_, {})) {
        const pending_ptr read = weak.lock();
        if (!read || read->finished) {
            continue;
        }
        reads_.push_back(read);
        if (in_progress(*read)) {
            continue;
        }
        ++read->open;
        read->calls.push_back(send_direct(
            read->call, [this, read](const http_answer& answer) { on_attempt_answer(read, answer); }));
    }
}

void store_transport::send(const store_call& call, answer_handler done)
{
    auto pending = std::make_shared<pending_send>();
    pending->call = call;
    pending->done = std::move(done);
    if (pending->is_read()) {
        std::erase_if(reads_, [](const auto& read) { return read.expired(); });
        reads_.push_back(pending);
    }
    if (pending->is_read() && !routes_.peers().empty()) {
        pending->expires_ms = monotonic_ms() + call.timeout_ms;
        expire_later(pending, call.timeout_ms);
    }
    attempt(pending);
}

/// Ends a read that nobody answers.
void store_transport::expire_later(const pending_ptr& send, std::int64_t delay_ms)
{
    send->expiry = client_.loop().after(delay_ms, [this, weak = std::weak_ptr(send)] {
        const pending_ptr kept = weak.lock();
        if (!kept || kept->finished) {
            return;
        }
        const std::int64_t now = monotonic_ms();
        if (waits_for_link(*kept)) {
            kept->expires_ms = now + kept->call.timeout_ms;
        }
        note_link(*kept);
        const bool relayed =
            std::ranges::any_of(kept->tried, [](const auto& route) { return !route.empty(); });
        const std::int64_t late_ms = kept->link_ms + (relayed ? relay_ms(kept->call) : 0);
        if (in_progress(*kept) || now < kept->expires_ms + late_ms) {
            expire_later(kept, expiry_check_ms);
            return;
        }
        http_answer timeout;
        timeout.outcome = call_outcome::timed_out;
        finish(kept, timeout);
    });
}

/// Whether an attempt has not left this process yet.
bool store_transport::waits_for_link(const pending_send& send) const
{
    return std::ranges::any_of(send.calls, [this](call_id id) { return client_.is_waiting(id); });
}

/// Notes what the link has to carry: an answer may be so much later, and a copy would cross the same link.
void store_transport::note_link(pending_send& send) const
{
    send.link_ms = std::max(send.link_ms, std::min(client_.link_delay_ms(), max_link_ms));
}

/// @return how long the link of a peer needs for the call. The peer passes an answer on once it is complete,
/// so the first byte is late by as much. Its link is taken to be like this host's.
std::int64_t store_transport::relay_ms(const store_call& call) const
{
    const std::size_t bytes = call.method == "GET" ? call.max_answer_bytes : call.body.size();
    return std::min(client_.transfer_ms(bytes), max_relay_ms);
}

/// Whether an attempt waits for the link, or its answer is arriving.
bool store_transport::in_progress(const pending_send& send) const
{
    return waits_for_link(send) ||
           std::ranges::any_of(send.calls, [this](call_id id) { return client_.received(id) > 0; });
}

/// Whether an attempt waits for the link, or an answer has made progress since the latest look. Another copy
/// would take its room on the link.
bool store_transport::arriving(pending_send& send) const
{
    std::size_t received = 0;
    for (const call_id id : send.calls) {
        received += client_.received(id);
    }
    const bool progress = received > send.received;
    send.received = received;
    return progress || waits_for_link(send);
}

/// Ends a call. Answers of attempts that are still open have no effect.
void store_transport::finish(const pending_ptr& send, const http_answer& answer)
{
    send->finished = true;
    send->resend.cancel();
    send->expiry.cancel();
    // Copies that wait for the link would be one more load on it, and a late write could undo a newer one.
    for (const call_id id : send->calls) {
        if (client_.is_waiting(id)) {
            client_.cancel(id);
        }
    }
    send->done(answer);
}

void store_transport::attempt(const pending_ptr& send)
{
    if (send->tried.size() == max_attempts) {
        send->tried.clear();
    }
    const store_route route = routes_.next(send->tried, monotonic_ms());
    send->tried.push_back(route);
    ++send->attempts;
    ++send->open;
    const auto on_answer = [this, send](const http_answer& answer) {
        on_attempt_answer(send, answer);
    };
    if (route.empty()) {
        send->calls.push_back(send_direct(send->call, on_answer));
    }
    else {
        send->calls.push_back(send_via_peer(send->call, route, on_answer));
        probe(send->call);
    }
    // A read is repeated until it is answered: a store that was silent for all nodes answers only calls that
    // are sent after its return. Repeated appends would be one more load on a store that is slow.
    if (!routes_.peers().empty() && (send->attempts < max_attempts || send->is_read())) {
        resend_later(send);
    }
}

/// Starts another attempt if none has been answered by then.
void store_transport::resend_later(const pending_ptr& send)
{
    send->link_ms = 0;
    const std::int64_t route_ms = send->tried.back().empty() ? 0 : relay_ms(send->call);
    const std::int64_t due_ms = monotonic_ms() + routes_.resend_after_ms() + send->call.wait_ms + route_ms;
    resend_at(send, due_ms, due_ms);
}

/// @param due_ms when the answer of an idle link would be late
/// @param at_ms when to look. The route counts as failed until it answers, unless the link may be the reason.
void store_transport::resend_at(const pending_ptr& send, std::int64_t due_ms, std::int64_t at_ms)
{
    if (send->call.wait_ms == 0) {
        note_link(*send);  // of a call that waits at the store, the link carries the answer much later
    }
    send->resend =
        client_.loop().after(at_ms - monotonic_ms(), [this, weak = std::weak_ptr(send), due_ms, at_ms] {
            const pending_ptr kept = weak.lock();
            if (!kept || kept->finished) {
                return;
            }
            const std::int64_t now = monotonic_ms();
            if (now - at_ms > late_timer_ms || arriving(*kept)) {
                resend_later(kept);
                return;
            }
            note_link(*kept);
            const std::int64_t link_due_ms = due_ms + kept->link_ms;
            // A join is small, so a copy of it is no load, and its owner loses its shards within 1.5 s.
            if (now < link_due_ms && kept->call.traffic != traffic_class::ownership) {
                resend_at(kept, due_ms, link_due_ms);
                return;
            }
            if (now >= link_due_ms) {
                routes_.on_failure(kept->tried.back(), now);
            }
            attempt(kept);
        });
}

void store_transport::on_attempt_answer(const pending_ptr& send, const http_answer& answer)
{
    --send->open;
    if (send->finished) {
        return;
    }
    if (!failed(answer)) {
        finish(send, answer);
        return;
    }
    if (!send->failed_once || !may_have_executed(send->failure)) {
        send->failure = answer;
    }
    send->failed_once = true;
    // Another route would need the same link.
    const bool has_room = answer.outcome != call_outcome::not_sent;
    const bool more = has_room && !routes_.peers().empty() && send->attempts < max_attempts;
    if (more && send->open == 0) {
        send->resend.cancel();
        attempt(send);
        return;
    }
    if (!more && send->open == 0) {
        finish(send, send->failure);
    }
}

call_id store_transport::send_via_peer(const store_call& call, const std::string& peer, answer_handler done)
{
    http_call out{.method = "POST",
                  .address = peer,
                  .path = relay_path,
                  .headers = {{relay_target, call.method + " " + call.path},
                              {relay_timeout, std::to_string(call.timeout_ms)},
                              {relay_wait, std::to_string(call.wait_ms)},
                              {relay_class, to_string(call.traffic)}},
                  .body = call.body,
                  .timeout_ms = call.timeout_ms + relay_margin_ms + relay_ms(call),
                  .max_extension_ms = call.method == "GET" ? max_extension_ms : 0,
                  .reuse_connection = true,
                  .traffic = relayed_class(call)};
    return client_.send(out, [this, peer, earliest_ms = monotonic_ms() + call.wait_ms,
                              done = std::move(done)](const http_answer& answer) {
        if (answer.outcome == call_outcome::answered) {
            last_peer_answer_ms_ = monotonic_ms();
        }
        if (was_sent(answer)) {
            note_result(peer, peer, earliest_ms, answer);
        }
        done(answer);
    });
}

/// Sends a read that goes through a peer to the store as well, to notice when the direct path works again.
void store_transport::probe(const store_call& call)
{
    if (call.method == "GET" && call.wait_ms == 0 && routes_.take_probe(monotonic_ms())) {
        send_direct(call, [](const http_answer&) {});
    }
}

}  // namespace waxwingnotch
