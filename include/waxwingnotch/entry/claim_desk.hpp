/// @file
/// At most once for keyed non-idempotent requests: claims keys in the log before a send, ends
/// claims after it, and finds out what became of a key that another request holds.
#pragma once

#include "waxwingnotch/entry/caller_request.hpp"
#include "waxwingnotch/entry/fleet_view.hpp"
#include "waxwingnotch/peer/peer_mesh.hpp"
#include "waxwingnotch/platform/log_appender.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwingnotch {

/// What came of an attempt to claim a key.
struct claim_result {
    bool granted = false;   // the request may be sent now, once
    caller_answer refusal;  // otherwise: what to tell the caller
};

using claim_handler = std::function<void(const claim_result&)>;

/// The claims of one node.
class claim_desk {
public:
    static constexpr std::int64_t claim_wait_ms = 4'000;    // longest wait for the log's verdict
    static constexpr std::int64_t ask_timeout_ms = 20'000;  // longest wait for the owner's answer
    static constexpr std::size_t max_answers = 20'000;      // answers kept for repeats
    static constexpr std::size_t max_answer_bytes = 24U << 20U;

    claim_desk(event_loop& loop, std::string node, fleet_view& view, log_appender& appender, peer_mesh& mesh);

    /// Claims @p key. @p done runs once.
    void claim(const std::string& key, const std::string& request_id, claim_handler done);
    /// Ends a granted claim. `not_run` releases the key.
    void end(const std::string& key, const std::string& request_id, const caller_answer& answer);
    /// Answers another node's question; the reply may wait for the running request.
    void answer_question(const key_query_message& question,
                         const std::function<void(key_answer_message)>& reply);

private:
    struct pending_claim {
        std::string request_id;
        proposal_id proposal = 0;
        claim_handler done;
        timer timeout;
    };

    void settled(const std::string& key, const std::string& request_id, const proposal_outcome& verdict);
    void timed_out(const std::string& key);
    claim_handler with_waiters(const std::string& key, const claim_handler& done);
    void release(const std::string& key, const std::string& request_id);
    void refer(const std::string& key, claim_handler done);
    void refer_to_owner(const claim_state& owner, const std::string& key, claim_handler done);
    void keep_answer(const std::string& key, const caller_answer& answer);

    event_loop& loop_;
    std::string node_;
    fleet_view& view_;
    log_appender& appender_;
    peer_mesh& mesh_;
    std::map<std::string, pending_claim> pending_;
    std::map<std::string, std::string> running_;    // key and request of granted claims
    std::map<std::string, std::string> abandoned_;  // claims that may stand in the log and are not used
    std::map<std::string, std::vector<std::function<void(const caller_answer&)>>> waiting_;
    std::map<std::string, caller_answer> answers_;
    std::deque<std::string> answer_order_;
    std::size_t answer_bytes_ = 0;
};

}  // namespace waxwingnotch
