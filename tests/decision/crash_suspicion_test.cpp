/// Tests of the blame for crashes of workers.
#include "waxwingnotch/decision/crash_suspicion.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace waxwingnotch {
namespace {

using suspicions = std::vector<crash_suspicion>;

run_at_crash started(std::int64_t age_ms, std::size_t group)
{
    return {.age_ms = age_ms, .settled = false, .group = group};
}

TEST(crash_suspicion, the_last_to_start_is_likely_and_its_neighbours_are_not)
{
    const std::vector<run_at_crash> runs{started(9, 0), started(700, 1), started(250, 2), started(60, 3)};
    EXPECT_EQ(suspect_runs(runs), (suspicions{crash_suspicion::likely, crash_suspicion::shared,
                                              crash_suspicion::shared, crash_suspicion::likely}));
}

TEST(crash_suspicion, a_crash_long_after_the_last_start_makes_no_run_likely)
{
    const std::vector<run_at_crash> runs{started(800, 0), started(2'000, 1)};
    EXPECT_EQ(suspect_runs(runs), (suspicions{crash_suspicion::shared, crash_suspicion::shared}));
}

TEST(crash_suspicion, a_run_beside_settled_ones_is_alone)
{
    const std::vector<run_at_crash> runs{{.age_ms = 20, .settled = true, .group = 0}, started(900, 1)};
    EXPECT_EQ(suspect_runs(runs), (suspicions{crash_suspicion::none, crash_suspicion::alone}));
}

TEST(crash_suspicion, members_of_one_gang_are_alone_together)
{
    const std::vector<run_at_crash> runs{started(20, 0), started(22, 0)};
    EXPECT_EQ(suspect_runs(runs), (suspicions{crash_suspicion::alone, crash_suspicion::alone}));
}

TEST(crash_suspicion, runs_of_a_previous_owner_are_shared_suspects)
{
    const std::vector<run_at_crash> runs{{.age_ms = std::nullopt, .settled = false, .group = 0},
                                         {.age_ms = std::nullopt, .settled = false, .group = 1}};
    EXPECT_EQ(suspect_runs(runs), (suspicions{crash_suspicion::shared, crash_suspicion::shared}));
}

// A new owner does not know whether its predecessor had ordered the host to be moved or maintained.
TEST(crash_suspicion, a_run_of_a_previous_owner_is_a_shared_suspect_even_without_neighbours)
{
    const std::vector<run_at_crash> runs{{.age_ms = std::nullopt, .settled = false, .group = 0}};
    EXPECT_EQ(suspect_runs(runs), suspicions{crash_suspicion::shared});
}

// Nothing shows that the process took the start; what surely ran there may have been crashed by it all the
// same.
TEST(crash_suspicion, a_start_that_nobody_answered_is_unconfirmed_and_leaves_its_neighbours_shared)
{
    const std::vector<run_at_crash> runs{{.age_ms = 5, .confirmed = false, .group = 0}, started(900, 1)};
    EXPECT_EQ(suspect_runs(runs), (suspicions{crash_suspicion::unconfirmed, crash_suspicion::shared}));
    EXPECT_EQ(suspect_runs(std::span(runs).first(1)), suspicions{crash_suspicion::unconfirmed});
}

// A task with one real crash may not be given up; one that crashes all its workers must be after five starts.
TEST(crash_suspicion, it_takes_five_crashes_to_give_up_a_task_with_less_than_two_confirmed_ones)
{
    crash_history history;
    add_crash(history, crash_suspicion::unconfirmed);
    EXPECT_FALSE(must_isolate(history));
    add_crash(history, crash_suspicion::alone);
    for (int crash = 2; crash < 4; ++crash) {
        add_crash(history, crash_suspicion::unconfirmed);
        EXPECT_FALSE(must_give_up(history, true));
    }
    add_crash(history, crash_suspicion::unconfirmed);
    EXPECT_TRUE(must_give_up(history, true));
    EXPECT_TRUE(must_give_up(history, false));
    remove_crash(history, crash_suspicion::unconfirmed);
    EXPECT_FALSE(must_give_up(history, true));
}

// tkc-sapporo crashing-tasks, seed 834067222263: two of the crashes under a task that crashed all its workers
// were counted as shared, as a new owner had inherited the run, and as unconfirmed, so the task was started
// seven times.
TEST(crash_suspicion, a_task_that_crashed_alone_once_is_given_up_after_four_crashes)
{
    for (const crash_suspicion last : {crash_suspicion::shared, crash_suspicion::unconfirmed}) {
        crash_history history;
        add_crash(history, crash_suspicion::likely);
        add_crash(history, crash_suspicion::likely);
        add_crash(history, crash_suspicion::alone);
        EXPECT_FALSE(must_give_up(history, true));
        add_crash(history, last);
        EXPECT_TRUE(must_give_up(history, true));
    }
}

/// Whatever ran beside it, a task is not given up for crashes that it shared.
RC_GTEST_PROP(crash_suspicion, no_number_of_shared_crashes_gives_a_task_up, ())
{
    crash_history history;
    const int crashes = *rc::gen::inRange(1, 20);
    for (int crash = 0; crash < crashes; ++crash) {
        std::vector<run_at_crash> runs;
        const auto others = *rc::gen::inRange<std::size_t>(1, 8);
        for (std::size_t run = 0; run <= others; ++run) {
            runs.push_back(started(*rc::gen::inRange<std::int64_t>(0, 3'000), run));
        }
        add_crash(history, suspect_runs(runs).front());
    }
    RC_ASSERT(!must_give_up(history, true));
    RC_ASSERT(!must_give_up(history, false));
    RC_ASSERT(must_isolate(history) || (crashes < 2 && !history.likely));
}

/// A task that crashes each of its workers is isolated after two crashes at the latest and given up after two
/// more, proved or not: four starts, one fewer than the platform allows.
RC_GTEST_PROP(crash_suspicion, a_crashing_task_is_given_up_after_four_crashes_at_most, ())
{
    crash_history history;
    int crashes = 0;
    const bool proved = *rc::gen::arbitrary<bool>();
    while (!must_give_up(history, proved)) {
        std::vector<run_at_crash> runs{started(*rc::gen::inRange<std::int64_t>(0, 3'000), 0)};
        if (!must_isolate(history)) {
            runs.push_back(started(*rc::gen::inRange<std::int64_t>(0, 3'000), 1));
        }
        add_crash(history, suspect_runs(runs).front());
        RC_ASSERT(++crashes <= 4);
    }
}

TEST(isolation, takes_the_worker_that_is_free_soonest_and_spares_long_running_tasks)
{
    const std::vector<isolation_candidate> candidates{
        {.eligible = true, .busy_ms = 0, .settled_tasks = 1},
        {.eligible = true, .busy_ms = 900, .settled_tasks = 0},
        {.eligible = true, .busy_ms = 1'200, .settled_tasks = 0},
        {.eligible = false, .busy_ms = 0, .settled_tasks = 0},
    };
    EXPECT_EQ(choose_isolation_worker(candidates), 1);
    EXPECT_EQ(choose_isolation_worker(std::vector<isolation_candidate>{candidates[3]}), -1);
    EXPECT_EQ(choose_isolation_worker({}), -1);
}

TEST(isolation, leaves_most_of_a_pool_to_other_tasks)
{
    EXPECT_EQ(max_isolation_workers(0), 1U);
    EXPECT_EQ(max_isolation_workers(3), 1U);
    EXPECT_EQ(max_isolation_workers(9), 2U);
    EXPECT_EQ(max_isolation_workers(120), 30U);
}

}  // namespace
}  // namespace waxwingnotch
