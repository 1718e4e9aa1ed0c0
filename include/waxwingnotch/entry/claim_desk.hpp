/// @file
/// At-most-once execution of non-idempotent requests with an idempotency key: claims the key in the
/// log before the request is sent, ends the claim afterwards, and answers repeats of a claimed key
/// with the outcome of the request that holds it.
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

/// Result of an attempt to claim a key.
struct claim_result {
    bool granted = false;   // the request may be sent now, once
    caller_answer refusal;  // answer for the caller if not granted
};

using claim_handler = std::function<void(const claim_result&)>;

/// Claims of one entry node.
class claim_coordinator {
public:
    static constexpr std::int64_t claim_timeout_ms = 4'000;   // for the verdict on the claim record
    static constexpr std::int64_t query_timeout_ms = 20'000;  // for the answer of the node that holds the key
    static constexpr std::size_t max_answers = 20'000;        // answers stored for repeats
    static constexpr std::size_t max_answer_bytes = 24U << 20U;  // of their bodies, in total

    claim_coordinator(event_loop& loop, std::string node, fleet_view& view, log_appender& appender,
                      peer_mesh& mesh);

    /// Claims @p key. @p done runs exactly once. If another request holds the key, the claim is refused with
    /// the answer of that request, or with `unknown` or `already_ran` if the answer is not available. If the
    /// log rejects the claim or does not answer in time, the claim is refused with `not_run`.
    void claim(const std::string& key, const std::string& request_id, claim_handler done);
    /// Ends a granted claim. The outcome `not_run` releases the key; any other answer is stored for repeats.
    void end(const std::string& key, const std::string& request_id, const caller_answer& answer);
    /// Answers another node's query about a key of this node. If the request is still in flight, @p reply
    /// runs when it ends.
    void answer_key_query(const key_query_message& query,
                          const std::function<void(key_answer_message)>& reply);

private:
    struct pending_claim {
        std::string request_id;
        proposal_id proposal = 0;
        claim_handler done;
        timer timeout;
    };

    void handle_settlement(const std::string& key, const std::string& request_id,
                           const proposal_outcome& verdict);
    void handle_timeout(const std::string& key);
    claim_handler combine_with_waiters(const std::string& key, const claim_handler& done);
    void release(const std::string& key, const std::string& request_id);
    void answer_repeat(const std::string& key, claim_handler done);
    void query_owner(const claim_state& owner, const std::string& key, claim_handler done);
    void keep_answer(const std::string& key, const caller_answer& answer);

    event_loop& loop_;
    std::string node_;
    fleet_view& view_;
    log_appender& appender_;
    peer_mesh& mesh_;
    std::map<std::string, pending_claim> pending_;
    std::map<std::string, std::string> running_;  // request id by key, of granted claims
    /// Request id by key, of unused claims that the log may hold.
    std::map<std::string, std::string> abandoned_;
    std::map<std::string, std::vector<std::function<void(const caller_answer&)>>> waiters_;
    std::map<std::string, caller_answer> answers_;
    std::deque<std::string> answer_order_;
    std::size_t answer_bytes_ = 0;
};

}  // namespace waxwingnotch
