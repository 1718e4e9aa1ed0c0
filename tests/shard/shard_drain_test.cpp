/// Tests of shard_core: workers that are emptied because their hosts are to be taken.
#include "shard_world.hpp"

#include <gtest/gtest.h>

namespace waxwingnotch {
namespace {

constexpr std::int64_t poll_ms = 250;      // of the host duty
constexpr std::int64_t late_wave_ms = -1;  // remaining time of a wave that is late

/// Asks the owner to empty worker "a" for a wave that is late, and takes its host if it may be taken.
bool take_if_drained(shard_world& world, const shard_world::owner_ptr& owner)
{
    owner->core->drain_worker("a", world.now + 1'500, world.now, choose_leftover(0, late_wave_ms));
    if (!may_take_host(owner->core->drain_of("a", world.now))) {
        return false;
    }
    world.take_host("a");
    return true;
}

/// Polls the owner until the host of worker "a" is taken.
/// @return how long that took; -1: it was not taken within 20 s
std::int64_t take_host(shard_world& world, const shard_world::owner_ptr& owner)
{
    const std::int64_t begun = world.now;
    while (world.now - begun < 20'000) {
        if (take_if_drained(world, owner)) {
            return world.now - begun;
        }
        world.run(poll_ms);
    }
    return -1;
}

// A wave that was late took hosts with runs. An end that the worker listed at that moment was lost with it,
// and the task, which had been done, ran again.
TEST(shard_drain, an_end_that_is_listed_as_the_host_is_taken_is_not_lost)
{
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        shard_world world(seed);
        world.add_worker("a");
        world.add_worker("b");
        for (auto& [id, worker] : world.workers) {
            worker.stop_ms = 200;
        }
        const auto owner = world.take_over();
        for (int job = 1; job <= 3; ++job) {
            world.submit(shard_world::job(id_of(job), 4));
        }
        world.run(100 + 7 * seed);
        EXPECT_GE(take_host(world, owner), 0);
        world.run(8'000);
        EXPECT_TRUE(world.violations.empty()) << "seed " << seed << ": " << world.violations.front();
        EXPECT_EQ(owner->core->counts().ends_done, 12U) << "seed " << seed;
    }
}

// A task that was done before its stop took effect ran again.
TEST(shard_drain, a_run_that_ends_while_it_is_being_stopped_is_done)
{
    shard_world world(3);
    world.add_worker("a");
    world.workers["a"].stop_ms = 900;
    const auto owner = world.take_over();
    world.submit(shard_world::job(id_of(1), 4));
    world.run(60);
    ASSERT_EQ(world.workers["a"].running.size(), 4U);
    EXPECT_LE(take_host(world, owner), 1'000);
    world.run(5'000);
    EXPECT_EQ(owner->core->counts().ends_done, 4U);
    for (const auto& [task, starts] : world.started) {
        EXPECT_EQ(starts, 1) << task;
    }
}

// A new owner that does not know that the worker is being emptied takes over after each second poll.
TEST(shard_drain, no_end_is_lost_when_the_owner_changes_meanwhile)
{
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
        shard_world world(seed);
        world.add_worker("a");
        world.add_worker("b");
        for (auto& [id, worker] : world.workers) {
            worker.stop_ms = 700;
        }
        auto owner = world.take_over();
        for (int job = 1; job <= 3; ++job) {
            world.submit(shard_world::job(id_of(job), 4));
        }
        world.run(100 + 7 * seed);
        bool taken = false;
        for (int poll = 0; poll < 80 && !taken; ++poll) {
            taken = take_if_drained(world, owner);
            world.run(poll_ms);
            if (poll % 2 == 1 && poll < 8) {
                owner->terminated = true;
                owner = world.take_over();
                world.run(20);
            }
        }
        EXPECT_TRUE(taken) << "seed " << seed;
        world.run(12'000);
        EXPECT_TRUE(world.violations.empty()) << "seed " << seed << ": " << world.violations.front();
        EXPECT_EQ(owner->core->open_occurrences(), 0U) << "seed " << seed;
    }
}

// A worker that did not answer held the wave up.
TEST(shard_drain, the_host_of_a_silent_worker_is_taken_when_its_leases_have_lapsed)
{
    shard_world world(5);
    world.add_worker("a");
    const auto owner = world.take_over();
    world.submit(shard_world::long_running_job(4));
    world.run(60);
    world.unreachable.insert("a");
    const std::int64_t took_ms = take_host(world, owner);
    EXPECT_GE(took_ms, 3'000);
    EXPECT_LE(took_ms, 5'500);
}

// A silent worker may have done its tasks, and the order to its host loses the ends that it has not listed.
TEST(shard_drain, the_host_of_a_silent_worker_with_short_tasks_is_taken_when_it_counts_as_gone)
{
    shard_world world(5);
    world.add_worker("a");
    world.task_ms = 60'000;
    const auto owner = world.take_over();
    world.submit(shard_world::job(id_of(1), 4));
    world.run(60);
    world.lose_worker("a", false);
    const std::int64_t took_ms = take_host(world, owner);
    EXPECT_GE(took_ms, shard_world::registration_ms + 5'900);
    EXPECT_LE(took_ms, shard_world::registration_ms + 6'300);
}

// A worker that answers but does not stop its runs held the wave up.
TEST(shard_drain, the_host_of_a_worker_that_stops_nothing_is_taken_after_a_limit)
{
    shard_world world(6);
    world.add_worker("a");
    world.workers["a"].stop_ms = 60'000;
    world.task_ms = 60'000;
    const auto owner = world.take_over();
    world.submit(shard_world::job(id_of(1), 4));
    world.run(60);
    const std::int64_t took_ms = take_host(world, owner);
    EXPECT_GT(took_ms, 5'000);
    EXPECT_LE(took_ms, 5'500);
}

// A request for a shorter time opened a worker whose host had an order that could still be carried out late.
TEST(shard_drain, a_later_request_does_not_open_a_worker_sooner)
{
    shard_world world(8);
    world.add_worker("a");
    const auto owner = world.take_over();
    world.run(60);
    owner->core->drain_worker("a", world.now + 13'000, world.now);
    owner->core->drain_worker("a", world.now + 1'500, world.now);
    world.submit(shard_world::job(id_of(1), 2));
    world.run(12'900);
    EXPECT_TRUE(world.started.empty());
    world.run(2'000);
    EXPECT_EQ(owner->core->counts().ends_done, 2U);
}

// Several waves closed all workers of a pool. A long-running task was stopped and had no worker to start on.
TEST(shard_drain, a_long_running_task_is_not_moved_while_no_worker_takes_it)
{
    shard_world world(9);
    world.add_worker("a");
    const auto owner = world.take_over();
    world.submit(shard_world::long_running_job(2, 1));
    world.run(3'000);
    ASSERT_EQ(world.workers["a"].running.size(), 2U);
    world.add_worker("b");
    world.run(200);
    const auto close = [&](const char* id) {
        owner->core->drain_worker(id, world.now + 2'000, world.now);
    };
    close("b");
    close("a");
    world.run(1'900);
    EXPECT_EQ(owner->core->counts().ends_other, 0U);
    EXPECT_EQ(world.workers["a"].running.size(), 2U);
    world.add_worker("c");
    world.run(200);
    close("a");
    close("b");
    world.run(1'900);
    EXPECT_EQ(world.workers["c"].running.size(), 2U);
}

// Short runs were ended although a long-running task beside them held the host up anyway.
TEST(shard_drain, short_runs_go_on_while_a_long_running_task_may_not_be_moved)
{
    shard_world world(7);
    world.add_worker("a");
    const auto owner = world.take_over();
    world.submit(shard_world::long_running_job(1, 0));
    world.run(300);
    world.submit(shard_world::job(id_of(1), 3));
    world.run(2'500);
    ASSERT_EQ(owner->core->counts().ends_done, 3U);
    world.submit(shard_world::job(id_of(2), 3));
    world.run(60);
    EXPECT_EQ(take_host(world, owner), -1);
    EXPECT_EQ(owner->core->counts().ends_done, 6U);
    EXPECT_EQ(owner->core->counts().ends_other, 0U);
}

}  // namespace
}  // namespace waxwingnotch
