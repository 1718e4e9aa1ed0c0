/// @file
/// Sends calls to the store: directly, or through another entry node while the direct path fails.
#pragma once

#include "waxwingnotch/net/event_loop.hpp"
#include "waxwingnotch/net/http_client.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace waxwingnotch {

/// A call to the store, without its address.
struct store_call {
    std::string method = "GET";
    std::string path;  // with the query
    std::string body;
    std::int64_t timeout_ms = 0;
};

class store_transport {
public:
    explicit store_transport(http_client& client);

    void set_address(std::string address) { address_ = std::move(address); }
    /// Internal addresses of the other entry nodes.
    void set_peers(std::vector<std::string> peers) { peers_ = std::move(peers); }
    const std::vector<std::string>& peers() const { return peers_; }

    /// Sends a call directly; through a peer if the direct call fails or one has failed recently.
    void send(const store_call& call, answer_handler done);
    /// Sends a call directly, without a fallback to peers; for calls that this node relays.
    void send_direct(const store_call& call, answer_handler done);
    /// False for a while after a direct call has failed.
    bool direct_path_usable() const;
    /// Monotonic time in ms of the latest answer from a peer, with any status; 0: none yet.
    std::int64_t last_peer_answer_ms() const { return last_peer_answer_ms_; }

    static constexpr const char* relay_path = "/relay";          // on the peer; `relay_target` names the call
    static constexpr const char* relay_target = "Relay-Target";  // header: method and path
    static constexpr const char* relay_timeout = "Relay-Timeout";  // header, ms

private:
    void send_via_peer(const store_call& call, std::size_t attempts_left, answer_handler done);
    void note_direct_result(const http_answer& answer);
    static bool failed(const http_answer& answer);

    http_client& client_;
    std::string address_;
    std::vector<std::string> peers_;
    std::size_t next_peer_ = 0;
    std::int64_t avoid_direct_until_ms_ = 0;  // monotonic; until then calls go to peers
    std::int64_t last_peer_answer_ms_ = 0;
    bool loss_logged_ = false;                  // the loss of the direct path has been logged
    std::int64_t direct_failing_since_ms_ = 0;  // monotonic; 0: the latest direct call succeeded
    std::int64_t direct_working_since_ms_ = 0;  // monotonic; 0: the latest direct call failed
};

}  // namespace waxwingnotch
