#include "naive_retry.hpp"

#include "waxwingnotch/decision/retry.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwingnotch {

// Guards against buckets that differ from a recount of all token changes, and against unsafe retries.
RC_GTEST_PROP(retry, equals_the_recount_of_all_token_changes, ())
{
    retry_budget budget;
    naive::retry_history history;
    retry_rule rule;
    const auto ratio = *rc::gen::inRange(1, 100);
    rule.budget_ratio = ratio / 100.0;
    for (int step = 0; step < 150; ++step) {
        const std::string service(1, static_cast<char>('a' + *rc::gen::inRange(0, 2)));
        const std::string team(1, static_cast<char>('x' + *rc::gen::inRange(0, 3)));
        if (*rc::gen::inRange(0, 3) > 0) {
            budget.note_first_attempt(service, team, rule.budget_ratio);
            history.first_attempt(service, team, ratio);
            continue;
        }
        failed_send send;
        send.service = service;
        send.team = team;
        send.safety = static_cast<retry_safety>(*rc::gen::inRange(0, 3));
        send.attempts = *rc::gen::inRange(1U, 5U);
        send.refusals = *rc::gen::inRange(0U, 25U);
        const bool expected = history.decide(send, rule.max_attempts);
        RC_ASSERT(budget.decide(send, rule, 7).retry == expected);
    }
}

// Guards against an overflow of the exponential backoff, and against retries that all come at the same time.
RC_GTEST_PROP(retry, backoff_is_jittered_and_bounded, (std::uint64_t random))
{
    const auto backoff = *rc::gen::inRange<std::int64_t>(0, 100'000);
    const auto failed = *rc::gen::inRange<std::uint32_t>(1, 1'000);
    const std::int64_t backoff_ms = retry_backoff_ms(backoff, failed, random);
    RC_ASSERT(backoff_ms >= 0 && backoff_ms <= retry_budget::max_backoff_ms);
    RC_ASSERT(retry_backoff_ms(100, 2, random) >= 100 && retry_backoff_ms(100, 2, random) <= 200);
}

// Guards against made-up team names that each get their own budget or grow the table without limit.
TEST(retry, names_beyond_the_table_share_one_bucket)
{
    retry_budget budget;
    const retry_rule rule;
    std::size_t retries = 0;
    for (int team = 0; team < 10'000; ++team) {
        const std::string name = "team-" + std::to_string(team);
        budget.note_first_attempt("service", name, rule.budget_ratio);
        failed_send send;
        send.service = "service";
        send.team = name;
        send.safety = retry_safety::idempotent;
        retries += budget.decide(send, rule, 7).retry ? 1 : 0;
    }
    EXPECT_LE(retries, 1'010U);
}

// Guards against a retry that cannot finish before the caller's deadline.
TEST(retry, a_retry_must_fit_the_deadline)
{
    retry_budget budget;
    const retry_rule rule;
    for (int request = 0; request < 100; ++request) {
        budget.note_first_attempt("service", "team", rule.budget_ratio);
    }
    failed_send send{"service", "team", retry_safety::idempotent, 1, 0, 100, 90};
    EXPECT_EQ(budget.decide(send, rule, 7).refusal, retry_refusal::past_deadline);
    send.deadline_left_ms = 0;
    EXPECT_TRUE(budget.decide(send, rule, 7).retry);
}

}  // namespace waxwingnotch
