/// @file
/// Starts of runs that travel through another node, so that the payload of a job crosses a narrow link once
/// and not with each of its tasks.
///
/// The time: the other node sends a start to its worker within 250 ms of the order, the worker has to answer
/// within 350 ms, and the owner waits for the outcomes no longer than `order_margin_ms`. A message that the
/// network holds up must not start a run late, so a batch names its last moment on the clock of the node that
/// passes it on. The owner knows a lower bound of that clock from earlier answers, as it does of the workers'
/// clocks. The clock counts from a random point in each process: what the owner knew of an earlier process is
/// out of range, and the batch is declined.
#pragma once

#include "waxwingnotch/base/json_reader.hpp"
#include "waxwingnotch/net/http_client.hpp"
#include "waxwingnotch/net/http_server.hpp"
#include "waxwingnotch/shard/shard_effects.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace waxwingnotch {

struct node_state;

/// Path of the internal interface. A call without a body asks only for the clock.
constexpr const char* relayed_starts_path = "/worker/starts";

/// Both ends of the relay in one node.
class start_relay {
public:
    explicit start_relay(node_state& node);

    /// Whether a host with such a link sends starts through others at all; 0 kbit/s: not known.
    static bool useful_for(std::int64_t link_kbps);

    /// As shard_owner::parts::relay_starts. It declines while the link has little to carry, and while no
    /// other node is known to pass starts on.
    bool send(const start_batch& batch, batch_handler done);

    /// Whether the next batch is likely to be taken: the link of this host is not full, and another node has
    /// answered lately.
    bool available() const;

    /// Passes the starts of another node on to their workers. All are read before the first is sent.
    /// Answers 400 if the batch cannot be read, 429 while the link of this host is full, and 503 if this node
    /// follows no registrations, is stopping, or is not the process whose clock the batch names.
    void pass_on(const http_exchange_ptr& exchange);

    /// @return the body of an answer; with the clock of this process and the backlog of its link
    std::string encode_answer(nlohmann::json outcomes) const;
    /// @return time on the clock of this process, by which batches name their last moment
    std::int64_t clock_ms() const;

private:
    /// What is known of another node.
    struct peer {
        bool usable = false;              // has told its clock
        std::int64_t clock_ahead_ms = 0;  // its clock less this one's, at `heard_ms`; a lower bound
        std::int64_t heard_ms = 0;        // monotonic, as the other times
        std::int64_t asked_ms = 0;        // the clock was asked for
        std::int64_t avoid_until_ms = 0;
    };

    static bool can_use(const peer& known, std::int64_t now_ms);
    bool pays(const start_batch& batch, std::int64_t now_ms) const;
    std::optional<std::string> choose_peer(std::int64_t now_ms);
    void ask_clocks(std::int64_t now_ms);
    void note_answer(const std::string& address, const http_answer& answer);
    void note_clock(const std::string& address, std::int64_t clock_ms);
    batch_outcomes read_outcomes(const http_answer& answer, std::size_t starts) const;
    void count_outcomes(const batch_outcomes& outcomes);

    node_state& node_;
    std::int64_t clock_origin_ms_;
    std::map<std::string, peer> peers_;  // by address
    std::uint64_t turn_ = 0;
};

}  // namespace waxwingnotch
