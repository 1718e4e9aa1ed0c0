/// Tests of shard_group: small hosts join the group of owners only if large hosts do not own all partitions.
#include "fakes/fake_store.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/shard/shard_group.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <utility>

namespace waxwingnotch {
namespace {

constexpr std::int64_t timeout_ms = 20'000;  // fails a test that hangs
constexpr const char* own_member = "127.0.0.1:1/7/500";

class shard_group_test : public testing::Test {
protected:
    shard_group::options options(int processor_milli) const
    {
        return {.topic = "keyed.runs",
                .address = "127.0.0.1:1",
                .start_ms = 7,
                .partitions = 2,
                .processor_milli = processor_milli,
                .role_change_delay_ms = 100,
                .join_interval_ms = 2,
                .owners_interval_ms = 51};  // just above the shortest interval that is allowed
    }
    shard_group::handlers handlers()
    {
        return {.gained =
                    [this](int partition, std::int64_t epoch) {
                        gained.push_back(partition);
                        epochs.push_back(epoch);
                    },
                .lost = [this](int partition) { lost.push_back(partition); },
                .owners_changed = [] {},
                .left = nullptr,
                .role_changed = [this](bool reserve) { roles.push_back(reserve); },
                .last_peer_answer_ms = nullptr};
    }
    /// Runs the loop until @p reached holds.
    void run_until(const std::function<bool()>& reached)
    {
        const timer check = loop.every(1, [&] {
            if (reached()) {
                loop.stop();
            }
        });
        const timer timeout = loop.after(timeout_ms, [this] {
            ADD_FAILURE() << "the condition was not reached in time";
            loop.stop();
        });
        loop.run();
    }
    void assign_all_to(const std::string& member)
    {
        store.assigned = {{0, member}, {1, member}};
        ++store.generation;
    }
    /// Checks that each partition is taken with a higher epoch than all times before.
    void expect_rising_epochs() const
    {
        std::map<int, std::int64_t> latest;
        for (std::size_t at = 0; at < gained.size(); ++at) {
            const auto [before, first] = latest.try_emplace(gained[at], epochs[at]);
            EXPECT_TRUE(first || before->second < epochs[at]) << "partition " << gained[at];
            before->second = epochs[at];
        }
    }

    event_loop loop;
    fake_store store{loop};
    std::vector<int> gained;
    std::vector<std::int64_t> epochs;  // of `gained`
    std::vector<int> lost;
    std::vector<bool> roles;  // arguments of role_changed: whether this node is a reserve
};

TEST_F(shard_group_test, a_host_of_the_usual_size_joins_at_once)
{
    shard_group group(loop, store, options(250), handlers());
    group.start();
    EXPECT_FALSE(group.reserve());
    run_until([this] { return !store.joined.empty(); });
    EXPECT_EQ(store.joined.front(), "127.0.0.1:1/7/250");
}

TEST_F(shard_group_test, a_small_host_does_not_join_while_large_hosts_own_all_partitions)
{
    assign_all_to("127.0.0.1:2/7/500");
    shard_group group(loop, store, options(120), handlers());
    group.start();
    EXPECT_TRUE(group.reserve());
    group.join_now();
    bool over = false;
    const timer wait = loop.after(400, [&] { over = true; });  // four times the delay of a role change
    run_until([&] { return over; });
    EXPECT_TRUE(store.joined.empty());
    EXPECT_EQ(group.owner_of(1), "127.0.0.1:2");
}

TEST_F(shard_group_test, a_small_host_joins_when_partitions_have_no_owner)
{
    assign_all_to("127.0.0.1:2/7/500");
    shard_group group(loop, store, options(120), handlers());
    group.start();
    run_until([&] { return group.owner_of(0) == "127.0.0.1:2"; });
    store.assigned.clear();
    run_until([this] { return !store.joined.empty(); });
    EXPECT_FALSE(group.reserve());
}

TEST_F(shard_group_test, a_small_owner_releases_its_partitions_to_large_ones)
{
    shard_group group(loop, store, options(120), handlers());
    group.start();
    run_until([this] { return !store.joined.empty(); });
    store.assigned = {{0, "127.0.0.1:1/7/120"}, {1, "127.0.0.1:2/7/500"}};
    ++store.generation;
    run_until([this] { return !store.left.empty(); });
    EXPECT_EQ(gained, std::vector<int>{0});
    EXPECT_EQ(lost, std::vector<int>{0});
    EXPECT_TRUE(group.reserve());
    EXPECT_EQ(roles, (std::vector<bool>{true, false, true}));
}

// A node that was cut off took its partitions again with the epoch that it had. The store took the first
// appends of the new owner for repeats of the old one's and dropped them.
TEST_F(shard_group_test, partitions_are_taken_with_a_higher_epoch_after_an_outage)
{
    assign_all_to(own_member);
    shard_group::options impatient = options(500);
    impatient.isolated_keep_ms = 20;
    shard_group group(loop, store, impatient, handlers());
    group.start();
    run_until([this] { return gained.size() == 2; });
    store.refuse = true;
    run_until([this] { return lost.size() == 2; });
    store.refuse = false;
    run_until([this] { return gained.size() == 4; });
    expect_rising_epochs();
}

// A join that the store did not answer was open for longer than the limit, which was checked only when it
// failed.
TEST_F(shard_group_test, an_isolated_node_releases_its_partitions_while_a_join_is_open)
{
    assign_all_to(own_member);
    shard_group::options impatient = options(500);
    impatient.isolated_keep_ms = 40;
    impatient.check_interval_ms = 10;
    shard_group group(loop, store, impatient, handlers());
    group.start();
    run_until([this] { return gained.size() == 2; });
    store.hang_joins = true;
    run_until([this] { return lost.size() == 2; });
}

// Leases were renewed for 12 s while any peer answered, also one that reached the store. The next owner,
// which could not ask this one, assumed 3 s.
class shard_group_outage_test : public shard_group_test {
protected:
    using report = shard_group::peer_report;
    static constexpr std::int64_t alone_ms = 100;
    static constexpr std::int64_t outage_ms = 5'000;
    const report without_store{.store_silent_ms = 60'000, .owned = {}};

    /// Lets the store refuse all calls for a while.
    /// @return for how long after the latest join leases may be renewed then
    std::int64_t renewed_for(const std::map<std::string, std::optional<report>>& peers)
    {
        assign_all_to(own_member);
        shard_group::options quick = options(500);
        quick.isolated_keep_ms = alone_ms;
        quick.outage_keep_ms = outage_ms;
        quick.check_interval_ms = 10;
        quick.ask_after_ms = 20;
        shard_group::handlers asking = handlers();
        asking.last_peer_answer_ms = [] {
            return monotonic_ms();
        };
        asking.known_peers = [peers] {
            std::vector<std::string> addresses;
            addresses.reserve(peers.size());
            for (const auto& [address, answer] : peers) {
                addresses.push_back(address);
            }
            return addresses;
        };
        asking.ask_peer = [this, peers](const std::string& address, auto done) {
            loop.defer([done, answer = peers.at(address)] { done(answer); });
        };
        shard_group group(loop, store, quick, asking);
        group.start();
        run_until([this] { return gained.size() == 2; });
        store.refuse = true;
        const std::int64_t end_ms = monotonic_ms() + 4 * alone_ms;
        run_until([&] { return monotonic_ms() >= end_ms; });
        EXPECT_TRUE(lost.empty());
        return group.renew_until_ms() - group.last_join_ms();
    }
};

TEST_F(shard_group_outage_test, leases_are_renewed_while_no_known_peer_reaches_the_store)
{
    const std::int64_t renewed_ms = renewed_for({{"peer-1", without_store}, {"peer-2", without_store}});
    EXPECT_GT(renewed_ms, 4 * alone_ms);
    EXPECT_LE(renewed_ms, outage_ms);
}

TEST_F(shard_group_outage_test, leases_are_renewed_no_longer_if_a_peer_reaches_the_store)
{
    EXPECT_EQ(renewed_for({{"peer-1", without_store}, {"peer-2", report{.store_silent_ms = 100}}}), alone_ms);
}

TEST_F(shard_group_outage_test, leases_are_renewed_no_longer_if_a_peer_does_not_answer)
{
    EXPECT_EQ(renewed_for({{"peer-1", without_store}, {"peer-2", std::nullopt}}), alone_ms);
}

TEST_F(shard_group_outage_test, leases_are_renewed_no_longer_if_a_peer_has_taken_a_partition)
{
    EXPECT_EQ(
        renewed_for({{"peer-1", without_store}, {"peer-2", report{.store_silent_ms = 60'000, .owned = {1}}}}),
        alone_ms);
}

TEST_F(shard_group_outage_test, leases_are_renewed_no_longer_if_no_peer_is_known)
{
    EXPECT_EQ(renewed_for({}), alone_ms);
}

// A node whose membership had ended got its partition back in a later generation, and went on with what it
// had known before the owner in between.
TEST_F(shard_group_test, partitions_that_are_kept_across_a_lapse_of_the_membership_are_confirmed)
{
    assign_all_to(own_member);
    shard_group::options brief = options(500);
    brief.ttl_ms = 50;
    shard_group::handlers confirming = handlers();
    std::vector<int> confirmed;
    confirming.confirm = [&](int partition) {
        confirmed.push_back(partition);
    };
    shard_group group(loop, store, brief, confirming);
    group.start();
    run_until([this] { return gained.size() == 2; });
    store.refuse = true;
    const std::int64_t end_ms = monotonic_ms() + 3 * brief.ttl_ms;
    run_until([&] { return monotonic_ms() >= end_ms; });
    EXPECT_TRUE(confirmed.empty());
    ++store.generation;
    store.refuse = false;
    run_until([&] { return confirmed.size() == 2; });
    EXPECT_TRUE(lost.empty());
}

// The same for an answer that did not list the partitions, within one generation.
TEST_F(shard_group_test, partitions_are_taken_with_a_higher_epoch_after_an_answer_without_them)
{
    assign_all_to(own_member);
    shard_group group(loop, store, options(500), handlers());
    group.start();
    run_until([this] { return gained.size() == 2; });
    const std::map<int, std::string> assigned = std::exchange(store.assigned, {});
    run_until([this] { return lost.size() == 2; });
    store.assigned = assigned;
    run_until([this] { return gained.size() == 4; });
    expect_rising_epochs();
}

// The same for a node that was a reserve meanwhile.
TEST_F(shard_group_test, partitions_are_taken_with_a_higher_epoch_after_a_time_as_a_reserve)
{
    shard_group group(loop, store, options(120), handlers());
    group.start();
    run_until([this] { return !store.joined.empty(); });
    store.assigned = {{0, "127.0.0.1:1/7/120"}, {1, "127.0.0.1:2/7/500"}};
    run_until([&] { return group.reserve() && !lost.empty(); });
    store.assigned = {{0, "127.0.0.1:1/7/120"}};
    run_until([this] { return gained.size() == 2; });
    expect_rising_epochs();
}

// Two nodes that both held a partition took it from each other at each of their joins, without an end.
TEST_F(shard_group_test, nodes_that_hold_one_partition_take_it_back_later_each_time)
{
    constexpr std::size_t takeovers = 12;
    shard_group::options shared = options(500);
    shared.retake_delay_ms = 10;
    shared.max_retake_delay_ms = 80;
    store.assigned = {{0, own_member}};
    store.assign_to_all = true;
    std::array<std::unique_ptr<shard_group>, 2> nodes;
    std::vector<std::int64_t> times_ms;  // of the takeovers
    std::int64_t fence = 0;
    for (const std::size_t number : {0U, 1U}) {
        shared.address = "127.0.0.1:" + std::to_string(number + 1);
        shard_group::handlers owning = handlers();
        owning.gained = [&, number](int /*partition*/, std::int64_t epoch) {
            // As in the store: an epoch that is not higher is refused, a higher one fences the other node.
            const bool accepted = epoch > fence;
            if (accepted) {
                fence = epoch;
                times_ms.push_back(monotonic_ms());
            }
            loop.defer([&, loser = accepted ? 1 - number : number] {
                if (nodes[loser]->owner_of(0) == "127.0.0.1:" + std::to_string(loser + 1)) {
                    nodes[loser]->release(0);
                }
            });
        };
        nodes[number] = std::make_unique<shard_group>(loop, store, shared, owning);
    }
    nodes[0]->start();
    nodes[1]->start();
    run_until([&] { return times_ms.size() >= takeovers; });
    // The loser of a takeover waits for the whole delay; 1 ms for the resolution of the clock.
    EXPECT_GE(times_ms[takeovers - 1] - times_ms[takeovers - 2], shared.max_retake_delay_ms - 1);
}

// Within one generation, the delay never shrank: a partition that was taken by another owner twice a day came
// back seconds late each time.
TEST_F(shard_group_test, a_partition_is_taken_back_at_once_after_a_calm_time)
{
    store.assigned = {{0, own_member}};
    shard_group::options calm = options(500);
    calm.retake_delay_ms = 300;
    calm.retake_calm_ms = 400;
    shard_group group(loop, store, calm, handlers());
    group.start();
    const auto retaken_after_ms = [&] {
        const std::size_t before = gained.size();
        const std::int64_t released_ms = monotonic_ms();
        group.release(0);
        run_until([&] { return gained.size() > before; });
        return monotonic_ms() - released_ms;
    };
    run_until([this] { return gained.size() == 1; });
    retaken_after_ms();
    EXPECT_GE(retaken_after_ms(), calm.retake_delay_ms - 1);
    EXPECT_GE(retaken_after_ms(), 2 * calm.retake_delay_ms - 1);
    const std::int64_t end_ms = monotonic_ms() + calm.retake_calm_ms + 50;
    run_until([&] { return monotonic_ms() >= end_ms; });
    EXPECT_LT(retaken_after_ms(), calm.retake_delay_ms);
}

// The count of releases was taken modulo the number of epochs in a generation: after the last epoch, the
// partition was taken with the first one again.
TEST_F(shard_group_test, a_node_without_a_higher_epoch_leaves_for_a_new_generation)
{
    constexpr std::size_t epochs_in_generation = 1'000;
    store.assigned = {{0, own_member}};
    shard_group::options quick = options(500);
    quick.join_interval_ms = 0;
    quick.retake_delay_ms = 0;
    shard_group group(loop, store, quick, handlers());
    group.start();
    const auto release_when_gained = [&] {
        if (store.left.empty() && group.owner_of(0) == quick.address && gained.size() > lost.size()) {
            lost.push_back(0);
            group.release(0);
        }
        return !store.left.empty() || gained.size() > epochs_in_generation;
    };
    run_until(release_when_gained);
    EXPECT_EQ(gained.size(), epochs_in_generation);
    ++store.generation;
    run_until([this] { return gained.size() > epochs_in_generation; });
    expect_rising_epochs();
}

}  // namespace
}  // namespace waxwingnotch
