#include "waxwingnotch/decision/shard_choice.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace waxwingnotch {
namespace {

using shards = std::vector<std::pair<std::string, int>>;

TEST(shard_choice, the_first_list_is_spread_by_name)
{
    const std::vector<std::string> names{"c", "a", "d", "b"};
    EXPECT_EQ(choose_service_shards(names, {}, 8), (shards{{"a", 0}, {"b", 1}, {"c", 2}, {"d", 3}}));
    EXPECT_EQ(choose_service_shards(names, {}, 3), (shards{{"a", 0}, {"b", 1}, {"c", 2}, {"d", 0}}));
}

// A service that sorts before the others took the shard of the first one, and each of these the next.
TEST(shard_choice, a_new_service_gets_a_free_shard)
{
    const std::vector<std::string> names{"aa", "b", "c"};
    EXPECT_EQ(choose_service_shards(names, {{"b", 0}, {"c", 1}}, 8), (shards{{"aa", 2}}));
    EXPECT_EQ(choose_service_shards(names, {{"b", 0}, {"c", 1}}, 2), (shards{{"aa", 0}}));
}

RC_GTEST_PROP(shard_choice, no_shard_has_two_services_more_than_another, ())
{
    const int count = *rc::gen::inRange(1, 9);
    std::map<std::string, int> known;
    for (int version = *rc::gen::inRange(1, 6); version > 0; --version) {
        const auto names = *rc::gen::container<std::vector<std::string>>(
            rc::gen::container<std::string>(rc::gen::inRange('a', 'e')));
        const std::map<std::string, int> before = known;
        for (const auto& [service, shard] : choose_service_shards(names, known, count)) {
            RC_ASSERT(!before.contains(service));
            RC_ASSERT(shard >= 0 && shard < count);
            RC_ASSERT(known.emplace(service, shard).second);
        }
        for (const std::string& name : names) {
            RC_ASSERT(known.contains(name));
        }
        std::vector<int> counts(static_cast<std::size_t>(count), 0);
        for (const auto& [service, shard] : known) {
            ++counts[static_cast<std::size_t>(shard)];
        }
        RC_ASSERT(std::ranges::max(counts) - std::ranges::min(counts) <= 1);
    }
}

}  // namespace
}  // namespace waxwingnotch
