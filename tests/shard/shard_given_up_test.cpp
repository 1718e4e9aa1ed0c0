/// Tests of runs that an owner has given up, and that have ended or go on all the same.
#include "loaded_core.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <string>

namespace waxwingnotch {
namespace {

task_progress given_up()
{
    return {.phase = task_phase::waiting, .last_run = 1};
}

task_progress assigned_to(const std::string& worker)
{
    return {.phase = task_phase::active, .last_run = 1, .runs = {{.number = 1, .worker = {worker, 5}}}};
}

// The owner acknowledged the end to the worker and started the task again.
TEST(shard_given_up, a_task_does_not_start_again_after_a_worker_lists_its_end)
{
    loaded_core owner(given_up());
    owner.answer("a", {}, {{1, task_of(1), 1, end_kind::done, ""}}, 110);
    EXPECT_TRUE(owner.step(110).starts.empty());
    EXPECT_EQ(owner.core.state_of(id_of(1)), job_state::completed);
}

// An end that the earlier owner had read and could not store was dropped, and the task started again.
TEST(shard_given_up, a_task_does_not_start_again_after_a_peer_reports_its_end)
{
    loaded_core owner(given_up());
    owner.core.report_ends({{.task = task_of(1), .run = 1, .kind = end_kind::done}}, 105);
    owner.answer("a", {}, {}, 110);
    EXPECT_TRUE(owner.step(110).starts.empty());
    EXPECT_EQ(owner.core.state_of(id_of(1)), job_state::completed);
}

// The end of the first run was acknowledged while a second run, whose start had not been ordered, went ahead.
TEST(shard_given_up, a_second_run_is_not_ordered_once_the_first_has_ended)
{
    loaded_core owner(given_up());
    const std::uint64_t batch = owner.assign("b", 110);
    ASSERT_NE(batch, 0U);
    owner.answer("a", {}, {{1, task_of(1), 1, end_kind::done, ""}}, 112);
    owner.core.on_stored(batch, 114);
    EXPECT_TRUE(owner.step(114).starts.empty());
    EXPECT_EQ(owner.core.state_of(id_of(1)), job_state::completed);
}

// The owner forgot the end with its own failure: it was neither stored nor passed on.
TEST(shard_given_up, the_end_is_passed_to_the_next_owner_until_it_is_stored)
{
    loaded_core owner(given_up());
    owner.answer("a", {}, {{1, task_of(1), 1, end_kind::done, ""}}, 110);
    EXPECT_EQ(owner.core.unstored_ends().size(), 1U);
    owner.step(110);
    EXPECT_TRUE(owner.core.unstored_ends().empty());
}

// A run that failed is counted by the record; only one that is done ends the task.
TEST(shard_given_up, an_end_that_is_not_done_leaves_the_task_waiting)
{
    loaded_core owner(given_up());
    owner.answer("a", {}, {{1, task_of(1), 1, end_kind::stopped, ""}}, 110);
    EXPECT_EQ(owner.step(110).starts.size(), 1U);
}

// The owner stopped the run and started the task beside it, as a stop takes up to a second.
TEST(shard_given_up, a_run_that_goes_on_is_taken_up_again)
{
    loaded_core owner(given_up());
    owner.answer("a", {{.task = task_of(1), .run = 1}}, {}, 110);
    const shard_effects effects = owner.step(110);
    EXPECT_TRUE(effects.starts.empty());
    EXPECT_TRUE(effects.stops.empty());
    owner.answer("a", {}, {{1, task_of(1), 1, end_kind::done, ""}}, 150);
    owner.step(150);
    EXPECT_EQ(owner.core.state_of(id_of(1)), job_state::completed);
}

// The first list of a worker arrived between the assignment of a second run and the order to start it.
TEST(shard_given_up, a_run_that_goes_on_replaces_one_that_was_not_ordered_yet)
{
    loaded_core owner(given_up());
    const std::uint64_t batch = owner.assign("b", 110);
    ASSERT_NE(batch, 0U);
    owner.answer("a", {{.task = task_of(1), .run = 1}}, {}, 112);
    owner.core.on_stored(batch, 114);
    const shard_effects effects = owner.step(114);
    EXPECT_TRUE(effects.starts.empty());
    EXPECT_TRUE(effects.stops.empty());
}

// A list that a newer one has overtaken still shows runs that have ended since.
TEST(shard_given_up, an_older_list_brings_no_run_back)
{
    loaded_core owner(assigned_to("a"));
    owner.answer("a", {}, {{1, task_of(1), 1, end_kind::failed, ""}}, 110);
    owner.answer("a", {{.task = task_of(1), .run = 1}}, {}, 105);
    EXPECT_EQ(owner.core.runs(), 0U);
}

// A poll that was sent earlier may be answered later, as it waits for an end.
TEST(shard_given_up, a_list_that_was_answered_earlier_brings_no_run_back)
{
    loaded_core owner(assigned_to("a"));
    owner.core.on_poll("a", 100, false,
                       {.outcome = order_result::ok,
                        .clock_ms = 1'000,
                        .started_ms = 5,
                        .running = {},
                        .ended = {{1, task_of(1), 1, end_kind::failed, ""}}},
                       201);
    owner.core.on_poll("a", 120, true,
                       {.outcome = order_result::ok,
                        .clock_ms = 925,
                        .started_ms = 5,
                        .running = {{.task = task_of(1), .run = 1}},
                        .ended = {}},
                       210);
    EXPECT_EQ(owner.core.runs(), 0U);
}

// A run that must not go on was stopped, and its task started beside it, as a stop takes up to a second.
TEST(shard_given_up, a_gang_does_not_start_again_while_a_member_of_it_is_listed)
{
    job_spec job = shard_world::job(id_of(1), 2);
    job.steps[0].gang = true;
    loaded_core owner(job, {given_up(), given_up()});
    owner.answer("b", {{.task = id_of(1) + ".0.0.1", .run = 1}}, {}, 109);
    owner.answer("a", {{.task = id_of(1) + ".0.0.0", .run = 1}}, {}, 110);
    const shard_effects effects = owner.step(110);
    EXPECT_EQ(effects.stops.size(), 2U);
    EXPECT_TRUE(effects.starts.empty());
    owner.answer("a", {}, {{1, id_of(1) + ".0.0.0", 1, end_kind::stopped, ""}}, 900);
    EXPECT_TRUE(owner.step(900).starts.empty());
    owner.answer("b", {}, {{1, id_of(1) + ".0.0.1", 1, end_kind::stopped, ""}}, 950);
    EXPECT_EQ(owner.step(950).starts.size(), 2U);
}

// The same for a task that is suspected of a crash.
TEST(shard_given_up, a_suspect_does_not_start_again_while_a_run_of_it_is_listed)
{
    task_progress task = given_up();
    add_crash(task.crashes, crash_suspicion::likely);
    add_crash(task.crashes, crash_suspicion::likely);
    ASSERT_TRUE(must_isolate(task.crashes));
    loaded_core owner(task);
    owner.answer("b", {}, {}, 108);
    owner.answer("a", {{.task = task_of(1), .run = 1}}, {}, 110);
    const shard_effects effects = owner.step(110);
    EXPECT_EQ(effects.stops.size(), 1U);
    EXPECT_TRUE(effects.starts.empty());
}

// The record assigned a second run that was never ordered, while the first went on at another worker.
TEST(shard_given_up, a_task_does_not_start_while_an_earlier_run_is_being_stopped)
{
    loaded_core owner(
        {.phase = task_phase::active, .last_run = 2, .runs = {{.number = 2, .worker = {"b", 5}}}});
    owner.answer("a", {{.task = task_of(1), .run = 1}}, {}, 108);
    owner.answer("b", {}, {}, 110);
    const shard_effects first = owner.step(110);
    for (const stop_effect& stop : first.stops) {
        owner.core.on_stop(stop.worker.id, stop.order, {.outcome = order_result::ok}, 112);
    }
    owner.answer("b", {}, {}, 115);
    EXPECT_TRUE(owner.step(115).starts.empty());
    owner.answer("a", {}, {{1, task_of(1), 1, end_kind::stopped, ""}}, 900);
    EXPECT_EQ(owner.step(900).starts.size(), 1U);
}

// Another task of the step had been assigned to the worker before its list showed the run.
TEST(shard_given_up, a_run_that_goes_on_keeps_the_limit_of_tasks_per_worker)
{
    job_spec job = shard_world::job(id_of(1), 2);
    job.steps[0].max_per_worker = 1;
    loaded_core owner(job, {{}, given_up()});
    const std::uint64_t batch = owner.assign("a", 110);
    ASSERT_NE(batch, 0U);
    owner.answer("a", {{.task = id_of(1) + ".0.0.1", .run = 1}}, {}, 112);
    owner.core.on_stored(batch, 114);
    EXPECT_TRUE(owner.step(114).starts.empty());
}

// A cancelled job would have gone on.
TEST(shard_given_up, a_run_of_a_cancelled_job_is_stopped)
{
    loaded_core owner(given_up());
    owner.core.cancel_job(id_of(1), 105);
    owner.answer("a", {{.task = task_of(1), .run = 1}}, {}, 110);
    EXPECT_EQ(owner.step(110).stops.size(), 1U);
}

// The start by the earlier owner was under way while the worker answered the first poll, and the worker had
// started again and did not know the token that rejects it. The task ran on two workers.
TEST(shard_given_up, a_start_that_is_still_under_way_is_stopped_before_the_task_starts_again)
{
    loaded_core owner(assigned_to("a"));
    owner.answer("b", {}, {}, 108);
    owner.answer("a", {}, {}, 110);
    const shard_effects first = owner.step(110);
    EXPECT_TRUE(first.starts.empty());
    ASSERT_EQ(first.stops.size(), 1U);
    EXPECT_EQ(first.stops[0].order.run, 1U);
    owner.core.on_stop("a", first.stops[0].order, {.outcome = order_result::ok}, 112);
    EXPECT_TRUE(owner.step(112).starts.empty());
    owner.answer("a", {}, {}, 113);
    EXPECT_EQ(owner.step(113).starts.size(), 1U);
}

// The stop that the worker had confirmed was forgotten with its process, and the start arrived afterwards.
TEST(shard_given_up, a_stop_is_repeated_for_the_next_life_of_the_worker)
{
    loaded_core owner(assigned_to("a"));
    owner.answer("a", {}, {}, 110);
    const shard_effects first = owner.step(110);
    ASSERT_EQ(first.stops.size(), 1U);
    owner.core.on_stop("a", first.stops[0].order, {.outcome = order_result::ok}, 112);
    constexpr std::int64_t next_life_ms = 900;
    owner.answer("a", {}, {}, 1'000, next_life_ms);
    owner.core.tick(1'050, 1'050);
    const shard_effects second = owner.step(1'050);
    EXPECT_TRUE(second.starts.empty());
    EXPECT_EQ(second.stops.size(), 1U);
}

// The answer of the earlier life arrived after the restart had been noticed, and counted for the new one.
TEST(shard_given_up, a_late_confirmation_by_the_earlier_life_does_not_count)
{
    loaded_core owner(assigned_to("a"));
    owner.answer("b", {}, {}, 108);
    owner.answer("a", {}, {}, 110);
    const shard_effects first = owner.step(110);
    ASSERT_EQ(first.stops.size(), 1U);
    worker_entry next = loaded_core::entry("a");
    next.started_ms = 115;
    owner.core.put_worker(next, 120);
    owner.core.on_stop("a", first.stops[0].order, {.outcome = order_result::ok}, 121);
    owner.answer("a", {}, {}, 130, 115);
    EXPECT_TRUE(owner.step(130).starts.empty());
}

// The next owner waits for the leases that the last owner it knows of may have renewed. One that was lost
// before it had stored its address was not known.
TEST(shard_given_up, no_lease_is_renewed_before_the_next_owner_would_learn_of_this_one)
{
    loaded_core owner(assigned_to("a"));
    owner.answer("a", {{.task = task_of(1), .run = 1}}, {}, 110);
    const shard_effects before = owner.core.take_effects(120);
    ASSERT_FALSE(before.polls.empty());
    for (const poll_effect& poll : before.polls) {
        EXPECT_FALSE(poll.order.lease_until_ms);
    }
    owner.core.on_owner_stored();
    owner.answer("a", {{.task = task_of(1), .run = 1}}, {}, 130);
    const shard_effects after = owner.core.take_effects(131);
    EXPECT_TRUE(std::any_of(after.polls.begin(), after.polls.end(),
                            [](const poll_effect& poll) { return poll.order.lease_until_ms.has_value(); }));
}

}  // namespace
}  // namespace waxwingnotch
