/// Order of waiting jobs and placement of their tasks.
#include "waxwingnotch/decision/job_order.hpp"
#include "waxwingnotch/decision/task_placement.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwingnotch {
namespace {

waiting_job job(std::int64_t age, std::int64_t objective, std::int64_t remaining, std::int64_t cpu = 1'000)
{
    return {.age_ms = age, .objective_ms = objective, .remaining_ms = remaining, .remaining_cpu_ms = cpu};
}

TEST(job_order, classifies_jobs_by_objective)
{
    EXPECT_EQ(objective_status_of(job(0, 1'000, 900)), objective_status::on_time);
    EXPECT_EQ(objective_status_of(job(200, 1'000, 900)), objective_status::late);
    EXPECT_EQ(objective_status_of(job(2'200, 1'000, 900)), objective_status::worthless);
    EXPECT_EQ(objective_status_of({.long_running = true, .age_ms = 99'000}), objective_status::serving);
}

TEST(job_order, serving_before_on_time_before_late_before_worthless)
{
    const waiting_job serving{.long_running = true};
    EXPECT_LT(order_key(serving), order_key(job(0, 1'000, 900)));
    EXPECT_LT(order_key(job(0, 1'000, 900)), order_key(job(200, 1'000, 900)));
    EXPECT_LT(order_key(job(200, 1'000, 900)), order_key(job(2'200, 1'000, 900)));
}

TEST(job_order, late_jobs_gain_priority_with_age)
{
    const waiting_job large = job(2'900, 1'000, 100, 3'000);
    const waiting_job small = job(950, 1'000, 100, 500);
    EXPECT_LT(order_key(job(2'900, 1'000, 100, 3'000)), order_key(job(1'000, 1'000, 100, 3'000)));
    EXPECT_GT(order_key(large), order_key(small));
}

step_spec step(std::int64_t cpu)
{
    step_spec result;
    result.need = {cpu, 100, 0};
    return result;
}

placement_candidate candidate(const std::string& rack, std::int64_t free_cpu)
{
    return {.rack = &rack, .capacity = {16'000, 64'000, 0}, .free = {free_cpu, 64'000, 0}};
}

TEST(task_placement, chooses_the_fullest_worker_with_room)
{
    const std::string rack = "r1";
    const std::vector<placement_candidate> workers = {candidate(rack, 16'000), candidate(rack, 2'000),
                                                      candidate(rack, 900)};
    EXPECT_EQ(choose_worker(step(1'000), workers), 1);
}

TEST(task_placement, finds_no_worker_when_none_has_room)
{
    const std::string rack = "r1";
    const std::vector<placement_candidate> workers = {candidate(rack, 900)};
    EXPECT_EQ(choose_worker(step(1'000), workers), -1);
    EXPECT_EQ(choose_worker(step(1'000), {}), -1);
}

TEST(task_placement, prefers_the_data_rack_and_avoids_a_failing_worker)
{
    const std::string near = "r1";
    const std::string far = "r2";
    step_spec with_data = step(1'000);
    with_data.data_rack = near;
    std::vector<placement_candidate> workers = {candidate(far, 2'000), candidate(near, 16'000)};
    EXPECT_EQ(choose_worker(with_data, workers), 1);
    workers[1].failure_rate = 1;
    EXPECT_EQ(choose_worker(with_data, workers), 0);
}

TEST(task_placement, spreads_long_running_tasks_over_racks)
{
    const std::string one = "r1";
    const std::string two = "r2";
    step_spec long_running_step = step(1'000);
    long_running_step.long_running = true;
    std::vector<placement_candidate> workers = {candidate(one, 2'000), candidate(two, 16'000)};
    workers[0].same_step_rack = 1;
    EXPECT_EQ(choose_worker(long_running_step, workers), 1);
}

TEST(task_placement, ignores_the_cpu_need_of_a_task_that_uses_spare_cpu)
{
    const std::string rack = "r1";
    step_spec filler = step(8'000);
    filler.uses_spare_cpu = true;
    const std::vector<placement_candidate> workers = {candidate(rack, 100)};
    EXPECT_EQ(choose_worker(filler, workers), 0);
}

/// The chosen worker is eligible and fits, and a worker is found whenever one fits.
RC_GTEST_PROP(task_placement, agrees_with_a_linear_search, ())
{
    const std::string rack = "r1";
    const auto count = *rc::gen::inRange<std::size_t>(0, 8);
    std::vector<placement_candidate> workers;
    for (std::size_t at = 0; at < count; ++at) {
        placement_candidate one = candidate(rack, *rc::gen::inRange<std::int64_t>(0, 3'000));
        one.eligible = *rc::gen::arbitrary<bool>();
        one.same_step = *rc::gen::inRange<std::uint32_t>(0, 3);
        workers.push_back(one);
    }
    step_spec wanted = step(*rc::gen::inRange<std::int64_t>(0, 3'000));
    wanted.max_per_worker = *rc::gen::inRange<std::uint32_t>(0, 3);
    bool any = false;
    for (const placement_candidate& one : workers) {
        any = any || (one.eligible && one.free.cpu_milli >= wanted.need.cpu_milli &&
                      (wanted.max_per_worker == 0 || one.same_step < wanted.max_per_worker));
    }
    const int chosen = choose_worker(wanted, workers);
    RC_ASSERT((chosen >= 0) == any);
    if (chosen >= 0) {
        const placement_candidate& one = workers[static_cast<std::size_t>(chosen)];
        RC_ASSERT(one.eligible && one.free.cpu_milli >= wanted.need.cpu_milli);
    }
}

}  // namespace
}  // namespace waxwingnotch
