/// Which nodes offer themselves as shard owners in fleets of large and small hosts.
#include "waxwingnotch/decision/owner_choice.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace waxwingnotch {
namespace {

TEST(owner_choice, small_host_does_not_offer_while_large_hosts_own_all)
{
    const std::vector<int> large(8, 500);
    EXPECT_FALSE(should_own(120, large, 8, 8));
}

TEST(owner_choice, hosts_of_equal_size_offer)
{
    const std::vector<int> equal(3, 250);
    EXPECT_TRUE(should_own(250, equal, 8, 8));
}

TEST(owner_choice, every_node_offers_for_a_partition_without_owner)
{
    const std::vector<int> large(7, 500);
    EXPECT_TRUE(should_own(120, large, 7, 8));
}

TEST(owner_choice, small_host_offers_when_one_large_host_is_left)
{
    const std::vector<int> large = {500};
    EXPECT_TRUE(should_own(120, large, 8, 8));
    const std::vector<int> two = {500, 500};
    EXPECT_FALSE(should_own(120, two, 8, 8));
}

/// The largest host of a fleet always offers itself, whatever the other owners are.
RC_GTEST_PROP(owner_choice, the_largest_host_always_offers, ())
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
