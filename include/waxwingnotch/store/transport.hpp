/// @file
/// Sends calls to the store: directly, or through another entry node while the direct path fails. A call
/// that is not answered soon is sent again over another route, so calls must have the same effect when they
/// are carried out twice: appends carry a sequence number or the newest value of a key.
#pragma once

#include "waxwingnotch/net/event_loop.hpp"
#include "waxwingnotch/net/http_client.hpp"
#include "waxwingnotch/store/store_routes.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace waxwingnotch {

/// A call to the store, without its address.
struct store_call {
    std::string method = "GET";
    std::string path;  // with the query
    std::string body;
    std::int64_t timeout_ms = 0;
    std::int64_t wait_ms = 0;  // the store may delay its answer for this long; part of `timeout_ms`
    traffic_class traffic = traffic_class::other;
    std::size_t max_answer_bytes = 0;  // of a read: longest answer; 0: not known
};

class store_transport {
public:
    explicit store_transport(http_client& client);

    void set_address(std::string address) { address_ = std::move(address); }
    /// Internal addresses of the other entry nodes.
    void set_peers(std::vector<std::string> peers) { routes_.set_peers(std::move(peers)); }
    const std::vector<std::string>& peers() const { return routes_.peers(); }

    /// Sends a call over the best route, and over up to two others if it fails or is not answered soon. A
    /// read is sent again and again until it is answered, up to its timeout, and at once when the direct path
    /// works again after an outage. While this host's link has more to carry, an answer may be later by as
    /// much, and by a second at most; only joins and the like are sent again in spite of it.
    /// @param done receives the first answer that is no refusal. If there is none, it receives the outcome of
    ///        an attempt that may have been carried out, or else a refusal.
    void send(const store_call& call, answer_handler done);
    /// Sends a call directly, without a fallback to peers; for calls that this node relays.
    call_id send_direct(const store_call& call, answer_handler done);
    /// Class of a call that goes through a peer, at this node and at the peer: reads in bulk go last, and a
    /// join or an append is as urgent as on the direct path.
    static traffic_class relayed_class(const store_call& call);
    /// False for a while after a direct call has failed.
    bool direct_path_usable() const;
    /// Monotonic time in ms of the latest answer from a peer, with any status; 0: none yet.
    std::int64_t last_peer_answer_ms() const { return last_peer_answer_ms_; }

    static constexpr const char* relay_path = "/relay";          // on the peer; `relay_target` names the call
    static constexpr const char* relay_target = "Relay-Target";  // header: method and path
    static constexpr const char* relay_timeout = "Relay-Timeout";  // header, ms
    static constexpr const char* relay_wait = "Relay-Wait";        // header, ms
    static constexpr const char* relay_class = "Relay-Class";      // header: name of the traffic class

private:
    struct pending_send;
    using pending_ptr = std::shared_ptr<pending_send>;

    void attempt(const pending_ptr& send);
    void resend_later(const pending_ptr& send);
    void resend_at(const pending_ptr& send, std::int64_t due_ms, std::int64_t at_ms);
    void on_attempt_answer(const pending_ptr& send, const http_answer& answer);
    void finish(const pending_ptr& send, const http_answer& answer);
    call_id send_via_peer(const store_call& call, const std::string& peer, answer_handler done);
    bool arriving(pending_send& send) const;
    std::int64_t relay_ms(const store_call& call) const;
    bool in_progress(const pending_send& send) const;
    bool waits_for_link(const pending_send& send) const;
    void note_link(pending_send& send) const;
    void expire_later(const pending_ptr& send, std::int64_t delay_ms);
    void probe(const store_call& call);
    void note_result(const store_route& route, const std::string& address, std::int64_t earliest_ms,
                     const http_answer& answer);
    void note_direct_result(const http_answer& answer);
    void repeat_open_reads();
    static bool failed(const http_answer& answer);

    http_client& client_;
    std::string address_;
    store_routes routes_;
    std::int64_t last_peer_answer_ms_ = 0;
    std::vector<std::weak_ptr<pending_send>> reads_;  // that may be open
    bool loss_logged_ = false;                        // the loss of the direct path has been logged
    std::int64_t direct_failing_since_ms_ = 0;        // monotonic; 0: the latest direct call succeeded
    std::int64_t direct_working_since_ms_ = 0;        // monotonic; 0: the latest direct call failed
};

}  // namespace waxwingnotch
