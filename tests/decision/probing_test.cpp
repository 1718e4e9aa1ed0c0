#include "waxwingnotch/decision/probing.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace waxwingnotch {

// Guards against a probe rate that grows with the fleet, and against hosts that are never probed: with
// 262 hosts and 8 probes per round, each host is probed within 33 rounds.
TEST(choose_probes, every_host_is_probed_within_the_rate)
{
    std::vector<std::int64_t> last(262, 0);
    std::vector<std::string> names;
    names.reserve(last.size());
    for (std::size_t at = 0; at < last.size(); ++at) {
        names.push_back("host-" + std::to_string(at));
    }
    for (std::int64_t round = 1; round <= 33; ++round) {
        std::vector<probe_candidate> candidates;
        candidates.reserve(last.size());
        for (std::size_t at = 0; at < last.size(); ++at) {
            candidates.push_back({names[at], last[at], false});
        }
        const auto chosen = choose_probes(candidates, {});
        ASSERT_EQ(chosen.size(), 8U);
        for (const std::size_t at : chosen) {
            last[at] = round;
        }
    }
    EXPECT_EQ(std::count(last.begin(), last.end(), 0), 0);
}

// Guards against hosts of a lost rack that are probed only after healthy hosts.
TEST(choose_probes, urgent_hosts_are_probed_first)
{
    std::vector<probe_candidate> candidates;
    candidates.reserve(100);
    for (int at = 0; at < 100; ++at) {
        candidates.push_back({"h", at < 96 ? 1 : 1'000, at >= 96});
    }
    const auto chosen = choose_probes(candidates, {});
    ASSERT_EQ(chosen.size(), 12U);
    for (std::size_t at = 0; at < 4; ++at) {
        EXPECT_GE(chosen[at], 96U);
    }
}

}  // namespace waxwingnotch
