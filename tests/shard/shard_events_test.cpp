/// Tests of the log events from which an operator tells which owner acted on a run, and with what knowledge.
#include "loaded_core.hpp"
#include "log_capture.hpp"
#include "shard_world.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace waxwingnotch {
namespace {

// A copy that was still at work when its task was done, and a run whose record is missing, were logged by the
// same line. Only the second can make a task run twice.
TEST(shard_events, a_missing_record_and_a_copy_of_a_done_task_are_told_apart)
{
    const log_capture log;
    loaded_core owner({.phase = task_phase::done, .last_run = 2});
    owner.answer("a", {{.task = task_of(1), .run = 1}, {.task = task_of(1), .run = 5}}, {}, 110);
    owner.answer("b", {{.task = task_of(2), .run = 1}}, {}, 111);
    const auto lines = log.lines("run_unknown");
    ASSERT_EQ(lines.size(), 3U);
    EXPECT_EQ(lines[0]["task_state"], "done");
    EXPECT_EQ(lines[0]["last_run"], 2);
    EXPECT_EQ(lines[1]["run"], 5);  // above the highest run of the record
    EXPECT_EQ(lines[1]["last_run"], 2);
    EXPECT_EQ(lines[2]["task_state"], "no such job");
    EXPECT_EQ(lines[2]["last_run"], 0);
    EXPECT_EQ(lines[2]["shard"], 3);
    EXPECT_EQ(lines[2]["epoch"], 7);
    EXPECT_EQ(owner.core.counts().runs_unknown, 3U);
}

// The line about a run on the wrong worker did not say which worker has it.
TEST(shard_events, an_unknown_run_names_the_run_that_is_active_elsewhere)
{
    const log_capture log;
    loaded_core owner(
        {.phase = task_phase::active, .last_run = 2, .runs = {{.number = 2, .worker = {"a", 5}}}});
    owner.answer("b", {{.task = task_of(1), .run = 2}, {.task = task_of(1), .run = 1}}, {}, 110);
    const auto lines = log.lines("run_unknown");
    ASSERT_EQ(lines.size(), 2U);
    for (const auto& line : lines) {
        EXPECT_EQ(line["task_state"], "active");
        EXPECT_EQ(line["active_run"], 2);
        EXPECT_EQ(line["active_worker"], "a");
    }
    EXPECT_EQ(lines[0]["known_elsewhere"], true);
    EXPECT_EQ(lines[1]["known_elsewhere"], false);
}

// Every new owner reads the ends again that its workers were not told to forget; lines about these would hide
// the few that matter.
TEST(shard_events, an_end_that_the_record_explains_is_not_reported)
{
    const log_capture log;
    loaded_core done({.phase = task_phase::done, .last_run = 2});
    done.answer("a", {}, {{1, task_of(1), 1, end_kind::done, ""}, {2, task_of(1), 2, end_kind::stopped, ""}},
                110);
    loaded_core again({.phase = task_phase::waiting, .last_run = 2, .failures = 1});
    again.answer("a", {},
                 {{1, task_of(1), 1, end_kind::lapsed, ""}, {2, task_of(1), 2, end_kind::failed, ""}}, 110);
    EXPECT_TRUE(log.lines("end_unknown").empty());
    EXPECT_EQ(done.core.counts().ends_unknown + again.core.counts().ends_unknown, 0U);
}

// An end that an owner skipped left no trace, although its task ran again.
TEST(shard_events, an_end_that_is_not_applied_is_reported_if_its_task_runs_again)
{
    const log_capture log;
    loaded_core owner(
        {.phase = task_phase::active, .last_run = 2, .runs = {{.number = 2, .worker = {"a", 5}}}});
    owner.answer("b", {},
                 {{1, task_of(1), 1, end_kind::done, ""},      // the task runs again
                  {2, task_of(1), 2, end_kind::stopped, ""},   // the record names another worker
                  {3, task_of(1), 4, end_kind::stopped, ""},   // no record of the run
                  {4, task_of(9), 1, end_kind::failed, ""},    // no record of the job
                  {5, task_of(1), 1, end_kind::stopped, ""}},  // explained
                 110);
    const auto lines = log.lines("end_unknown");
    ASSERT_EQ(lines.size(), 4U);
    EXPECT_EQ(lines[0]["how"], "done");
    EXPECT_EQ(lines[0]["task_state"], "active");
    EXPECT_EQ(lines[0]["active_run"], 2);
    EXPECT_EQ(lines[0]["worker"], "b");
    EXPECT_EQ(lines[0]["heard"], "worker");
    EXPECT_EQ(lines[0]["epoch"], 7);
    EXPECT_EQ(lines[1]["active_worker"], "a");
    EXPECT_EQ(lines[2]["last_run"], 2);
    EXPECT_EQ(lines[3]["task_state"], "no such job");
    EXPECT_EQ(owner.core.counts().ends_unknown, 4U);
    EXPECT_EQ(owner.core.runs(), 1U);
}

// Lines about a run that is started and stopped without end filled the log, and those that tell why were
// dropped.
TEST(shard_events, the_lines_about_unknown_runs_are_bounded)
{
    const log_capture log;
    loaded_core owner({});
    for (std::int64_t now_ms = 110; now_ms < 610; now_ms += 10) {
        owner.answer("a", {{.task = task_of(9), .run = 1}}, {}, now_ms);
    }
    EXPECT_EQ(log.lines("run_unknown").size(), 20U);
    owner.answer("a", {{.task = task_of(9), .run = 1}}, {}, 5'000);
    const auto lines = log.lines("run_unknown");
    ASSERT_EQ(lines.size(), 21U);
    EXPECT_EQ(lines.back()["left_out"], 30);
    EXPECT_EQ(owner.core.counts().runs_unknown, 51U);
}

// The end `done` after which a task ran again had no line, because many runs had ended `stopped` before it.
TEST(shard_events, ends_of_stopped_runs_do_not_crowd_out_one_that_is_done)
{
    const log_capture log;
    loaded_core owner({});
    std::vector<ended_row> ends;
    for (std::int64_t number = 1; number <= 50; ++number) {
        ends.push_back({number, task_of(9), static_cast<std::uint32_t>(number), end_kind::stopped, ""});
    }
    ends.push_back({51, task_of(9), 51, end_kind::done, ""});
    owner.answer("a", {}, ends, 110);
    const auto lines = log.lines("end_unknown");
    ASSERT_EQ(lines.size(), 21U);
    EXPECT_EQ(lines.back()["how"], "done");
}

// A worker that lists the ends of another shard would fill the log.
TEST(shard_events, the_lines_about_unknown_ends_are_bounded)
{
    const log_capture log;
    loaded_core owner({});
    std::vector<ended_row> ends;
    for (std::int64_t number = 1; number <= 50; ++number) {
        ends.push_back({number, task_of(9), static_cast<std::uint32_t>(number), end_kind::done, ""});
    }
    owner.answer("a", {}, ends, 110);
    EXPECT_EQ(log.lines("end_unknown").size(), 20U);
    owner.answer("b", {}, {{1, task_of(9), 1, end_kind::done, ""}}, 5'000);
    const auto lines = log.lines("end_unknown");
    ASSERT_EQ(lines.size(), 21U);
    EXPECT_EQ(lines.back()["left_out"], 30);
    EXPECT_EQ(owner.core.counts().ends_unknown, 51U);
}

// The lines about a run did not say which owner acted, nor whether it had ordered the run itself.
TEST(shard_events, the_lines_of_a_run_name_the_owner_and_where_it_knows_the_run_from)
{
    const log_capture log;
    shard_world world(31);
    world.task_ms = 1'000;
    world.add_worker("a");
    const auto first = world.take_over();
    world.submit(shard_world::job(id_of(1), 2));
    world.run(200);
    first->terminated = true;
    const auto second = world.take_over();
    second->core->report_ends({{.task = task_of(1), .run = 1, .kind = end_kind::done}}, world.now);
    world.run(5'000);
    const auto starts = log.lines("run_start");
    ASSERT_EQ(starts.size(), 2U);
    EXPECT_EQ(starts[0]["epoch"], 1);
    EXPECT_EQ(starts[0]["shard"], 0);
    const auto ends = log.lines("run_end");
    ASSERT_EQ(ends.size(), 2U);
    EXPECT_EQ(ends[0]["heard"], "peer");
    EXPECT_EQ(ends[1]["heard"], "worker");
    for (const auto& end : ends) {
        EXPECT_EQ(end["epoch"], 2);
        EXPECT_EQ(end["inherited"], true);
    }
    world.submit(shard_world::job(id_of(2), 1));
    world.run(5'000);
    ASSERT_EQ(log.lines("run_end").size(), 3U);
    EXPECT_EQ(log.lines("run_end").back()["inherited"], false);
}

// A run that an owner gave up did not say whether that owner had started it.
TEST(shard_events, a_lost_run_says_whether_it_was_inherited)
{
    const log_capture log;
    shard_world world(32);
    world.task_ms = 60'000;
    world.add_worker("a");
    const auto first = world.take_over();
    world.submit(shard_world::job(id_of(1), 1));
    world.run(200);
    first->terminated = true;
    world.workers["a"].restart(world.now);
    world.take_over();
    world.run(10'000);
    const auto lines = log.lines("run_lost");
    ASSERT_FALSE(lines.empty());
    EXPECT_EQ(lines[0]["inherited"], true);
    EXPECT_EQ(lines[0]["epoch"], 2);
}

// Each new owner logged the end of a job again that it had read from the store, so that one job seemed to end
// several times.
TEST(shard_events, the_end_of_a_job_is_logged_only_by_the_owner_that_decides_it)
{
    const log_capture log;
    shard_world world(34);
    world.add_worker("a");
    auto owner = world.take_over();
    world.submit(shard_world::job(id_of(1), 1));
    world.run(3'000);
    ASSERT_EQ(owner->core->state_of(id_of(1)), job_state::completed);
    world.faults.failed_runs = 1;
    world.submit(shard_world::job(id_of(2), 1));
    world.run(10'000);
    ASSERT_EQ(owner->core->state_of(id_of(2)), job_state::failed);
    for (int i = 0; i < 2; ++i) {
        owner->terminated = true;
        owner = world.take_over();
        world.run(1'000);
    }
    EXPECT_EQ(owner->core->state_of(id_of(1)), job_state::completed);
    EXPECT_EQ(owner->core->state_of(id_of(2)), job_state::failed);
    const auto completed = log.lines("job_completed");
    const auto failed = log.lines("job_failed");
    ASSERT_EQ(completed.size(), 1U);
    ASSERT_EQ(failed.size(), 1U);
    EXPECT_EQ(completed[0]["epoch"], 1);
    EXPECT_EQ(failed[0]["epoch"], 1);
    const auto loaded = log.lines("shard_loaded");
    ASSERT_EQ(loaded.size(), 3U);
    EXPECT_EQ(loaded[0]["ended_jobs"], 0);
    EXPECT_EQ(loaded[2]["ended_jobs"], 2);
}

// The age of an end that was read and not stored tells for how long the next owner cannot know of it.
TEST(shard_core, tells_when_the_oldest_unstored_end_was_read)
{
    shard_world world(33);
    world.add_worker("a");
    const auto owner = world.take_over();
    world.submit(shard_world::job(id_of(1), 2));
    world.run(60);
    EXPECT_EQ(owner->core->oldest_unstored_end_ms(), 0);
    world.store_down = true;
    world.run(2'000);
    ASSERT_EQ(owner->core->unstored_ends().size(), 2U);
    const std::int64_t oldest_ms = owner->core->oldest_unstored_end_ms();
    EXPECT_GT(oldest_ms, 1'000'000 + 60);
    EXPECT_LT(oldest_ms, world.now - 1'000);
    world.store_down = false;
    world.run(2'000);
    EXPECT_EQ(owner->core->oldest_unstored_end_ms(), 0);
}

}  // namespace
}  // namespace waxwingnotch
