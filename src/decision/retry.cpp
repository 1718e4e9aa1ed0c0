#include "waxwingnotch/decision/retry.hpp"

#include <algorithm>
#include <cassert>

namespace waxwingnotch {

namespace {

constexpr double rounding_error = 1e-9;  // sums of ratios such as 0.1 can fall short of whole tokens

retry_refusal refusal_of(const failed_send& send, const retry_rule& rule, const retry_verdict& verdict)
{
    const bool started = send.safety == retry_safety::idempotent;
    if (send.safety == retry_safety::unsafe) {
        return retry_refusal::unsafe;
    }
    if (started ? send.attempts >= rule.max_attempts : send.refusals >= retry_budget::max_refusals) {
        return retry_refusal::attempts_used;
    }
    if (send.deadline_left_ms > 0 && verdict.backoff_ms + send.run_estimate_ms > send.deadline_left_ms) {
        return retry_refusal::past_deadline;
    }
    if (verdict.service_tokens + rounding_error < verdict.price) {
        return retry_refusal::service_budget;
    }
    return verdict.team_tokens + rounding_error < verdict.price ? retry_refusal::team_budget
                                                                : retry_refusal::none;
}

}  // namespace

const char* to_string(retry_refusal refusal)
{
    switch (refusal) {
    case retry_refusal::none:
        return "none";
    case retry_refusal::unsafe:
        return "may not run twice";
    case retry_refusal::attempts_used:
        return "attempts used up";
    case retry_refusal::past_deadline:
        return "past the deadline";
    case retry_refusal::service_budget:
        return "retry budget of the service used up";
    case retry_refusal::team_budget:
        return "retry budget of the team used up";
    }
    return "unnamed";
}

std::string retry_verdict::text() const
{
    const std::string outcome = retry ? "retry in " + std::to_string(backoff_ms) + " ms"
                                      : std::string("no retry: ") + to_string(refusal);
    return outcome + "; service tokens " + std::to_string(service_tokens) + ", team tokens " +
           std::to_string(team_tokens) + ", price " + std::to_string(price);
}

double& retry_budget::bucket(bucket_table& table, std::string_view name, std::size_t max_names)
{
    const auto found = table.find(name);
    if (found != table.end()) {
        return found->second;
    }
    const bool full = table.size() >= max_names;
    return table.emplace(full ? std::string_view() : name, max_tokens).first->second;
}

void retry_budget::note_first_attempt(std::string_view service, std::string_view team, double ratio)
{
    for (double* tokens : {&bucket(services_, service, max_services), &bucket(teams_, team, max_teams)}) {
        *tokens = std::min(max_tokens, *tokens + ratio);
    }
}

retry_verdict retry_budget::decide(const failed_send& send, const retry_rule& rule, std::uint64_t random)
{
    double& service = bucket(services_, send.service, max_services);
    double& team = bucket(teams_, send.team, max_teams);
    retry_verdict verdict;
    verdict.service_tokens = service;
    verdict.team_tokens = team;
    verdict.price = send.safety == retry_safety::not_started ? not_started_price : 1;
    const std::uint32_t failed_sends = std::max(1U, send.attempts + send.refusals);
    verdict.backoff_ms = retry_backoff_ms(rule.backoff_ms, failed_sends, random);
    verdict.refusal = refusal_of(send, rule, verdict);
    verdict.retry = verdict.refusal == retry_refusal::none;
    if (verdict.retry) {
        service = std::max(0.0, service - verdict.price);
        team = std::max(0.0, team - verdict.price);
    }
    return verdict;
}

std::int64_t retry_backoff_ms(std::int64_t backoff_ms, std::uint32_t failed_sends, std::uint64_t random)
{
    assert(failed_sends >= 1 && "a backoff requires a failed send");
    constexpr std::uint32_t max_doublings = 16;
    const std::int64_t base = std::clamp<std::int64_t>(backoff_ms, 1, retry_budget::max_backoff_ms);
    const std::int64_t longest_ms =
        std::min(base << std::min(failed_sends - 1, max_doublings), retry_budget::max_backoff_ms);
    const std::int64_t shortest_ms = longest_ms / 2;
    return shortest_ms +
           static_cast<std::int64_t>(random % static_cast<std::uint64_t>(longest_ms - shortest_ms + 1));
}

}  // namespace waxwingnotch
