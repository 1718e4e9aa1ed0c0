/// Tests of runs that an owner has given up, and that end as `failed` all the same (BUDGET).
#include "loaded_core.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <vector>

namespace waxwingnotch {
namespace {

constexpr std::uint32_t attempts = 4;     // of the queue, see shard_world::config()
constexpr std::int64_t gone_ms = 30'000;  // by then the longest lease of an inherited run has lapsed

/// Run 4 is at work on worker `a`.
task_progress at_work(std::uint32_t failures)
{
    return {.phase = task_phase::active,
            .last_run = 4,
            .failures = failures,
            .runs = {{.number = 4, .worker = {"a", 5}}}};
}

ended_row failed_end(std::uint32_t run = 4)
{
    return {1, task_of(1), run, end_kind::failed, ""};
}

/// Lets worker `a` be silent until its runs are given up, and lets it register again.
void give_up(loaded_core& owner)
{
    owner.core.on_poll("a", 105, false, {.outcome = order_result::no_answer}, 110);
    owner.core.remove_worker("a", 120);
    owner.core.tick(gone_ms, gone_ms);
    ASSERT_EQ(owner.core.runs(), 0U);
    owner.core.put_worker(loaded_core::entry("a"), gone_ms);
}

/// @return the newest progress that @p effects store for the job, which may be none
std::string written(const shard_effects& effects)
{
    std::string newest;
    for (const auto& [key, value] : effects.writes) {
        newest = value.value_or("");
    }
    return newest;
}

/// @return the task as the owner stores it now
task_progress stored_task(loaded_core& owner, std::int64_t now_ms)
{
    const auto progress = decode_progress(written(owner.core.take_effects(now_ms)));
    EXPECT_TRUE(progress);
    return progress ? progress.value().steps[0][0] : task_progress{};
}

// The end was acknowledged and not counted: run 5 started after 4 ends `failed` at a limit of 4.
TEST(shard_given_up_failures, a_task_does_not_start_again_after_its_last_attempt_has_failed)
{
    loaded_core owner(at_work(attempts - 1));
    give_up(owner);
    owner.answer("a", {}, {failed_end()}, gone_ms + 10);
    EXPECT_TRUE(owner.step(gone_ms + 10).starts.empty());
    EXPECT_EQ(owner.core.state_of(id_of(1)), job_state::failed);
}

// The same while run 5 is at work, which went on.
TEST(shard_given_up_failures, a_later_run_is_stopped_once_the_attempts_are_used_up)
{
    loaded_core owner(at_work(attempts - 1));
    give_up(owner);
    owner.answer("b", {}, {}, gone_ms + 5);
    const shard_effects first = owner.step(gone_ms + 5);
    ASSERT_EQ(first.starts.size(), 1U);
    owner.core.on_start("b", first.starts[0].order, {.outcome = order_result::ok}, gone_ms + 6);
    owner.answer("a", {}, {failed_end()}, gone_ms + 10);
    const shard_effects second = owner.step(gone_ms + 10);
    EXPECT_EQ(owner.core.state_of(id_of(1)), job_state::failed);
    ASSERT_EQ(second.stops.size(), 1U);
    EXPECT_EQ(second.stops[0].order.run, 5U);
}

// Run 5 was assigned and its start not ordered yet when the end was read.
TEST(shard_given_up_failures, a_later_run_is_not_ordered_once_the_attempts_are_used_up)
{
    loaded_core owner(at_work(attempts - 1));
    give_up(owner);
    const std::uint64_t batch = owner.assign("b", gone_ms + 5);
    ASSERT_NE(batch, 0U);
    owner.answer("a", {}, {failed_end()}, gone_ms + 10);
    owner.core.on_stored(batch, gone_ms + 12);
    EXPECT_TRUE(owner.step(gone_ms + 12).starts.empty());
}

// A later run must not be lost for an attempt that the limit allows.
TEST(shard_given_up_failures, a_later_run_goes_on_below_the_limit)
{
    loaded_core owner(at_work(attempts - 2));
    give_up(owner);
    owner.answer("b", {}, {}, gone_ms + 5);
    ASSERT_EQ(owner.step(gone_ms + 5).starts.size(), 1U);
    owner.answer("a", {}, {failed_end()}, gone_ms + 10);
    const task_progress task = stored_task(owner, gone_ms + 10);
    EXPECT_EQ(task.failures, attempts - 1);
    EXPECT_EQ(task.runs.size(), 1U);
    EXPECT_TRUE(owner.step(gone_ms + 10).stops.empty());
}

// An end that is counted and not acknowledged is listed again to the next owner, which counted it again.
TEST(shard_given_up_failures, the_next_owner_does_not_count_the_end_again)
{
    loaded_core owner(at_work(attempts - 2));
    give_up(owner);
    owner.answer("a", {}, {failed_end()}, gone_ms + 10);
    const task_progress counted = stored_task(owner, gone_ms + 10);
    EXPECT_EQ(counted.failures, attempts - 1);
    loaded_core next(counted, {.shard = 3, .epoch = 8});
    next.answer("a", {}, {failed_end()}, 110);
    next.step(110);
    EXPECT_EQ(next.core.state_of(id_of(1)), job_state::running);
}

// The owner that gave the run up ended before it read the end.
TEST(shard_given_up_failures, the_next_owner_counts_an_end_that_was_not_counted)
{
    loaded_core owner(at_work(attempts - 1));
    give_up(owner);
    loaded_core next(stored_task(owner, gone_ms + 10), {.shard = 3, .epoch = 8});
    next.answer("a", {}, {failed_end()}, 110);
    EXPECT_TRUE(next.step(110).starts.empty());
    EXPECT_EQ(next.core.state_of(id_of(1)), job_state::failed);
}

// An end of a run that was not given up is counted as it is read, and may be listed again as well.
TEST(shard_given_up_failures, the_end_of_a_known_run_is_counted_once)
{
    loaded_core owner(at_work(attempts - 2));
    owner.answer("a", {}, {failed_end()}, 110);
    const task_progress counted = stored_task(owner, 110);
    EXPECT_EQ(counted.failures, attempts - 1);
    loaded_core next(counted, {.shard = 3, .epoch = 8});
    next.answer("a", {}, {failed_end()}, 110);
    next.step(110);
    EXPECT_EQ(next.core.state_of(id_of(1)), job_state::running);
}

// A previous owner passes the end on, and the worker lists it.
TEST(shard_given_up_failures, an_end_that_a_peer_and_the_worker_report_is_counted_once)
{
    loaded_core owner(at_work(attempts - 2));
    give_up(owner);
    owner.core.report_ends({failed_end()}, gone_ms + 5);
    owner.answer("a", {}, {failed_end()}, gone_ms + 10);
    EXPECT_EQ(stored_task(owner, gone_ms + 10).failures, attempts - 1);
}

// The owner forgot the end with its own failure: it was neither stored nor passed on.
TEST(shard_given_up_failures, the_end_is_passed_to_the_next_owner_until_it_is_stored)
{
    loaded_core owner(at_work(attempts - 2));
    give_up(owner);
    owner.step(gone_ms + 5);
    owner.answer("a", {}, {failed_end()}, gone_ms + 10);
    EXPECT_EQ(owner.core.unstored_ends().size(), 1U);
    owner.step(gone_ms + 10);
    EXPECT_TRUE(owner.core.unstored_ends().empty());
}

// The worker lists the run as running first, so that it is known again when it ends.
TEST(shard_given_up_failures, a_run_that_is_taken_up_again_is_counted_once)
{
    loaded_core owner(at_work(attempts - 2));
    give_up(owner);
    owner.answer("a", {{.task = task_of(1), .run = 4}}, {}, gone_ms + 10);
    owner.answer("a", {}, {failed_end()}, gone_ms + 20);
    const task_progress counted = stored_task(owner, gone_ms + 20);
    EXPECT_EQ(counted.failures, attempts - 1);
    loaded_core next(counted, {.shard = 3, .epoch = 8});
    next.answer("a", {}, {failed_end()}, 110);
    next.step(110);
    EXPECT_EQ(next.core.state_of(id_of(1)), job_state::running);
}

// No record of this owner has counted a run beyond the last one that it knows.
TEST(shard_given_up_failures, a_run_that_no_record_has_assigned_counts_once)
{
    loaded_core owner({.phase = task_phase::waiting, .last_run = 4, .failures = attempts - 2});
    owner.answer("a", {}, {failed_end(5)}, 110);
    const task_progress counted = stored_task(owner, 110);
    EXPECT_EQ(counted.failures, attempts - 1);
    loaded_core next(counted, {.shard = 3, .epoch = 8});
    next.answer("a", {}, {failed_end(5)}, 110);
    next.step(110);
    EXPECT_EQ(next.core.state_of(id_of(1)), job_state::running);
}

// Only ends `failed` are attempts.
TEST(shard_given_up_failures, an_end_of_another_kind_is_no_attempt)
{
    loaded_core owner(at_work(attempts - 1));
    give_up(owner);
    owner.answer("a", {}, {{1, task_of(1), 4, end_kind::lapsed, ""}}, gone_ms + 10);
    EXPECT_EQ(owner.step(gone_ms + 10).starts.size(), 1U);
}

// Tasks that last have no limit of attempts.
TEST(shard_given_up_failures, a_long_running_task_has_no_attempts)
{
    const job_spec job = shard_world::long_running_job(1);
    loaded_core owner(job, {at_work(attempts)});
    give_up(owner);
    owner.answer("a", {}, {{1, job.id + ".0.0.0", 4, end_kind::failed, ""}}, gone_ms + 10);
    EXPECT_EQ(owner.step(gone_ms + 10).starts.size(), 1U);
}

// The attempts of a gang are those of all its members.
TEST(shard_given_up_failures, a_member_of_a_gang_uses_up_the_attempts_of_the_gang)
{
    job_spec job = shard_world::job(id_of(1), 2);
    job.steps[0].gang = true;
    const task_progress other{.phase = task_phase::waiting, .last_run = 4, .failures = attempts - 1};
    loaded_core owner(job, {at_work(0), other});
    give_up(owner);
    owner.answer("b", {}, {}, gone_ms + 5);
    owner.answer("a", {}, {failed_end()}, gone_ms + 10);
    EXPECT_TRUE(owner.step(gone_ms + 10).starts.empty());
    EXPECT_EQ(owner.core.state_of(id_of(1)), job_state::failed);
}

}  // namespace
}  // namespace waxwingnotch
