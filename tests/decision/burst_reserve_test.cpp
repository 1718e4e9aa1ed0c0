/// Reserves under the load that they are made for: bursts in one pool after the other.
#include "waxwingnotch/decision/burst_reserve.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>

namespace waxwingnotch {
namespace {

// Before the first job arrived, all hosts had moved to standby, and the first burst found 20 of 120.
TEST(burst_reserve, keeps_the_assigned_hosts_until_demand_is_known)
{
    burst_reserve reserve;
    reserve.assign("labels", 120, 0);
    reserve.observe("labels", 3, 1'000);
    EXPECT_EQ(reserve.hosts(9'000).at("labels"), 120U);
}

TEST(burst_reserve, a_later_survey_does_not_change_the_assignment)
{
    burst_reserve reserve;
    reserve.assign("labels", 120, 0);
    reserve.assign("labels", 12, 5'000);
    EXPECT_EQ(reserve.hosts(9'000).at("labels"), 120U);
}

TEST(burst_reserve, keeps_what_the_latest_burst_needed_once_a_pool_has_been_observed)
{
    burst_reserve reserve({.memory_ms = 10'000});
    reserve.assign("labels", 120, 0);
    for (std::int64_t now = 0; now <= 30'000; now += 250) {
        const bool burst = now % 8'000 < 2'000;
        reserve.observe("labels", burst ? 40 : 2, now);
    }
    EXPECT_EQ(reserve.hosts(30'000).at("labels"), 40U);
}

TEST(burst_reserve, forgets_a_burst_that_does_not_return)
{
    burst_reserve reserve({.memory_ms = 10'000});
    reserve.assign("labels", 120, 0);
    reserve.observe("labels", 90, 1'000);
    for (std::int64_t now = 2'000; now <= 30'000; now += 250) {
        reserve.observe("labels", 2, now);
    }
    EXPECT_EQ(reserve.hosts(30'000).at("labels"), 2U);
}

RC_GTEST_PROP(burst_reserve, never_keeps_more_hosts_than_the_operator_assigned, ())
{
    burst_reserve reserve;
    std::uint32_t assigned = 0;
    for (const char* pool : {"a", "b", "c", "d"}) {
        const auto hosts = *rc::gen::inRange<std::uint32_t>(0, 200);
        assigned += hosts;
        reserve.assign(pool, hosts, 0);
        reserve.observe(pool, *rc::gen::inRange<std::uint32_t>(0, 2'000), 500);
    }
    const auto kept = reserve.hosts(*rc::gen::inRange<std::int64_t>(0, 200'000));
    const std::uint32_t total =
        std::accumulate(kept.begin(), kept.end(), 0U,
                        [](std::uint32_t sum, const auto& entry) { return sum + entry.second; });
    RC_ASSERT(total <= assigned);
}

}  // namespace
}  // namespace waxwingnotch
