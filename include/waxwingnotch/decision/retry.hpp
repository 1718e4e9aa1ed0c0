/// @file
/// Decides whether a failed send is retried, and after which backoff. Retries take tokens from a budget that
/// first attempts fill, per service and per team, so they stay a fixed share of the load whatever fails.
///
///     retry_budget budget;
///     budget.note_first_attempt("labels", "clerks", rule.budget_ratio);
///     retry_verdict verdict = budget.decide(send, rule, random_bits);
#pragma once

#include "waxwingnotch/config/model.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace waxwingnotch {

/// Whether a failed send may be sent again.
enum class retry_safety {
    unsafe,       // it may have run, and must not run twice
    not_started,  // it has provably not started
    idempotent,   // it may have run, and may run again
};

/// A failed send.
struct failed_send {
    std::string_view service;
    std::string_view team;
    retry_safety safety = retry_safety::unsafe;
    std::uint32_t attempts = 1;         // sends that may have started the request, the failed one included
    std::uint32_t refusals = 0;         // sends that provably did not start it
    std::int64_t deadline_left_ms = 0;  // until the caller's deadline; 0: none was given
    std::int64_t run_estimate_ms = 0;   // expected run time; 0: unknown
};

/// Why a send is not retried.
enum class retry_refusal {
    none,            // it is retried
    unsafe,          // it may not be sent again
    attempts_used,   // max_attempts, or max_refusals
    past_deadline,   // the retry could not finish in time
    service_budget,  // the service's budget is used up
    team_budget,     // the team's budget is used up
};

const char* to_string(retry_refusal refusal);

/// The decision with its inputs.
struct retry_verdict {
    bool retry = false;
    retry_refusal refusal = retry_refusal::none;
    std::int64_t backoff_ms = 0;  // before the retry
    double service_tokens = 0;    // before the decision
    double team_tokens = 0;       // before the decision
    double price = 0;             // tokens that the retry costs
    std::string text() const;     // for the log line
};

/// Token buckets of all services and teams.
class retry_budget {
public:
    static constexpr double max_tokens = 10;           // retries in a burst after a time without failures
    static constexpr double not_started_price = 0.1;   // tokens; a refusal costs a worker next to nothing
    static constexpr std::uint32_t max_refusals = 20;  // of one request
    static constexpr std::int64_t max_backoff_ms = 5'000;
    static constexpr std::size_t max_services = 1'024;  // all others share one bucket
    static constexpr std::size_t max_teams = 2'048;     // all others share one bucket

    /// Adds @p ratio tokens to both buckets. Call once per request, not per send.
    void note_first_attempt(std::string_view service, std::string_view team, double ratio);

    /// Decides and, if the send is retried, takes its tokens.
    /// @param random 64 random bits, for the jitter
    retry_verdict decide(const failed_send& send, const retry_rule& rule, std::uint64_t random);

private:
    using bucket_table = std::map<std::string, double, std::less<>>;

    static double& bucket(bucket_table& table, std::string_view name, std::size_t max_names);

    bucket_table services_;
    bucket_table teams_;
};

/// @return backoff before the next send, ms: exponential, with jitter over its upper half
/// @param failed_sends at least 1
std::int64_t retry_backoff_ms(std::int64_t backoff_ms, std::uint32_t failed_sends, std::uint64_t random);

}  // namespace waxwingnotch
