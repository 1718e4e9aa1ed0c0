/// Which nodes offer themselves as owners of shards in fleets of large and small hosts.
#include "waxwingnotch/decision/owner_choice.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace waxwingnotch {
namespace {

TEST(owner_choice, a_small_host_stays_out_while_large_ones_own_everything)
{
    const std::vector<int> large(8, 500);
    EXPECT_FALSE(should_own(120, large, 8, 8));
}

TEST(owner_choice, equals_share_the_work)
{
    const std::vector<int> equal(3, 250);
    EXPECT_TRUE(should_own(250, equal, 8, 8));
}

TEST(owner_choice, a_partition_without_an_owner_calls_for_everyone)
{
    const std::vector<int> large(7, 500);
    EXPECT_TRUE(should_own(120, large, 7, 8));
}

TEST(owner_choice, one_large_host_that_is_left_needs_help)
{
    const std::vector<int> large = {500};
    EXPECT_TRUE(should_own(120, large, 8, 8));
    const std::vector<int> two = {500, 500};
    EXPECT_FALSE(should_own(120, two, 8, 8));
}

/// The largest host of a fleet always offers itself, whoever owns what.
RC_GTEST_PROP(owner_choice, the_largest_never_stays_out, ())
{
    const auto owners = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 2'000));
    const int partitions = *rc::gen::inRange(1, 200);
    int largest = 1;
    for (const int milli : owners) {
        largest = std::max(largest, milli);
    }
    RC_ASSERT(should_own(largest, owners, partitions, partitions));
}

}  // namespace
}  // namespace waxwingnotch
