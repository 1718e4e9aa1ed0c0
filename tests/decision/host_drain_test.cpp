/// Tests of the decisions on a host that is emptied before it is maintained or moved.
#include "waxwingnotch/decision/host_drain.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwingnotch {
namespace {

drain_state random_state()
{
    const auto any_flag = rc::gen::arbitrary<bool>();
    drain_state state{.known = true, .runs = *rc::gen::inRange<std::size_t>(0, 5)};
    state.serving = state.runs > 0 && *any_flag;
    state.unstored = *any_flag;
    state.stopping_ms = *rc::gen::inRange<std::int64_t>(0, 20'000);
    return state;
}

// A late wave took hosts at once; the end that a worker listed in that millisecond was lost with it.
RC_GTEST_PROP(host_drain, no_host_is_taken_while_its_runs_have_time_to_stop, ())
{
    drain_state state = random_state();
    state.stopping_ms = *rc::gen::inRange<std::int64_t>(0, 4'300);
    RC_ASSERT(may_take_host(state) == state.empty());
}

// A host with an end that is not stored, or with a long-running task, was taken when the wave was late.
RC_GTEST_PROP(host_drain, nothing_but_short_runs_is_given_up, ())
{
    drain_state state = random_state();
    RC_PRE(state.unstored || state.serving);
    RC_ASSERT(!may_take_host(state));
}

// A worker that does not answer, or does not stop its runs, held its wave up for ever.
TEST(host_drain, a_worker_that_does_not_stop_its_runs_is_given_up)
{
    EXPECT_FALSE(may_take_host({.known = true, .runs = 2, .stopping_ms = 5'000}));
    EXPECT_TRUE(may_take_host({.known = true, .runs = 2, .stopping_ms = 5'001}));
}

// Work was thrown away although its wave had time to wait for it.
TEST(host_drain, runs_are_stopped_only_when_time_is_short)
{
    EXPECT_EQ(choose_leftover(0, 20'000), leftover_runs::keep);
    EXPECT_EQ(choose_leftover(2'000, 20'000), leftover_runs::keep);
    EXPECT_EQ(choose_leftover(2'001, 20'000), leftover_runs::stop);
    EXPECT_EQ(choose_leftover(0, 1'500), leftover_runs::keep);
    EXPECT_EQ(choose_leftover(0, 1'499), leftover_runs::stop);
    EXPECT_EQ(choose_leftover(0, -3'000), leftover_runs::stop);
}

}  // namespace
}  // namespace waxwingnotch
