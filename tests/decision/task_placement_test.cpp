/// Reasons why a task waits.
#include "waxwingnotch/decision/task_placement.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace waxwingnotch {
namespace {

constexpr resources host_size{16'000, 32'000, 0};

step_spec limited_step()
{
    step_spec step;
    step.need = {4'000, 8'000, 0};
    step.max_per_worker = 1;
    return step;
}

TEST(task_placement, why_waiting_names_the_reason_of_the_candidate_that_comes_closest)
{
    const step_spec step = limited_step();
    std::vector<placement_candidate> candidates;
    EXPECT_EQ(why_waiting(step, candidates), wait_reason::no_worker);
    candidates.push_back({.capacity = host_size, .free = {1'000, 32'000, 0}, .eligible = false});
    EXPECT_EQ(why_waiting(step, candidates), wait_reason::no_room);
    candidates.push_back({.capacity = host_size, .free = host_size, .eligible = false});
    EXPECT_EQ(why_waiting(step, candidates), wait_reason::not_eligible);
    candidates.push_back({.capacity = host_size, .free = host_size, .same_step = 1});
    EXPECT_EQ(why_waiting(step, candidates), wait_reason::worker_limit);
    candidates.push_back({.capacity = host_size, .free = host_size});
    EXPECT_EQ(why_waiting(step, candidates), wait_reason::none);
}

RC_GTEST_PROP(task_placement, why_waiting_agrees_with_the_choice_of_a_worker, ())
{
    const step_spec step = limited_step();
    std::vector<placement_candidate> candidates;
    const int count = *rc::gen::inRange(0, 6);
    candidates.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        candidates.push_back({.capacity = host_size,
                              .free = {*rc::gen::inRange<std::int64_t>(0, 8'000), 32'000, 0},
                              .same_step = *rc::gen::inRange<std::uint32_t>(0, 3),
                              .eligible = *rc::gen::arbitrary<bool>()});
    }
    RC_ASSERT((choose_worker(step, candidates) >= 0) == (why_waiting(step, candidates) == wait_reason::none));
}

}  // namespace
}  // namespace waxwingnotch
