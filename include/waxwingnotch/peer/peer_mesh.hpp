/// @file
/// Links to all other entry nodes: heartbeats, log records for nodes that miss some, questions
/// about keys.
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

/// What the owner of a mesh provides.
struct mesh_handlers {
    std::function<heartbeat()> self;                                  // this node, now
    std::function<void(std::span<const log_entry> entries)> records;  // from a peer; may overlap
    std::function<std::string()> encode_state;                        // for a peer that is far behind
    std::function<void(const state_message& message)> state;          // from a peer
    std::function<void()> beat_due = {};                              // before a heartbeat is sent
    std::function<void(const heartbeat& beat)> beat = {};             // from a peer
    /// Answers a question; the reply may come later.
    std::function<void(const ask_key_message& question, std::function<void(key_message)> reply)> ask_key;
};

/// Who this node is, and whom it knows.
struct mesh_options {
    std::string node;
    std::vector<peer_settings> peers;
};

/// All peer links of a node.
class peer_mesh {
public:
    static constexpr std::int64_t beat_interval_ms = 500;
    static constexpr std::int64_t beat_delay_ms =
        10;  // after the start of an interval, so that an early timer is in it
    static constexpr std::int64_t redial_ms = 500;
    static constexpr std::int64_t gap_wait_ms = 200;       // for the log, before a peer is asked
    static constexpr std::size_t kept_records = 4'096;     // for peers that missed some
    static constexpr std::size_t kept_bytes = 8U << 20U;   // of those records
    static constexpr std::int64_t silent_link_ms = 3'000;  // then the link is closed and dialled again

    peer_mesh(event_loop& loop, mesh_options options, mesh_handlers handlers);

    result<std::uint16_t> listen(std::string_view address);
    void start();

    /// Keeps entries that this node has applied for peers that ask for them.
    void keep(std::span<const log_entry> entries);
    /// Asks the records from @p offset on of a peer that has them.
    void want(std::int64_t offset);
    /// Asks @p node about a key. @p done runs once; `known` is false if the node cannot be asked.
    void ask(std::string_view node, const std::string& key, const std::string& request_id,
             std::int64_t timeout_ms, std::function<void(const key_message&)> done);

    membership& members() { return members_; }
    const membership& members() const { return members_; }
    std::uint64_t bytes_out() const;

private:
    struct link_entry {
        websocket_link_ptr link;
        std::string node;  // empty before the hello
        std::int64_t heard_at = 0;
    };

    void dial(const peer_settings& peer);
    void adopt(const websocket_link_ptr& link, const std::string& expected);
    void take(websocket_link* link, const std::string& bytes);
    void take_message(link_entry& from, const peer_message& message);
    void expect(std::int64_t offset);
    void answer_want(link_entry& from, std::int64_t offset);
    void drop(websocket_link* link);
    void beat();
    link_entry* link_to(std::string_view node);
    void give_up_questions(std::string_view node);
    void settle_question(std::uint64_t id, const key_message& answer);

    struct question {
        std::string node;
        std::function<void(const key_message&)> done;
        timer timeout;
    };

    event_loop& loop_;
    mesh_options options_;
    mesh_handlers handlers_;
    membership members_;
    websocket_listener listener_;
    std::map<websocket_link*, link_entry> links_;
    std::set<std::string> dialling_;
    std::deque<log_entry> recent_;  // contiguous
    std::size_t recent_bytes_ = 0;
    std::map<std::uint64_t, question> questions_;
    std::uint64_t next_question_ = 1;
    std::uint64_t closed_bytes_out_ = 0;
    timer beat_timer_;
    timer gap_wait_;  // pending while a gap may still close by itself
};

}  // namespace waxwingnotch
