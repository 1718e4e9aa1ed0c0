/// Tests of shard_core with queues whose steps need permissions of the policy service.
#include "shard_world.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace waxwingnotch {
namespace {

/// A policy service that allows the workers whose id begins with "a", as its page describes the answer.
advice_answer allow_a(const std::vector<std::string>& workers)
{
    advice_answer answer;
    answer.ok = true;
    for (const std::string& id : workers) {
        if (id.starts_with('a')) {
            answer.allowed.push_back({id, "ticket-" + id});
        }
    }
    return answer;
}

// The answer was expected to say how long a ticket is valid; without it every ticket had lapsed at once, and
// no job of the queue started.
TEST(shard_advice, a_ticket_is_valid_for_the_time_of_its_queue)
{
    shard_world world(1);
    world.policy = allow_a;
    world.add_worker("a1");
    world.add_worker("b1");
    const auto owner = world.take_over();
    world.submit(shard_world::job(id_of(1), 3));
    world.run(5'000);
    EXPECT_EQ(owner->core->state_of(id_of(1)), job_state::completed);
}

// Workers that came after the first answer were never asked about, so a task stayed away for good once the
// allowed ones had gone.
TEST(shard_advice, a_worker_that_comes_later_is_asked_about)
{
    shard_world world(2);
    world.policy = allow_a;
    world.add_worker("a1");
    world.add_worker("b1");
    const auto owner = world.take_over();
    job_spec job = shard_world::job(id_of(1), 2);
    job.steps[0].long_running = true;
    job.steps[0].max_per_worker = 1;
    world.submit(job);
    world.run(3'000);
    EXPECT_EQ(owner->core->runs(), 1U);
    world.add_worker("a2");
    owner->core->put_worker(world.workers["a2"].entry, world.now);
    world.run(3'000);
    EXPECT_EQ(owner->core->runs(), 2U);
}

TEST(shard_advice, a_refused_worker_is_not_asked_about_again)
{
    shard_world world(3);
    world.policy = allow_a;
    world.add_worker("b1");
    const auto owner = world.take_over();
    world.submit(shard_world::job(id_of(1), 1));
    world.run(5'000);
    EXPECT_EQ(world.advice_requests.size(), 1U);
    EXPECT_EQ(owner->core->runs(), 0U);
    world.add_worker("a1");
    owner->core->put_worker(world.workers["a1"].entry, world.now);
    world.run(5'000);
    EXPECT_EQ(owner->core->state_of(id_of(1)), job_state::completed);
}

// At most 100 workers fit into one request; the rest of a large pool was never asked about.
TEST(shard_advice, the_workers_of_a_large_pool_are_asked_about_in_turn)
{
    shard_world world(4);
    world.policy = allow_a;
    for (int number = 0; number < 120; ++number) {
        world.add_worker("B" + std::to_string(1'000 + number));
    }
    world.add_worker("a1");
    const auto owner = world.take_over();
    world.submit(shard_world::job(id_of(1), 1));
    world.run(5'000);
    EXPECT_EQ(owner->core->state_of(id_of(1)), job_state::completed);
    EXPECT_TRUE(std::all_of(world.advice_requests.begin(), world.advice_requests.end(),
                            [](const auto& workers) { return workers.size() <= 100; }));
}

TEST(shard_advice, a_policy_service_that_does_not_answer_is_asked_again)
{
    shard_world world(5);
    int failures = 3;
    world.policy = [&](const std::vector<std::string>& workers) {
        return failures-- > 0 ? advice_answer() : allow_a(workers);
    };
    world.add_worker("a1");
    const auto owner = world.take_over();
    world.submit(shard_world::job(id_of(1), 1));
    world.run(5'000);
    EXPECT_EQ(owner->core->state_of(id_of(1)), job_state::completed);
}

}  // namespace
}  // namespace waxwingnotch
