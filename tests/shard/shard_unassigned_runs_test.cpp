/// Tests of the room of runs that workers list and that are being stopped, as no record assigns them (LIMIT).
#include "loaded_core.hpp"
#include "log_capture.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <vector>

namespace waxwingnotch {
namespace {

constexpr std::int64_t list_interval_ms = 1'000;  // between lists of a worker that answers, at most

/// A run of a job that the owner has no record of.
running_row unknown_run()
{
    return {.task = task_of(9), .run = 1};
}

/// A job that takes the whole of a worker with each task.
job_spec large_job(std::uint32_t tasks)
{
    job_spec job = shard_world::job(id_of(1), tasks);
    job.steps[0].need = {4'000, 1'000, 0};
    return job;
}

// A worker that does not guard its capacity took the task beside the run, whose stop took up to a second.
TEST(shard_unassigned_runs, a_worker_with_a_run_of_unknown_need_gets_no_task)
{
    loaded_core owner(task_progress{});
    owner.answer("a", {unknown_run()}, {}, 110);
    const shard_effects first = owner.step(110);
    EXPECT_EQ(first.stops.size(), 1U);
    EXPECT_TRUE(first.starts.empty());
    owner.answer("a", {}, {{1, task_of(9), 1, end_kind::stopped, ""}}, 900);
    EXPECT_EQ(owner.step(900).starts.size(), 1U);
}

// The other workers must not wait as well.
TEST(shard_unassigned_runs, another_worker_gets_the_task)
{
    loaded_core owner(task_progress{});
    owner.answer("a", {unknown_run()}, {}, 110);
    owner.answer("b", {}, {}, 111);
    const shard_effects effects = owner.step(111);
    ASSERT_EQ(effects.starts.size(), 1U);
    EXPECT_EQ(effects.starts[0].worker.id, "b");
}

// The same where the owner knows what the run needs: the rest of the room is used.
TEST(shard_unassigned_runs, a_run_of_a_cancelled_job_takes_its_room_until_it_has_ended)
{
    loaded_core owner(shard_world::job(id_of(1), 5), std::vector<task_progress>(5));
    owner.core.add_job(shard_world::job(id_of(2), 1), 0, 105);
    owner.core.cancel_job(id_of(2), 105);
    owner.answer("a", {{.task = task_of(2), .run = 1}}, {}, 110);
    EXPECT_EQ(owner.step(110).starts.size(), 3U);
    owner.answer("a", {}, {{1, task_of(2), 1, end_kind::stopped, ""}}, 900);
    EXPECT_EQ(owner.step(900).starts.size(), 1U);
}

// The record assigns the run to worker `b`, and worker `a` lists it.
TEST(shard_unassigned_runs, a_run_that_is_assigned_elsewhere_takes_its_room)
{
    loaded_core owner(
        large_job(2),
        {{.phase = task_phase::active, .last_run = 1, .runs = {{.number = 1, .worker = {"b", 5}}}}, {}});
    owner.answer("a", {{.task = task_of(1), .run = 1}}, {}, 110);
    const shard_effects effects = owner.step(110);
    EXPECT_EQ(effects.stops.size(), 1U);
    EXPECT_TRUE(effects.starts.empty());
}

// A copy of a task that is done was still listed, and another task of the step started beside it.
TEST(shard_unassigned_runs, a_run_that_is_being_stopped_counts_for_the_limit_of_tasks_per_worker)
{
    job_spec job = shard_world::job(id_of(1), 2);
    job.steps[0].max_per_worker = 1;
    loaded_core owner(job, {{.phase = task_phase::done, .last_run = 2}, {}});
    owner.answer("a", {{.task = task_of(1), .run = 1}}, {}, 110);
    EXPECT_TRUE(owner.step(110).starts.empty());
    owner.answer("a", {}, {{1, task_of(1), 1, end_kind::stopped, ""}}, 900);
    EXPECT_EQ(owner.step(900).starts.size(), 1U);
}

// The list arrived between the assignment of the task and the order to start it.
TEST(shard_unassigned_runs, an_assignment_that_was_not_ordered_is_withdrawn)
{
    loaded_core owner(task_progress{});
    const std::uint64_t batch = owner.assign("a", 110);
    ASSERT_NE(batch, 0U);
    owner.answer("a", {unknown_run()}, {}, 112);
    owner.core.on_stored(batch, 114);
    EXPECT_TRUE(owner.step(114).starts.empty());
}

// Only as many assignments as do not fit beside the run.
TEST(shard_unassigned_runs, assignments_that_fit_beside_the_run_are_kept)
{
    loaded_core owner(shard_world::job(id_of(1), 4), std::vector<task_progress>(4));
    owner.core.add_job(shard_world::job(id_of(2), 1), 0, 105);
    owner.core.cancel_job(id_of(2), 105);
    const std::uint64_t batch = owner.assign("a", 110);
    ASSERT_NE(batch, 0U);
    owner.answer("a", {{.task = task_of(2), .run = 1}}, {}, 112);
    owner.core.on_stored(batch, 114);
    EXPECT_EQ(owner.step(114).starts.size(), 3U);
}

// The limit of tasks per worker for the same moment.
TEST(shard_unassigned_runs, an_assignment_beyond_the_limit_of_tasks_per_worker_is_withdrawn)
{
    job_spec job = shard_world::job(id_of(1), 2);
    job.steps[0].max_per_worker = 1;
    loaded_core owner(job, {{.phase = task_phase::done, .last_run = 2}, {}});
    const std::uint64_t batch = owner.assign("a", 110);
    ASSERT_NE(batch, 0U);
    owner.answer("a", {{.task = task_of(1), .run = 1}}, {}, 112);
    owner.core.on_stored(batch, 114);
    EXPECT_TRUE(owner.step(114).starts.empty());
}

// Runs that another shard hands over are not stopped, but take their room all the same.
TEST(shard_unassigned_runs, a_run_of_a_job_that_is_handed_over_takes_its_room)
{
    loaded_core owner(task_progress{});
    owner.core.expect_jobs({id_of(9)});
    owner.answer("a", {unknown_run()}, {}, 110);
    const shard_effects effects = owner.step(110);
    EXPECT_TRUE(effects.stops.empty());
    EXPECT_TRUE(effects.starts.empty());
}

// A list that a newer one has overtaken would have closed the worker again.
TEST(shard_unassigned_runs, an_older_list_does_not_take_the_room_again)
{
    loaded_core owner(task_progress{});
    owner.answer("a", {}, {}, 120);
    owner.answer("a", {unknown_run()}, {}, 115);
    EXPECT_EQ(owner.step(121).starts.size(), 1U);
}

// A list of the next life whose clock shows the same time would have been taken for the list with the run.
TEST(shard_unassigned_runs, the_next_life_of_the_worker_has_its_room)
{
    loaded_core owner(task_progress{});
    owner.answer("a", {unknown_run()}, {}, 110);
    ASSERT_TRUE(owner.step(110).starts.empty());
    constexpr std::int64_t next_life_ms = 900;
    worker_entry next = loaded_core::entry("a");
    next.started_ms = next_life_ms;
    owner.core.put_worker(next, 950);
    owner.core.on_poll("a", 1'000, false,
                       {.outcome = order_result::ok, .clock_ms = 110, .started_ms = next_life_ms}, 1'000);
    EXPECT_EQ(owner.step(1'000).starts.size(), 1U);
}

// A run that never stops closed its worker for good.
TEST(shard_unassigned_runs, a_worker_that_stops_nothing_gets_tasks_again)
{
    loaded_core owner(task_progress{});
    const log_capture log;
    std::int64_t now_ms = 110;
    for (int list = 0; list < 5; ++list, now_ms += list_interval_ms) {
        owner.answer("a", {unknown_run()}, {}, now_ms);
        EXPECT_TRUE(owner.step(now_ms).starts.empty()) << now_ms;
    }
    owner.answer("a", {unknown_run()}, {}, now_ms);
    EXPECT_EQ(owner.step(now_ms).starts.size(), 1U);
    EXPECT_EQ(log.lines("run_not_stopped").size(), 1U);
}

// A worker that was cut off has not had the stop; the cut must not count as time to stop.
TEST(shard_unassigned_runs, the_silence_of_a_worker_is_no_time_to_stop)
{
    loaded_core owner(task_progress{});
    owner.answer("a", {unknown_run()}, {}, 110);
    ASSERT_TRUE(owner.step(110).starts.empty());
    owner.core.on_poll("a", 120, false, {.outcome = order_result::no_answer}, 520);
    constexpr std::int64_t back_ms = 9'000;
    owner.answer("a", {unknown_run()}, {}, back_ms);
    EXPECT_TRUE(owner.step(back_ms).starts.empty());
}

}  // namespace
}  // namespace waxwingnotch
