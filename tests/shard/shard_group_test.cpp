/// Membership in the group of owners: large hosts first, small ones when they are needed.
#include "fakes/fake_store.hpp"

#include "waxwingnotch/shard/shard_group.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace waxwingnotch {
namespace {

constexpr std::int64_t guard_ms = 20'000;  // ends a test that hangs

class shard_group_test : public testing::Test {
protected:
    shard_group::options options(int processor_milli) const
    {
        return {.topic = "keyed.runs",
                .address = "127.0.0.1:1",
                .start_ms = 7,
                .partitions = 2,
                .processor_milli = processor_milli,
                .reserve_ms = 100,
                .beat_ms = 2,
                .look_ms = 51};  // just above the shortest pause between two looks
    }
    shard_group::handlers handlers()
    {
        return {.gained = [this](int partition, std::int64_t) { gained.push_back(partition); },
                .lost = [this](int partition) { lost.push_back(partition); },
                .owners_changed = [] {},
                .left = nullptr,
                .role_changed = [this](bool reserve) { roles.push_back(reserve); },
                .last_peer_ms = nullptr};
    }
    /// Runs the loop until @p reached holds.
    void run_until(const std::function<bool()>& reached)
    {
        const timer check = loop.every(1, [&] {
            if (reached()) {
                loop.stop();
            }
        });
        const timer guard = loop.after(guard_ms, [this] {
            ADD_FAILURE() << "nothing more happened";
            loop.stop();
        });
        loop.run();
    }
    void deal_all_to(const std::string& member)
    {
        store.dealt = {{0, member}, {1, member}};
        ++store.generation;
    }

    event_loop loop;
    fake_store store{loop};
    std::vector<int> gained;
    std::vector<int> lost;
    std::vector<bool> roles;  // reserve or not, as told
};

TEST_F(shard_group_test, a_host_of_the_usual_size_joins_at_once)
{
    shard_group group(loop, store, options(250), handlers());
    group.start();
    EXPECT_FALSE(group.reserve());
    run_until([this] { return !store.joined.empty(); });
    EXPECT_EQ(store.joined.front(), "127.0.0.1:1/7/250");
}

TEST_F(shard_group_test, a_small_host_does_not_join_beside_large_owners)
{
    deal_all_to("127.0.0.1:2/7/500");
    shard_group group(loop, store, options(120), handlers());
    group.start();
    EXPECT_TRUE(group.reserve());
    group.join_now();
    bool over = false;
    const timer wait = loop.after(400, [&] { over = true; });  // four times what a change of role needs
    run_until([&] { return over; });
    EXPECT_TRUE(store.joined.empty());
    EXPECT_EQ(group.owner_of(1), "127.0.0.1:2");
}

TEST_F(shard_group_test, a_small_host_joins_when_the_large_owners_are_gone)
{
    deal_all_to("127.0.0.1:2/7/500");
    shard_group group(loop, store, options(120), handlers());
    group.start();
    run_until([&] { return group.owner_of(0) == "127.0.0.1:2"; });
    store.dealt.clear();
    run_until([this] { return !store.joined.empty(); });
    EXPECT_FALSE(group.reserve());
}

TEST_F(shard_group_test, a_small_owner_gives_its_partitions_up_for_large_ones)
{
    shard_group group(loop, store, options(120), handlers());
    group.start();
    run_until([this] { return !store.joined.empty(); });
    store.dealt = {{0, "127.0.0.1:1/7/120"}, {1, "127.0.0.1:2/7/500"}};
    ++store.generation;
    run_until([this] { return !store.left.empty(); });
    EXPECT_EQ(gained, std::vector<int>{0});
    EXPECT_EQ(lost, std::vector<int>{0});
    EXPECT_TRUE(group.reserve());
    EXPECT_EQ(roles, (std::vector<bool>{true, false, true}));
}

}  // namespace
}  // namespace waxwingnotch
