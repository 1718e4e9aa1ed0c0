/// Tests of shard_core: long-running tasks and the removal of hosts.
#include "shard_world.hpp"

#include <gtest/gtest.h>

namespace waxwingnotch {
namespace {

TEST(shard_core, renews_leases_during_an_outage_of_the_store)
{
    shard_world world(6);
    world.add_worker("a");
    const auto owner = world.take_over();
    world.submit(shard_world::long_running_job(2));
    world.run(300);
    ASSERT_EQ(world.workers["a"].running.size(), 2U);
    world.store_down = true;
    world.run(9'000);
    EXPECT_EQ(world.workers["a"].running.size(), 2U);
    EXPECT_EQ(owner->core->counts().ends_other, 0U);
}

TEST(shard_core, moves_long_running_tasks_one_at_a_time)
{
    shard_world world(16);
    world.add_worker("a");
    const auto owner = world.take_over();
    world.submit(shard_world::long_running_job(3, 1));
    world.run(300);
    ASSERT_EQ(world.workers["a"].running.size(), 3U);
    world.add_worker("b");
    world.run(2'500);
    owner->core->drain_worker("a", world.now + 5'000, world.now);
    for (int step = 0; step < 300 && !world.workers["a"].running.empty(); ++step) {
        world.run(10);
        EXPECT_GE(world.workers["a"].running.size() + world.workers["b"].running.size(), 2U);
    }
    world.run(300);  // the last task starts on b
    EXPECT_EQ(world.workers["b"].running.size(), 3U);
}

// Two owners in a row each stopped a task of a step of which only one task may be unavailable: the task that
// the first owner had stopped was still listed as serving.
TEST(shard_core, a_new_owner_waits_before_it_moves_long_running_tasks)
{
    shard_world world(20);
    world.add_worker("a");
    const auto first = world.take_over();
    world.submit(shard_world::long_running_job(3, 1));
    world.run(300);
    world.add_worker("b");
    world.run(2'500);
    first->terminated = true;
    const auto second = world.take_over();
    world.run(300);
    second->core->drain_worker("a", world.now + 5'000, world.now);
    world.run(1'000);
    EXPECT_EQ(second->core->counts().ends_other, 0U);
    world.run(3'000);
    EXPECT_TRUE(world.workers["a"].running.empty());
    EXPECT_EQ(world.workers["b"].running.size(), 3U);
}

TEST(shard_core, counts_long_running_tasks_that_fit_no_worker_as_demand)
{
    shard_world world(21);
    world.add_worker("a", 2'000);
    const auto owner = world.take_over();
    world.submit(shard_world::long_running_job(5));
    world.run(500);
    EXPECT_EQ(world.workers["a"].running.size(), 2U);
    const service_demand demand = owner->core->demand_of("svc");
    EXPECT_EQ(demand.running_cpu_milli, 5'000);
    EXPECT_EQ(demand.running_memory_mb, 5'000);
    EXPECT_EQ(demand.waiting_cpu_ms, 0);
}

TEST(shard_core, does_not_move_tasks_of_a_step_that_may_miss_none)
{
    shard_world world(17);
    world.add_worker("a");
    world.add_worker("b");
    const auto owner = world.take_over();
    world.submit(shard_world::long_running_job(2, 0));
    world.run(500);
    for (const char* id : {"a", "b"}) {
        owner->core->drain_worker(id, world.now + 3'000, world.now);
    }
    world.run(3'000);
    EXPECT_EQ(owner->core->counts().ends_other, 0U);
}

// A host was moved during an outage of the store, although its worker still listed ends that were not stored.
// The ends were lost with the worker, and after the owner was killed the tasks ran again.
TEST(shard_core, a_worker_with_unstored_ends_is_not_empty)
{
    shard_world world(18);
    world.add_worker("a");
    const auto owner = world.take_over();
    world.submit(shard_world::job(id_of(1), 1));
    world.run(60);
    world.store_down = true;
    world.run(2'000);
    EXPECT_EQ(owner->core->drain_of("a", world.now).runs, 0U);
    EXPECT_TRUE(owner->core->drain_of("a", world.now).unstored);
    EXPECT_EQ(owner->core->demand_of("svc").busy, (std::vector<std::string>{"a"}));
    world.store_down = false;
    world.run(500);
    EXPECT_FALSE(owner->core->drain_of("a", world.now).unstored);
    EXPECT_TRUE(owner->core->demand_of("svc").busy.empty());
}

// See pool_balance, counts_the_hosts_of_steps_with_a_limit_per_worker.
TEST(shard_core, demand_names_the_workers_that_a_step_must_be_spread_over)
{
    shard_world world(13);
    world.add_worker("a");
    world.add_worker("b");
    const auto owner = world.take_over();
    job_spec job = shard_world::long_running_job(5);
    job.steps[0].max_per_worker = 2;
    world.submit(job);
    world.submit(shard_world::job(id_of(1), 9));
    world.run(200);
    EXPECT_EQ(owner->core->demand_of("svc").min_workers, 3U);
    world.cancel(job.id);
    world.run(1'000);
    EXPECT_EQ(owner->core->demand_of("svc").min_workers, 0U);
}

TEST(shard_core, tells_why_long_running_tasks_wait)
{
    const auto waiting_for = [](const shard_world::owner_ptr& owner, wait_reason reason) {
        return owner->core->waiting_tasks()[static_cast<std::size_t>(reason)];
    };
    shard_world world(14);
    const auto owner = world.take_over();
    job_spec job = shard_world::long_running_job(3);
    job.steps[0].max_per_worker = 1;
    world.submit(job);
    world.run(3'000);
    EXPECT_EQ(waiting_for(owner, wait_reason::no_worker), 3U);
    world.add_worker("a");
    world.run(3'000);
    EXPECT_EQ(waiting_for(owner, wait_reason::worker_limit), 2U);
    world.add_worker("b", 500);
    world.run(3'000);
    EXPECT_EQ(waiting_for(owner, wait_reason::worker_limit), 2U);
    world.add_worker("c");
    world.add_worker("d");
    world.run(3'000);
    EXPECT_EQ(waiting_for(owner, wait_reason::worker_limit), 0U);
    EXPECT_EQ(world.started.size(), 3U);
}

}  // namespace
}  // namespace waxwingnotch
