#include "naive_limits.hpp"

#include "waxwingnotch/decision/limits.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>

namespace waxwingnotch {

namespace {

std::vector<std::uint32_t> random_demand(std::size_t nodes, std::uint32_t max_demand)
{
    return *rc::gen::container<std::vector<std::uint32_t>>(nodes, rc::gen::inRange(0U, max_demand));
}

}  // namespace

// Guards against a division that loses slots, adds some, or starves a node.
RC_GTEST_PROP(limits, division_equals_slot_by_slot_division, ())
{
    const auto nodes = *rc::gen::inRange<std::size_t>(1, 10);
    const std::vector<std::uint32_t> demand = random_demand(nodes, 30);
    const auto quota = *rc::gen::inRange(0U, 100U);
    std::vector<std::uint32_t> shares = divide_quota(quota, demand, *rc::gen::inRange<std::size_t>(0, nodes));
    RC_ASSERT(std::accumulate(shares.begin(), shares.end(), 0U) == quota);
    std::vector<std::uint32_t> expected = naive::divide_slot_by_slot(quota, demand);
    for (std::size_t node = 0; node < nodes; ++node) {
        shares[node] = std::min(shares[node], demand[node]);
    }
    std::sort(shares.begin(), shares.end());
    std::sort(expected.begin(), expected.end());
    RC_ASSERT(shares == expected);
}

// Guards against a quota that is exceeded when heartbeats are lost or nodes are in different rounds.
RC_GTEST_PROP(limits, shares_keep_the_documented_bound, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(1, 9);
    const std::vector<team_rule> teams = {{"team", *rc::gen::inRange(0U, 50U)}};
    const std::uint32_t quota = teams[0].quota_slots;
    std::vector<std::string> nodes;
    std::vector<quota_shares> tables;
    for (std::size_t node = 0; node < count; ++node) {
        nodes.push_back("entry-" + std::to_string(node));
        tables.emplace_back(nodes.back());
    }
    for (std::int64_t round = 0; round < 8; ++round) {
        std::uint32_t sum = 0;
        std::uint32_t fallbacks = 0;
        const std::vector<std::uint32_t> demand = random_demand(count, 60);
        for (std::size_t from = 0; from < count; ++from) {
            for (quota_shares& table : tables) {
                if (*rc::gen::inRange(0, 20) > 0) {
                    table.record_heartbeat({nodes[from], round, {{"team", demand[from]}}});
                }
            }
        }
        for (quota_shares& table : tables) {
            if (round == 0 || *rc::gen::inRange(0, 3) > 0) {  // the other nodes are one round behind
                table.begin_round(round, nodes, teams);
            }
            else {
                table.begin_round(round - 1, nodes, teams);
            }
            sum += table.share("team").value_or(0);
            fallbacks += table.uses_static_division() ? 1 : 0;
        }
        const auto size = static_cast<std::uint32_t>(count);
        RC_ASSERT(sum <= quota + fallbacks * ((quota + size - 1) / size));
    }
}

// Guards against wrong counts, queues beyond their limit, and teams beyond their share.
RC_GTEST_PROP(limits, queues_and_teams_stay_bounded, ())
{
    admission_control limits;
    const service_load load = {4, 10};
    const admission_request kinds[] = {
        {"s", "a", true, 10, 0}, {"s", "a", false, 10, 0}, {"s", "b", false, 10, 0}};
    std::vector<std::size_t> waiting;
    std::vector<std::size_t> running;
    for (int step = 0; step < 200; ++step) {
        const auto kind = *rc::gen::inRange<std::size_t>(0, 3);
        const admission_request& request = kinds[kind];
        const auto queued = std::find(waiting.begin(), waiting.end(), kind);
        if (*rc::gen::arbitrary<bool>()) {
            const admission_verdict verdict = limits.admit(request, load, 2);
            RC_ASSERT(verdict.waiting == waiting.size());
            if (verdict.refusal == admission_refusal::none) {
                waiting.push_back(kind);
            }
        }
        else if (queued != waiting.end() && running.size() < load.slots && limits.may_start(request, 2)) {
            limits.started(request);
            waiting.erase(queued);
            running.push_back(kind);
        }
        else if (!running.empty()) {
            limits.ended(kinds[running.back()], 10);
            running.pop_back();
        }
        RC_ASSERT(waiting.size() <= load.queue_limit);
        RC_ASSERT(std::count_if(running.begin(), running.end(), [](auto one) { return one < 2; }) <= 2);
    }
}

// Guards against urgent work that starves all other work, and against slots that stay unused.
TEST(limits, urgent_work_goes_first_within_its_share)
{
    admission_control limits;
    const service_load load = {4, 100};
    const admission_request urgent = {"s", "", true, 10, 0};
    const admission_request normal = {"s", "", false, 10, 0};
    for (int request = 0; request < 4; ++request) {
        limits.admit(urgent, load, std::nullopt);
    }
    limits.admit(normal, load, std::nullopt);
    EXPECT_TRUE(limits.urgent_next("s", load));
    limits.started(urgent);
    limits.started(urgent);
    EXPECT_FALSE(limits.urgent_next("s", load));
    limits.started(normal);
    EXPECT_TRUE(limits.urgent_next("s", load));
}

// Guards against work that is admitted although it cannot end before its caller's deadline.
TEST(limits, a_deadline_that_cannot_be_met_is_refused)
{
    admission_control limits;
    const service_load load = {1, 100};
    const admission_request request = {"s", "", false, 100, 300};
    limits.admit(request, load, std::nullopt);
    limits.started(request);
    EXPECT_EQ(limits.admit(request, load, std::nullopt).refusal, admission_refusal::none);
    EXPECT_EQ(limits.admit(request, load, std::nullopt).refusal, admission_refusal::deadline);
}

// Guards against estimates that are too long, refuse every request and are therefore never corrected.
TEST(limits, an_idle_service_admits_a_request_despite_its_estimate)
{
    admission_control limits;
    const admission_request request = {"s", "", false, 10'000, 300};
    EXPECT_EQ(limits.admit(request, {2, 100}, std::nullopt).refusal, admission_refusal::none);
    limits.started(request);
    EXPECT_EQ(limits.admit(request, {2, 100}, std::nullopt).refusal, admission_refusal::deadline);
}

// Guards against wrong estimates that are never corrected.
TEST(limits, estimates_are_corrected_by_actual_run_times)
{
    admission_control limits;
    const admission_request request = {"s", "", false, 10, 0};
    limits.admit(request, {1, 100}, std::nullopt);
    limits.started(request);
    limits.ended(request, 1'000);
    EXPECT_EQ(limits.corrected_run_ms(request), 1'000);
}

}  // namespace waxwingnotch
