/// Tests of workers that do not answer their owner and are polled through another node.
#include "loaded_core.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace waxwingnotch {
namespace {

constexpr std::int64_t lapsed_ms = 4'400;  // a lease of 4 s has lapsed, also on a slow clock
constexpr std::int64_t interval_ms = 500;  // between polls through other nodes

/// A job of one short task that has started on worker `a`. Then the owner is cut off from `a`, which the
/// other nodes reach. Worker `b` joins.
class partitioned_world : public shard_world {
public:
    explicit partitioned_world(std::int64_t before_cut_ms = 60) : shard_world(1)
    {
        idle_leases_last = true;
        passes_on = [](const std::string&, std::uint64_t) {
            return true;
        };
        add_worker("a");
        owner_ = take_over();
        run(60);
        submit(job(id_of(1), 1));
        run(before_cut_ms);
        unreachable.insert("a");
    }
    shard_core& core() { return *owner_->core; }
    std::size_t starts() { return core().counts().starts; }

private:
    owner_ptr owner_;
};

// The job waited for 30 s, although every other node reached the worker that had done its task.
TEST(shard_relayed_poll, a_task_whose_worker_other_nodes_reach_ends_soon_after_the_lapse)
{
    partitioned_world world;
    world.add_worker("b");
    world.run(lapsed_ms);
    EXPECT_EQ(world.core().counts().awaited, 1U);
    world.run(200);
    EXPECT_EQ(world.core().state_of(id_of(1)), job_state::completed);
    EXPECT_EQ(world.starts(), 1U);
    world.run(1'000);
    EXPECT_TRUE(world.workers["a"].ended.empty()) << "the end is not acknowledged";
    EXPECT_TRUE(world.violations.empty()) << world.violations.front();
}

// The only node that reaches the worker is asked in its turn.
TEST(shard_relayed_poll, every_node_has_its_turn)
{
    partitioned_world world;
    world.passes_on = [](const std::string&, std::uint64_t turn) {
        return turn % 4 == 3;
    };
    world.run(lapsed_ms + 4 * interval_ms);
    EXPECT_EQ(world.core().state_of(id_of(1)), job_state::completed);
}

// A start on a worker that the owner does not reach would wait for 30 s as well.
TEST(shard_relayed_poll, a_worker_that_only_other_nodes_reach_gets_no_starts)
{
    partitioned_world world;
    world.run(lapsed_ms + 200);
    ASSERT_EQ(world.core().state_of(id_of(1)), job_state::completed);
    world.submit(shard_world::job(id_of(2), 1));
    world.run(3'000);
    EXPECT_EQ(world.starts(), 1U);
    world.unreachable.clear();
    world.run(1'000);
    EXPECT_EQ(world.core().state_of(id_of(2)), job_state::completed);
    EXPECT_TRUE(world.violations.empty());
}

// A list cannot tell that a start without an answer never arrives; a stop can.
TEST(shard_relayed_poll, a_start_that_has_not_arrived_is_stopped_through_another_node)
{
    partitioned_world world(0);
    world.add_worker("b");
    world.unreachable.insert("b");
    world.run(100);
    ASSERT_EQ(world.starts(), 1U);
    ASSERT_TRUE(world.workers["a"].running.empty());
    world.unreachable.erase("b");
    world.run(lapsed_ms + 2'000);
    EXPECT_EQ(world.core().state_of(id_of(1)), job_state::completed);
    EXPECT_EQ(world.starts(), 2U);
    EXPECT_TRUE(world.violations.empty());
}

/// A core whose task runs on worker `a`, which has answered once and is silent until its leases have lapsed.
class silent_core : public loaded_core {
public:
    static constexpr std::int64_t silent_ms = 300;
    static constexpr std::int64_t awaited_ms = 5'000;

    silent_core()
        : loaded_core(task_progress{.phase = task_phase::active, .last_run = 1, .runs = {{1, {"a", 5}}}})
    {
        answer("a", {running()}, {}, 200);
        fail_direct_poll(silent_ms);
        core.tick(awaited_ms, awaited_ms);
    }
    static running_row running() { return {.task = task_of(1), .run = 1, .percent = 10}; }
    void fail_direct_poll(std::int64_t now_ms)
    {
        core.on_poll("a", now_ms - 1, false, {.outcome = order_result::no_answer}, now_ms);
    }

    /// @return the poll through another node that is due, if there is one
    std::optional<poll_effect> relayed_poll(std::int64_t now_ms)
    {
        shard_effects effects = step(now_ms);
        starts += effects.starts.size();
        std::optional<poll_effect> found;
        for (const poll_effect& effect : effects.polls) {
            if (effect.relay) {
                EXPECT_FALSE(found) << "two polls at once";
                found = effect;
            }
        }
        return found;
    }
    void pass(const poll_effect& poll, std::vector<running_row> running, std::vector<ended_row> ended,
              std::int64_t now_ms, std::int64_t started_ms = 5)
    {
        core.on_relayed_poll(poll, now_ms - 10,
                             {.outcome = order_result::ok,
                              .clock_ms = now_ms,
                              .started_ms = started_ms,
                              .running = std::move(running),
                              .ended = std::move(ended)},
                             now_ms);
    }
    std::size_t starts = 0;
};

// The owner must neither take the run for lost nor for one whose lease it has renewed.
TEST(shard_relayed_poll, a_listed_run_stays_awaited_and_its_lease_is_not_renewed)
{
    silent_core owner;
    const auto poll = owner.relayed_poll(5'000);
    ASSERT_TRUE(poll);
    EXPECT_FALSE(poll->order.lease_until_ms);
    owner.pass(*poll, {silent_core::running()}, {}, 5'010);
    owner.core.tick(5'050, 5'050);
    EXPECT_EQ(owner.core.runs(), 1U);
    const auto next = owner.relayed_poll(5'600);
    ASSERT_TRUE(next);
    EXPECT_FALSE(next->order.lease_until_ms);
    EXPECT_NE(next->relay->turn, poll->relay->turn);
    // The lease of a run that is listed as lapsed is over, so the task starts elsewhere.
    owner.pass(*next, {}, {{1, task_of(1), 1, end_kind::lapsed, ""}}, 5'610);
    owner.answer("b", {}, {}, 5'620);
    EXPECT_FALSE(owner.relayed_poll(5'630));
    EXPECT_EQ(owner.starts, 1U);
}

// Each silent worker would otherwise get a poll with each pass of the owner.
TEST(shard_relayed_poll, a_worker_gets_one_poll_at_a_time_and_two_a_second)
{
    silent_core owner;
    const auto poll = owner.relayed_poll(5'000);
    ASSERT_TRUE(poll);
    EXPECT_FALSE(owner.relayed_poll(5'900)) << "the first one is still under way";
    owner.core.on_relayed_poll(*poll, 5'000, {}, 5'910);
    EXPECT_TRUE(owner.relayed_poll(5'920));
    owner.core.on_relayed_poll(*poll, 5'920, {}, 5'930);
    EXPECT_FALSE(owner.relayed_poll(6'400));
    EXPECT_TRUE(owner.relayed_poll(6'420));
}

// Ends of another life would be dropped unread, as their numbers start anew.
TEST(shard_relayed_poll, ends_are_acknowledged_only_while_the_life_of_the_worker_is_known)
{
    silent_core owner;
    const auto poll = owner.relayed_poll(5'000);
    ASSERT_TRUE(poll);
    owner.pass(*poll, {}, {{1, task_of(1), 1, end_kind::done, ""}}, 5'010);
    ASSERT_FALSE(owner.relayed_poll(5'020)) << "stores the end";
    const auto late = owner.relayed_poll(7'000);
    ASSERT_TRUE(late);
    EXPECT_EQ(late->order.acknowledged_end, 0);
    owner.pass(*late, {}, {{1, task_of(1), 1, end_kind::done, ""}}, 7'010);
    const auto soon = owner.relayed_poll(7'060);
    ASSERT_TRUE(soon);
    EXPECT_EQ(soon->order.acknowledged_end, 1);
    owner.core.on_relayed_poll(*soon, 7'060, {}, 7'070);
    const auto later = owner.relayed_poll(7'570);  // a worker is back within 0.6 s
    ASSERT_TRUE(later);
    EXPECT_EQ(later->order.acknowledged_end, 0);
    owner.pass(*later, {}, {{1, task_of(1), 1, end_kind::done, ""}}, 7'580);
    const auto again = owner.relayed_poll(7'590);
    ASSERT_TRUE(again);
    EXPECT_EQ(again->order.acknowledged_end, 1);
    owner.pass(*again, {}, {}, 7'600);
    EXPECT_FALSE(owner.relayed_poll(8'500)) << "nothing is left to learn";
}

TEST(shard_relayed_poll, a_task_starts_elsewhere_once_another_life_of_its_worker_answers)
{
    silent_core owner;
    const auto poll = owner.relayed_poll(5'000);
    ASSERT_TRUE(poll);
    owner.pass(*poll, {}, {}, 5'010, 9);
    owner.answer("b", {}, {}, 5'020);
    owner.relayed_poll(5'030);
    EXPECT_EQ(owner.starts, 1U);
}

TEST(shard_relayed_poll, a_task_starts_elsewhere_once_another_worker_answers_at_the_address)
{
    silent_core owner;
    const auto poll = owner.relayed_poll(5'000);
    ASSERT_TRUE(poll);
    owner.core.on_relayed_poll(*poll, 5'000, {.outcome = order_result::other_instance}, 5'010);
    owner.answer("b", {}, {}, 5'020);
    owner.relayed_poll(5'030);
    EXPECT_EQ(owner.starts, 1U);
}

// A broken path between the nodes says nothing about the worker.
TEST(shard_relayed_poll, a_run_stays_awaited_when_another_node_gets_no_answer)
{
    silent_core owner;
    for (const order_result outcome : {order_result::no_answer, order_result::not_listening}) {
        const auto poll = owner.relayed_poll(outcome == order_result::no_answer ? 5'000 : 5'500);
        ASSERT_TRUE(poll);
        owner.core.on_relayed_poll(*poll, 5'000, {.outcome = outcome}, 5'100);
    }
    owner.core.tick(5'600, 5'600);
    EXPECT_EQ(owner.core.runs(), 1U);
    EXPECT_EQ(owner.core.counts().worker_crashes, 0U);
}

// A former owner must not go on because it hears of its end through another node only.
TEST(shard_relayed_poll, a_token_that_the_worker_refuses_ends_the_ownership)
{
    silent_core owner;
    const auto poll = owner.relayed_poll(5'000);
    ASSERT_TRUE(poll);
    owner.core.on_relayed_poll(*poll, 5'000, {.outcome = order_result::fenced}, 5'010);
    EXPECT_TRUE(owner.core.fenced());
}

// A list that is older than the direct contact would end runs that started since.
TEST(shard_relayed_poll, an_answer_that_the_worker_itself_has_overtaken_changes_nothing)
{
    silent_core owner;
    const auto poll = owner.relayed_poll(5'000);
    ASSERT_TRUE(poll);
    owner.answer("a", {silent_core::running()}, {}, 5'005);
    owner.pass(*poll, {}, {}, 5'010);
    EXPECT_EQ(owner.core.runs(), 1U);
}

/// Random cuts between owners and workers that some other nodes still reach, with lost and late orders.
RC_GTEST_PROP(shard_relayed_poll, broken_paths_start_no_task_twice, ())
{
    shard_world world(*rc::gen::inRange<std::uint32_t>(0, 1U << 30U));
    world.idle_leases_last = *rc::gen::arbitrary<bool>();
    world.faults.lost_answers = *rc::gen::elementOf(std::vector<double>{0, 0.05});
    world.faults.late_orders = *rc::gen::elementOf(std::vector<double>{0, 0.05});
    const std::uint64_t paths = *rc::gen::inRange<std::uint64_t>(0, 8);
    world.passes_on = [paths](const std::string&, std::uint64_t turn) {
        return (paths >> turn % 3U) % 2U == 1;
    };
    for (const char* id : {"a", "b", "c"}) {
        world.add_worker(id);
        world.workers[id].clock_rate = *rc::gen::elementOf(std::vector<double>{0.98, 1.0});
    }
    auto owner = world.take_over();
    const int rounds = *rc::gen::inRange(3, 8);
    int jobs = 0;
    for (int round = 0; round < rounds; ++round) {
        for (int job = *rc::gen::inRange(1, 3); job > 0; --job) {
            world.submit(shard_world::job(id_of(++jobs), *rc::gen::inRange<std::uint32_t>(1, 6)));
        }
        world.run(*rc::gen::inRange<std::int64_t>(0, 300));
        world.unreachable.insert(std::string(1, "abc"[*rc::gen::inRange(0, 3)]));
        if (*rc::gen::inRange(0, 4) == 0) {
            owner->terminated = *rc::gen::arbitrary<bool>();
            owner = world.take_over();
        }
        world.run(*rc::gen::inRange<std::int64_t>(1'000, 12'000));
        world.unreachable.clear();
        world.run(*rc::gen::inRange<std::int64_t>(0, 1'000));
    }
    world.faults = {};
    world.run(40'000);
    for (const std::string& violation : world.violations) {
        RC_LOG() << violation << "\n";
    }
    RC_ASSERT(world.violations.empty());
    for (int job = 1; job <= jobs; ++job) {
        RC_ASSERT(owner->core->state_of(id_of(job)) == job_state::completed);
    }
}

}  // namespace
}  // namespace waxwingnotch
