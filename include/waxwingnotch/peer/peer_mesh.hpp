/// @file
/// WebSocket links to all other entry nodes. They carry heartbeats, log records for nodes that are behind,
/// and queries about idempotency keys.
///
///     peer_mesh mesh(loop, options, handlers);
///     result<std::uint16_t> port = mesh.listen("127.0.0.1:0");
///     mesh.start();
#pragma once

#include "waxwingnotch/config/model.hpp"
#include "waxwingnotch/net/websocket_link.hpp"
#include "waxwingnotch/peer/messages.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace waxwingnotch {

/// Callbacks of a peer_mesh.
struct mesh_handlers {
    std::function<heartbeat()> self;  // current heartbeat of this node
    /// Records from a peer; they may overlap with known ones.
    std::function<void(std::span<const log_entry> entries)> on_records;
    std::function<std::string()> encode_state;  // for a peer that needs records no longer kept
    std::function<void(const state_message& message)> on_state;    // from a peer
    std::function<void()> before_heartbeat = {};                   // before each heartbeat is sent
    std::function<void(const heartbeat& beat)> on_heartbeat = {};  // from a peer
    /// Answers a query about a key; @p reply may be called later.
    std::function<void(const key_query_message& query, std::function<void(key_answer_message)> reply)>
        on_key_query;
};

/// Identity of this node, and addresses of its peers.
struct mesh_options {
    std::string node;
    std::vector<peer_settings> peers;
};

/// All peer links of a node.
class peer_mesh {
public:
    static constexpr std::int64_t heartbeat_interval_ms = 500;
    // Heartbeats are sent this long after the start of an interval, so that a timer that fires early is
    // still within the interval.
    static constexpr std::int64_t heartbeat_phase_ms = 10;
    static constexpr std::int64_t redial_ms = 500;
    static constexpr std::int64_t gap_delay_ms = 200;         // wait for the log before a peer is asked
    static constexpr std::size_t max_kept_records = 4'096;    // for peers that are behind
    static constexpr std::size_t max_kept_bytes = 8U << 20U;  // total size of those records
    static constexpr std::int64_t link_timeout_ms = 3'000;    // silent links are closed and dialled again

    peer_mesh(event_loop& loop, mesh_options options, mesh_handlers handlers);

    result<std::uint16_t> listen(std::string_view address);
    void start();

    /// Keeps entries that this node has applied, for peers that request them.
    void retain_records(std::span<const log_entry> entries);
    /// Requests the records from @p offset on from the linked peer that has folded furthest, if it is ahead.
    void request_records(std::int64_t offset);
    /// Queries @p node about a key. @p done is called once; `known` is also false if there is no link to the
    /// node, the link closes or no answer arrives within @p timeout_ms.
    void query_key(std::string_view node, const std::string& key, const std::string& request_id,
                   std::int64_t timeout_ms, std::function<void(const key_answer_message&)> done);

    membership& members() { return members_; }
    const membership& members() const { return members_; }
    std::uint64_t bytes_out() const;

private:
    struct link_entry {
        websocket_link_ptr link;
        std::string node;  // empty until the hello of an accepted link
        std::int64_t heard_at_ms = 0;
    };

    void dial(const peer_settings& peer);
    void register_link(const websocket_link_ptr& link, const std::string& expected_node);
    void handle_bytes(websocket_link* link, const std::string& bytes);
    void handle_message(link_entry& from, const peer_message& message);
    void schedule_records_request(std::int64_t offset);
    void answer_records_request(link_entry& from, std::int64_t offset);
    void remove_link(websocket_link* link);
    void send_heartbeats();
    link_entry* find_open_link(std::string_view node);
    void fail_queries_to(std::string_view node);
    void complete_query(std::uint64_t id, const key_answer_message& answer);

    struct pending_query {
        std::string node;
        std::function<void(const key_answer_message&)> done;
        timer timeout;
    };

    event_loop& loop_;
    mesh_options options_;
    mesh_handlers handlers_;
    membership members_;
    websocket_listener listener_;
    std::map<websocket_link*, link_entry> links_;
    std::set<std::string> dialled_;
    std::deque<log_entry> recent_;  // contiguous
    std::size_t recent_bytes_ = 0;
    std::map<std::uint64_t, pending_query> queries_;
    std::uint64_t next_query_id_ = 1;
    std::uint64_t closed_bytes_out_ = 0;
    timer heartbeat_timer_;
    timer gap_timer_;  // active until missing records are requested from a peer
};

}  // namespace waxwingnotch
