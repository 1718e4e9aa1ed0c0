/// Starts of long-running tasks whose answer is lost.
#include "shard/loaded_core.hpp"

#include <gtest/gtest.h>

namespace waxwingnotch {
namespace {

/// An owner of one long-running task, whose start on worker `a` has got no answer at 120 ms.
struct unanswered_start {
    loaded_core owner;
    start_order order;

    unanswered_start() : owner(lasting_job(), {task_progress{}})
    {
        owner.answer("b", {}, {}, 105);
        const std::uint64_t batch = owner.assign("a", 110);
        owner.core.on_stored(batch, 112);
        const shard_effects ordered = owner.step(112);
        order = ordered.starts.at(0).order;
        worker = ordered.starts.at(0).worker.id;
        owner.core.on_start(worker, order, {.outcome = order_result::no_answer}, 120);
    }
    static job_spec lasting_job()
    {
        job_spec job = shard_world::job(id_of(1), 1);
        job.steps[0].long_running = true;
        job.steps[0].max_unavailable = 0;
        return job;
    }
    std::string worker;
};

}  // namespace

// farsa-kano-grown trouble-2 --small: the start had been carried out, and the stop that followed it ended the
// task while another of its step was away.
TEST(shard_unanswered_start, a_task_that_has_started_is_not_stopped_because_the_answer_was_lost)
{
    unanswered_start start;
    EXPECT_TRUE(start.owner.step(120).stops.empty());
    start.owner.answer(start.worker, {{.task = start.order.task, .run = start.order.run, .percent = 100}}, {},
                       125);
    const shard_effects after = start.owner.step(130);
    EXPECT_TRUE(after.stops.empty());
    EXPECT_TRUE(after.starts.empty());
    EXPECT_EQ(start.owner.core.runs(), 1U);
}

// The order may still be in flight when the list is made; without the stop, the task would run twice.
TEST(shard_unanswered_start, a_task_that_has_not_started_is_stopped_before_it_starts_elsewhere)
{
    unanswered_start start;
    start.owner.answer(start.worker, {}, {}, 125);
    const shard_effects after = start.owner.step(130);
    ASSERT_EQ(after.stops.size(), 1U);
    EXPECT_TRUE(after.starts.empty());
    EXPECT_EQ(after.stops[0].order.run, start.order.run);
}

// A list that was requested before the order was given up on may be older than the start.
TEST(shard_unanswered_start, an_older_list_does_not_tell_that_the_task_has_not_started)
{
    unanswered_start start;
    start.owner.answer(start.worker, {}, {}, 118);
    EXPECT_TRUE(start.owner.step(130).stops.empty());
    EXPECT_EQ(start.owner.core.runs(), 1U);
}

// Its polls were late, so no list told whether it had started; the stop had not gone after 3.4 s, though the
// worker was draining.
TEST(shard_unanswered_start, a_start_is_stopped_when_no_list_comes)
{
    unanswered_start start;
    start.owner.core.tick(510, 510);
    EXPECT_TRUE(start.owner.step(510).stops.empty());
    start.owner.core.tick(530, 530);
    EXPECT_EQ(start.owner.step(530).stops.size(), 1U);
}

TEST(shard_unanswered_start, a_start_on_a_draining_worker_is_stopped_at_once)
{
    unanswered_start start;
    worker_entry draining = loaded_core::entry(start.worker);
    draining.draining = true;
    start.owner.core.put_worker(draining, 125);
    start.owner.core.tick(130, 130);
    EXPECT_EQ(start.owner.step(130).stops.size(), 1U);
}

}  // namespace waxwingnotch
