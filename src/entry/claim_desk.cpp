#include "waxwingnotch/entry/claim_desk.hpp"

#include "waxwingnotch/base/log.hpp"

namespace waxwingnotch {

namespace {
constexpr std::int64_t retry_after_ms = 1'000;

claim_result refused(caller_answer answer)
{
    return {false, std::move(answer)};
}
}  // namespace

claim_coordinator::claim_coordinator(event_loop& loop, std::string node, fleet_view& view,
                                     log_appender& appender, peer_mesh& mesh)
    : loop_(loop), node_(std::move(node)), view_(view), appender_(appender), mesh_(mesh)
{
}

void claim_coordinator::claim(const std::string& key, const std::string& request_id, claim_handler done)
{
    const bool known_locally = pending_.count(key) > 0 || running_.count(key) > 0 ||
                               answers_.count(key) > 0 || abandoned_.count(key) > 0;
    if (known_locally || view_.state().claims.count(key) > 0) {
        answer_repeat(key, std::move(done));
        return;
    }
    pending_claim& item = pending_[key];
    item.request_id = request_id;
    item.done = std::move(done);
    item.timeout = loop_.after(claim_timeout_ms, [this, key] { handle_timeout(key); });
    item.proposal = appender_.propose(claim_record{key, request_id},
                                      [this, key, request_id](const proposal_outcome& verdict) {
                                          handle_settlement(key, request_id, verdict);
                                      });
}

void claim_coordinator::handle_settlement(const std::string& key, const std::string& request_id,
                                          const proposal_outcome& verdict)
{
    const auto found = pending_.find(key);
    const bool still_pending = found != pending_.end() && found->second.request_id == request_id;
    if (!still_pending) {
        // The claim timed out and the caller was answered, so an accepted claim must be released.
        if (verdict.accepted) {
            release(key, request_id);
        }
        else {
            abandoned_.erase(key);
        }
        return;
    }
    const claim_handler done = std::move(found->second.done);
    pending_.erase(found);
    if (verdict.accepted) {
        running_[key] = request_id;
        done({true, {}});
        return;
    }
    log_event(log_level::info, "claim-rejected", {{"request", request_id}, {"reason", verdict.reason}});
    const claim_handler answer_all = combine_with_waiters(key, done);
    if (view_.state().claims.count(key) > 0) {
        answer_repeat(key, answer_all);
        return;
    }
    answer_all(refused(make_refusal(outcome::not_run, "claim rejected: " + verdict.reason, retry_after_ms)));
}

void claim_coordinator::handle_timeout(const std::string& key)
{
    const auto found = pending_.find(key);
    if (found == pending_.end()) {
        return;
    }
    const claim_handler done = std::move(found->second.done);
    if (!appender_.withdraw(found->second.proposal)) {
        abandoned_[key] = found->second.request_id;
    }
    pending_.erase(found);
    const claim_handler answer_all = combine_with_waiters(key, done);
    const auto claim = view_.state().claims.find(key);
    if (claim != view_.state().claims.end()) {
        // A peer has relayed another request's claim of this key, so this claim can only be rejected.
        query_owner(claim->second, key, answer_all);
        return;
    }
    answer_all(refused(make_refusal(
        outcome::not_run, "the platform's log does not answer; the key is not claimed", retry_after_ms)));
}

/// Takes the repeats that arrived while the claim of @p key was pending.
/// @return a handler that passes its result to @p done and then answers these repeats with it
claim_handler claim_coordinator::combine_with_waiters(const std::string& key, const claim_handler& done)
{
    const auto waiters = std::move(waiters_[key]);
    waiters_.erase(key);
    return [done, waiters](const claim_result& result) {
        done(result);
        for (const auto& waiter : waiters) {
            waiter(result.refusal);
        }
    };
}

void claim_coordinator::release(const std::string& key, const std::string& request_id)
{
    abandoned_[key] = request_id;
    appender_.propose(claim_end_record{key, request_id, claim_end::released},
                      [this, key](const proposal_outcome&) { abandoned_.erase(key); });
}

void claim_coordinator::end(const std::string& key, const std::string& request_id,
                            const caller_answer& answer)
{
    running_.erase(key);
    if (answer.result == outcome::not_run) {
        release(key, request_id);
    }
    else {
        keep_answer(key, answer);
        const bool unknown = answer.result == outcome::unknown;
        appender_.propose(claim_end_record{key, request_id, unknown ? claim_end::unknown : claim_end::done},
                          nullptr);
    }
    const auto found = waiters_.find(key);
    if (found == waiters_.end()) {
        return;
    }
    const auto waiters = std::move(found->second);
    waiters_.erase(found);
    for (const auto& waiter : waiters) {
        waiter(answer);
    }
}

void claim_coordinator::keep_answer(const std::string& key, const caller_answer& answer)
{
    answers_[key] = answer;
    answer_order_.push_back(key);
    answer_bytes_ += answer.body.size();
    while (answer_order_.size() > max_answers || answer_bytes_ > max_answer_bytes) {
        const auto oldest = answers_.find(answer_order_.front());
        answer_bytes_ -= oldest->second.body.size();
        answers_.erase(oldest);
        answer_order_.pop_front();
    }
}

void claim_coordinator::answer_repeat(const std::string& key, claim_handler done)
{
    const auto answered = answers_.find(key);
    if (answered != answers_.end()) {
        done(refused(answered->second));
        return;
    }
    if (pending_.count(key) > 0 || running_.count(key) > 0) {
        waiters_[key].push_back([done](const caller_answer& answer) { done(refused(answer)); });
        return;
    }
    const auto claim = view_.state().claims.find(key);
    const auto abandoned = abandoned_.find(key);
    const bool unused = abandoned != abandoned_.end() && (claim == view_.state().claims.end() ||
                                                          claim->second.request_id == abandoned->second);
    if (unused) {
        done(refused(
            make_refusal(outcome::not_run, "an unused claim of this key is being released", retry_after_ms)));
        return;
    }
    query_owner(claim->second, key, std::move(done));
}

void claim_coordinator::query_owner(const claim_state& owner, const std::string& key, claim_handler done)
{
    const bool ended_done = owner.ended && owner.end == claim_end::done;
    const auto fallback =
        ended_done ? make_refusal(outcome::already_ran,
                                  "request " + owner.request_id + " of " + owner.node + " ran with this key")
                   : make_refusal(outcome::unknown,
                                  "request " + owner.request_id + " of " + owner.node + " holds this key");
    if (owner.node == node_) {
        // Claimed by an earlier incarnation of this node, or the answer is no longer stored.
        done(refused(fallback));
        return;
    }
    mesh_.query_key(owner.node, key, owner.request_id, query_timeout_ms,
                    [done = std::move(done), fallback](const key_answer_message& answer) {
                        caller_answer original;
                        if (!answer.known || !parse_outcome(answer.outcome, original.result)) {
                            done(refused(fallback));
                            return;
                        }
                        if (original.result != outcome::done) {
                            done(refused(make_refusal(original.result, answer.body, retry_after_ms)));
                            return;
                        }
                        original.status = answer.status;
                        original.content_type = answer.content_type;
                        original.body = answer.body;
                        done(refused(original));
                    });
}

void claim_coordinator::answer_key_query(const key_query_message& query,
                                         const std::function<void(key_answer_message)>& reply)
{
    const auto send = [id = query.id, reply](const caller_answer& answer) {
        const bool is_done = answer.result == outcome::done;
        reply({id, true, answer.status, to_string(answer.result), answer.content_type,
               is_done ? answer.body : answer.reason});
    };
    const auto answered = answers_.find(query.key);
    if (answered != answers_.end()) {
        send(answered->second);
        return;
    }
    const auto abandoned = abandoned_.find(query.key);
    if (abandoned != abandoned_.end() && abandoned->second == query.request_id) {
        send(make_refusal(outcome::not_run, "the claim of this key was not used and is being released"));
        return;
    }
    const auto running = running_.find(query.key);
    const auto pending = pending_.find(query.key);
    const bool in_progress = (running != running_.end() && running->second == query.request_id) ||
                             (pending != pending_.end() && pending->second.request_id == query.request_id);
    if (in_progress) {
        waiters_[query.key].push_back(send);
        return;
    }
    reply({query.id, false, 0, "", "", ""});
}

}  // namespace waxwingnotch
