#include "waxwingnotch/base/hash.hpp"
#include "waxwingnotch/decision/routing.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace waxwingnotch {

namespace {

std::vector<route_candidate> arbitrary_pool()
{
    std::vector<route_candidate> pool(*rc::gen::inRange<std::size_t>(0, 40));
    for (route_candidate& item : pool) {
        item.in_flight_here = *rc::gen::inRange<std::uint32_t>(0, 10);
        item.busy_elsewhere = *rc::gen::inRange<std::uint32_t>(0, 5);
        item.connections_left = *rc::gen::inRange<std::uint32_t>(0, 3);
    }
    return pool;
}

bool has_room(const route_candidate& item)
{
    return item.in_flight_here + item.busy_elsewhere < item.slots && item.connections_left > 0;
}

std::vector<std::string> numbered(const std::string& prefix, std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t index = 0; index < count; ++index) {
        names.push_back(prefix + std::to_string(index));
    }
    return names;
}

}  // namespace

// Guards against sampling that misses the only free hosts, takes a full one, or takes the busier of two.
RC_GTEST_PROP(sample_upstreams, finds_a_host_whenever_the_full_scan_does, ())
{
    const std::vector<route_candidate> pool = arbitrary_pool();
    const auto random = *rc::gen::arbitrary<std::uint64_t>();
    const auto naive = choose_upstream(pool, random);
    const auto chosen = sample_upstreams(
        pool.size(), [&](std::size_t index) { return std::optional(pool[index]); }, random);
    RC_ASSERT(chosen.has_value() == naive.has_value());
    if (!chosen) {
        return;
    }
    RC_ASSERT(has_room(pool[chosen->index]));
    RC_ASSERT(chosen->runner_up.has_value() == naive->runner_up.has_value());
    if (chosen->runner_up) {
        const route_candidate& other = pool[*chosen->runner_up];
        RC_ASSERT(*chosen->runner_up != chosen->index);
        RC_ASSERT(has_room(other));
        RC_ASSERT(chosen->load <= (other.in_flight_here + other.busy_elsewhere) / 8.0);
    }
}

// Guards against a node that never uses a worker again after a report that it was full.
RC_GTEST_PROP(busy_elsewhere, decays_to_zero, ())
{
    const slot_report report{*rc::gen::inRange<std::uint32_t>(0, 9), 1'000};
    const auto age = *rc::gen::inRange<std::int64_t>(0, 2 * report_decay_ms);
    RC_ASSERT(busy_elsewhere(report, 1'000) == report.busy_elsewhere);
    RC_ASSERT(busy_elsewhere(report, 1'000 + age) >= busy_elsewhere(report, 1'001 + age));
    RC_ASSERT(busy_elsewhere(report, 1'000 + report_decay_ms + age) == 0U);
}

// Guards against workers with too many or too few entry nodes, and against subsets that change as a whole
// when one node leaves.
RC_GTEST_PROP(uses_worker, agrees_with_sorting_the_members, ())
{
    const std::vector<std::string> members = numbered("entry-", *rc::gen::inRange<std::size_t>(1, 30));
    const std::uint32_t most = nodes_per_worker(64, *rc::gen::inRange<std::uint32_t>(0, 80));
    for (const std::string& host : numbered("host-", 20)) {
        std::vector<std::string> sorted = members;
        std::sort(sorted.begin(), sorted.end(), [&](const std::string& left, const std::string& right) {
            const std::uint64_t seed = stable_hash(host);
            return std::pair(~stable_hash(left, seed), left) < std::pair(~stable_hash(right, seed), right);
        });
        for (std::size_t rank = 0; rank < sorted.size(); ++rank) {
            RC_ASSERT(uses_worker(sorted[rank], members, host, most) == (rank < most));
        }
        std::vector<std::string> fewer = sorted;
        fewer.pop_back();
        for (std::size_t rank = 0; rank < most && rank < fewer.size(); ++rank) {
            RC_ASSERT(uses_worker(fewer[rank], fewer, host, most));
        }
    }
}

// Guards against entry nodes that use far fewer workers of a large pool than others.
TEST(uses_worker, spreads_a_large_pool)
{
    const std::vector<std::string> members = numbered("entry-", 16);
    std::map<std::string, int> used;
    for (const std::string& host : numbered("host-", 2'100)) {
        for (const std::string& member : members) {
            used[member] += uses_worker(member, members, host, nodes_per_worker(64, 8)) ? 1 : 0;
        }
    }
    for (const auto& [member, hosts] : used) {
        EXPECT_GT(hosts, 950) << member;
        EXPECT_LT(hosts, 1'150) << member;
    }
}

}  // namespace waxwingnotch
