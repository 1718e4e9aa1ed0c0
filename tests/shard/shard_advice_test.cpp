/// Tests of shard_core with queues whose steps need permissions of the policy service.
#include "shard_world.hpp"

#include "waxwingnotch/shard/advice_queue.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

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

// The allowed workers had all gone before one came that could be asked about, or the policy service was
// silent while they went; nothing was asked any more, and the tasks stayed away for good.
TEST(shard_advice, allowed_workers_that_are_all_replaced_are_followed)
{
    for (const bool silent : {false, true}) {
        for (const std::int64_t gap_ms : {0, 1'000, 20'000}) {
            shard_world world(6);
            bool answers = true;
            world.policy = [&](const std::vector<std::string>& workers) {
                return answers ? allow_a(workers) : advice_answer();
            };
            for (const char* id : {"a1", "a2", "b1", "b2"}) {
                world.add_worker(id);
            }
            const auto owner = world.take_over();
            job_spec job = shard_world::long_running_job(2);
            job.steps[0].max_per_worker = 1;
            world.submit(job);
            world.run(3'000);
            EXPECT_EQ(owner->core->runs(), 2U);
            answers = !silent;
            for (const char* id : {"a1", "a2"}) {
                world.workers[id].entry.draining = true;
                owner->core->put_worker(world.workers[id].entry, world.now);
                world.run(2'000);
                world.workers[id].alive = false;
                world.workers[id].running.clear();
                owner->core->remove_worker(id, world.now);
            }
            world.run(gap_ms);
            world.add_worker("a3");
            world.add_worker("a4");
            world.run(5'000);
            answers = true;
            world.run(12'000);
            std::size_t at_work = 0;
            for (const char* id : {"a3", "a4"}) {
                at_work += world.workers[id].running.size();
            }
            EXPECT_EQ(at_work, 2U) << "silent " << silent << ", gap " << gap_ms;
            EXPECT_EQ(world.violations, std::vector<std::string>());
        }
    }
}

// A ticket ends with the life of its worker. One that is back under its id is another life.
TEST(shard_advice, a_worker_that_is_back_under_its_id_is_asked_about_again)
{
    shard_world world(7);
    std::set<std::string> allowed{"a1"};
    world.policy = [&](const std::vector<std::string>& workers) {
        advice_answer answer = allow_a(workers);
        std::erase_if(answer.allowed,
                      [&](const advice_row& row) { return !allowed.contains(row.worker_id); });
        return answer;
    };
    world.add_worker("a1");
    world.add_worker("a2");
    const auto owner = world.take_over();
    world.submit(shard_world::job(id_of(1), 1));
    world.run(3'000);
    EXPECT_EQ(owner->core->state_of(id_of(1)), job_state::completed);
    allowed = {"a2"};
    for (const char* id : {"a1", "a2"}) {
        world.workers[id].restart(world.now);
        owner->core->put_worker(world.workers[id].entry, world.now);
    }
    world.submit(shard_world::job(id_of(2), 1));
    world.run(10'000);
    EXPECT_EQ(owner->core->state_of(id_of(2)), job_state::completed);
}

// Each waiting step was asked about every 300 ms, whether or not its request was open, which filled the queue
// of the policy service for good. See review/7.
TEST(shard_advice, a_burst_of_jobs_leaves_the_queue_of_the_policy_service_short)
{
    shard_world world(8);
    world.policy = allow_a;
    world.policy_call_ms = 140;
    for (int number = 0; number < 8; ++number) {
        world.add_worker("a" + std::to_string(number));
    }
    const auto owner = world.take_over();
    constexpr int jobs = 40;
    for (int number = 0; number < jobs; ++number) {
        world.submit(shard_world::job(id_of(number), 2));
    }
    int most_open = 0;
    for (int step = 0; step < 90; ++step) {
        world.run(100);
        most_open = std::max(most_open, world.open_advice);
    }
    EXPECT_LE(most_open, 3);
    for (int number = 0; number < jobs; ++number) {
        EXPECT_EQ(owner->core->state_of(id_of(number)), job_state::completed) << number;
    }
}

// A step whose tickets lapse while its tasks wait for room asked again and again before the others.
TEST(shard_advice, a_large_job_does_not_keep_the_others_from_the_policy_service)
{
    shard_world world(9);
    world.policy = allow_a;
    world.policy_call_ms = 400;
    world.ticket_valid_ms = 900;
    world.task_ms = 4'000;
    world.add_worker("a1", 8'000);
    const auto owner = world.take_over();
    for (int number = 1; number <= 3; ++number) {
        world.submit(shard_world::job(id_of(number), 500));
    }
    world.run(3'000);
    for (int number = 4; number <= 6; ++number) {
        job_spec job = shard_world::job(id_of(number), 1);
        job.steps[0].need = {100, 100, 0};
        world.submit(job);
    }
    world.run(20'000);
    for (int number = 4; number <= 6; ++number) {
        EXPECT_EQ(owner->core->state_of(id_of(number)), job_state::completed) << number;
    }
}

// With less than 500 ms no ticket ever counted as valid, and no job started.
TEST(shard_advice, tickets_that_are_valid_for_400_ms_are_used)
{
    shard_world world(10);
    world.policy = allow_a;
    world.policy_call_ms = 140;
    world.ticket_valid_ms = 400;
    world.add_worker("a1");
    const auto owner = world.take_over();
    world.submit(shard_world::job(id_of(1), 20));
    world.run(15'000);
    EXPECT_EQ(owner->core->state_of(id_of(1)), job_state::completed);
}

// A refusal holds for the life of the worker. Its next life, which may be of another kind, was never asked
// about.
TEST(shard_advice, a_refused_worker_that_starts_again_is_asked_about_for_the_same_step)
{
    shard_world world(11);
    std::set<std::string> allowed;
    world.policy = [&](const std::vector<std::string>& workers) {
        advice_answer answer = allow_a(workers);
        std::erase_if(answer.allowed,
                      [&](const advice_row& row) { return !allowed.contains(row.worker_id); });
        return answer;
    };
    world.add_worker("a1");
    const auto owner = world.take_over();
    world.submit(shard_world::job(id_of(1), 1));
    world.run(3'000);
    EXPECT_EQ(owner->core->runs(), 0U);
    allowed = {"a1"};
    world.workers["a1"].restart(world.now);
    owner->core->put_worker(world.workers["a1"].entry, world.now);
    world.run(5'000);
    EXPECT_EQ(owner->core->state_of(id_of(1)), job_state::completed);
}

// A step was taken for one that needs no permission once its queue's route had another name or was removed;
// its starts went without a ticket and were rejected for ever. See review/8.
TEST(shard_advice, steps_start_after_the_route_of_their_queue_has_got_another_name)
{
    for (const bool recorded : {true, false}) {  // whether the job's record says that its queue has a policy
        for (const bool replaced : {false, true}) {
            shard_world world(12);
            world.policy = allow_a;
            world.add_worker("a1");
            const auto owner = world.take_over();
            job_spec job = shard_world::job(id_of(1), 2, 2);
            if (recorded) {
                job.terms = world.configuration()->queues[0].terms;
            }
            world.submit(job);
            world.run(200);
            EXPECT_EQ(owner->core->runs(), 2U);
            world.queue_name = "q2";
            owner->core->set_config(world.configuration());
            if (replaced) {
                owner->terminated = true;
                world.take_over();
            }
            world.run(15'000);
            EXPECT_EQ(world.owners.back()->core->state_of(id_of(1)), job_state::completed)
                << "recorded " << recorded << ", replaced " << replaced;
        }
    }
}

// A route that came back under the name of the queue without its policy had the same effect.
TEST(shard_advice, a_worker_that_asks_for_a_ticket_is_believed)
{
    shard_world world(13);
    world.policy = allow_a;
    world.add_worker("a1");
    const auto owner = world.take_over();
    auto without_policy = std::make_shared<cluster_config>(*world.configuration());
    without_policy->queues[0].terms.needs_advice = false;
    owner->core->set_config(without_policy);
    world.submit(shard_world::job(id_of(1), 1));
    world.run(5'000);
    EXPECT_EQ(owner->core->state_of(id_of(1)), job_state::completed);
}

/// A policy service that keeps its calls until the test answers them.
class held_service final : public advice_api {
public:
    void ask(const advice_order& order, std::function<void(const advice_answer&)> done) override
    {
        orders.push_back(order);
        handlers.push_back(std::move(done));
    }
    void answer(std::size_t call, const advice_answer& answer) { handlers[call](answer); }

    std::vector<advice_order> orders;
    std::vector<std::function<void(const advice_answer&)>> handlers;
};

// The shards of a node shared 32 places at the policy service without knowing of each other.
TEST(advice_queue, few_calls_are_under_way_and_the_others_follow_in_their_order)
{
    held_service service;
    advice_queue queue(service);
    std::vector<std::string> answered;
    for (const char* step : {"a", "b", "c", "d", "e"}) {
        queue.ask({.step = step, .workers = {}, .expected_ms = 100},
                  [&, step](const advice_answer&) { answered.push_back(step); });
    }
    EXPECT_EQ(service.orders.size(), advice_queue::max_open_calls);
    EXPECT_EQ(queue.waiting(), 2U);
    for (std::size_t call = 0; call < 5; ++call) {
        service.answer(call, {.ok = true});
    }
    EXPECT_EQ(answered, (std::vector<std::string>{"a", "b", "c", "d", "e"}));
    EXPECT_EQ(service.orders.back().step, "e");
    EXPECT_EQ(queue.open(), 0U);
}

// Calls were given up after 2 s, before a slow policy service could answer any of them.
TEST(advice_queue, the_timeout_covers_the_call_and_those_before_it)
{
    held_service service;
    advice_queue queue(service);
    for (int call = 0; call < 2; ++call) {
        queue.ask({.step = "a", .workers = {}, .expected_ms = 2'100}, [](const advice_answer&) {});
    }
    EXPECT_GT(service.orders[0].timeout_ms, 2'100);
    EXPECT_GT(service.orders[1].timeout_ms, 4'200);
    const std::int64_t before_ms = service.orders[0].timeout_ms;
    service.answer(0, {.late = true});
    service.answer(1, {.late = true});
    queue.ask({.step = "a", .workers = {}, .expected_ms = 2'100}, [](const advice_answer&) {});
    EXPECT_GT(service.orders[2].timeout_ms, 2 * before_ms);  // calls of an earlier process wait there
    service.answer(2, {.ok = true});
    queue.ask({.step = "a", .workers = {}, .expected_ms = 2'100}, [](const advice_answer&) {});
    EXPECT_EQ(service.orders[3].timeout_ms, before_ms);
}

}  // namespace
}  // namespace waxwingnotch
