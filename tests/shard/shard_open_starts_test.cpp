/// Starts of a load peak over a narrow link: how many may be on their way at once, and what becomes of those
/// that the link had no room for.
#include "loaded_core.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace waxwingnotch {
namespace {

constexpr std::int64_t start_bytes = 450;  // of a start without a payload
constexpr std::int64_t now_ms = loaded_core::start_ms + 10;

shard_options limited_to(std::int64_t bytes)
{
    return {.shard = 3, .epoch = 7, .max_open_start_bytes = bytes};
}

/// A job whose steps depend on none and need little.
job_spec small_job(int number, std::uint32_t tasks, std::uint32_t steps = 1)
{
    job_spec job = shard_world::job(id_of(number), tasks, steps);
    for (step_spec& step : job.steps) {
        step.need = {10, 10, 0};
        step.depends_on.clear();
    }
    return job;
}

/// A core with waiting tasks in job 1. Worker `a` has answered and has room for all of them.
class limited_core : public loaded_core {
public:
    limited_core(const job_spec& job, std::int64_t limit_bytes)
        : loaded_core(job, std::vector<task_progress>(job.steps[0].task_count), limited_to(limit_bytes))
    {
        answer("a", {}, {}, now_ms);
    }

    void answer_starts(const std::vector<start_effect>& starts, order_result outcome)
    {
        for (const start_effect& start : starts) {
            core.on_start(start.worker.id, start.order, {outcome}, now_ms);
        }
    }
};

std::set<std::string> tasks_of(const std::vector<start_effect>& starts)
{
    std::set<std::string> tasks;
    for (const start_effect& start : starts) {
        tasks.insert(start.order.task);
    }
    return tasks;
}

}  // namespace

// In a load peak an owner sent 200 starts a second over a link of 2 Mbit/s; they waited in the queue of the
// link until they counted as lost.
TEST(shard_open_starts, only_as_many_tasks_start_as_the_limit_allows)
{
    limited_core owner(small_job(1, 30), 10 * start_bytes);
    const shard_effects first = owner.step(now_ms);
    EXPECT_EQ(first.starts.size(), 10U);
    EXPECT_EQ(owner.core.runs(), 10U);
    EXPECT_TRUE(owner.step(now_ms).starts.empty());
    owner.core.tick(now_ms, now_ms);
    EXPECT_TRUE(owner.step(now_ms).starts.empty());
}

TEST(shard_open_starts, a_payload_counts)
{
    job_spec job = small_job(1, 30);
    job.payload = std::string(4 * start_bytes, 'x');
    limited_core owner(job, 10 * start_bytes);
    EXPECT_EQ(owner.step(now_ms).starts.size(), 2U);
}

// Guards against assignments that are not counted while the store has not answered: the next round would
// order as many again.
TEST(shard_open_starts, starts_that_are_being_stored_count)
{
    limited_core owner(small_job(1, 30), 10 * start_bytes);
    const shard_effects unstored = owner.core.take_effects(now_ms);
    ASSERT_NE(unstored.batch, 0U);
    EXPECT_EQ(owner.core.runs(), 10U);
    owner.core.tick(now_ms, now_ms);
    (void)owner.core.take_effects(now_ms);
    EXPECT_EQ(owner.core.runs(), 10U);
}

TEST(shard_open_starts, without_a_limit_all_start)
{
    limited_core owner(small_job(1, 30), 0);
    EXPECT_EQ(owner.step(now_ms).starts.size(), 30U);
}

// Guards against tasks that wait for the next tick although answers have made room.
TEST(shard_open_starts, the_next_tasks_start_when_answers_come)
{
    limited_core owner(small_job(1, 30), 10 * start_bytes);
    std::set<std::string> started;
    std::vector<start_effect> open = owner.step(now_ms).starts;
    ASSERT_EQ(open.size(), 10U);
    while (!open.empty()) {
        const std::size_t answered = std::min<std::size_t>(open.size(), 4);
        const std::vector<start_effect> oldest(open.begin(), open.begin() + static_cast<int>(answered));
        open.erase(open.begin(), open.begin() + static_cast<int>(answered));
        started.merge(tasks_of(oldest));
        const std::size_t waiting = 30 - started.size() - open.size();
        owner.answer_starts(oldest, order_result::ok);
        const std::vector<start_effect> next = owner.step(now_ms).starts;
        EXPECT_EQ(next.size(), std::min(answered, waiting));
        open.insert(open.end(), next.begin(), next.end());
    }
    EXPECT_EQ(started.size(), 30U);
}

// Guards against a pool that starts nothing at all, as a payload of 4,000 bytes is more than a very narrow
// link may have open.
TEST(shard_open_starts, a_limit_below_one_start_lets_one_start)
{
    limited_core owner(small_job(1, 30), 1);
    for (int round = 0; round < 3; ++round) {
        const shard_effects effects = owner.step(now_ms);
        EXPECT_EQ(effects.starts.size(), 1U);
        EXPECT_TRUE(owner.step(now_ms).starts.empty());
        owner.answer_starts(effects.starts, order_result::ok);
    }
}

// Guards against a gang of which a part starts: the members that are there would wait for the others and
// end.
TEST(shard_open_starts, a_gang_is_placed_whole_or_not_at_all)
{
    job_spec gang = small_job(2, 8);
    gang.steps[0].gang = true;
    limited_core owner(small_job(1, 7), 10 * start_bytes);
    std::vector<start_effect> open = owner.step(now_ms).starts;
    ASSERT_EQ(open.size(), 7U);
    owner.core.add_job(small_job(3, 3), 0, now_ms);
    std::vector<start_effect> more = owner.step(now_ms).starts;
    ASSERT_EQ(more.size(), 3U);  // the limit is reached
    owner.core.add_job(gang, 0, now_ms);
    EXPECT_TRUE(owner.step(now_ms).starts.empty());
    owner.answer_starts(more, order_result::ok);
    const shard_effects effects = owner.step(now_ms);
    EXPECT_EQ(effects.starts.size(), 8U);
    const std::set<std::uint32_t> runs{effects.starts.front().order.run, effects.starts.back().order.run};
    EXPECT_EQ(runs.size(), 1U);
}

// The limit was not checked between two steps, and a gang was added to a full link when the last task of the
// step before it had just reached the limit.
TEST(shard_open_starts, a_gang_of_the_same_job_does_not_start_beyond_the_limit)
{
    job_spec job = small_job(1, 10, 2);
    job.steps[1].gang = true;
    limited_core owner(job, 10 * start_bytes);
    EXPECT_EQ(owner.step(now_ms).starts.size(), 10U);
}

// Guards against a full link of this host that keeps tasks away from workers which are idle.
TEST(shard_open_starts, a_start_that_was_not_sent_says_nothing_about_its_worker)
{
    limited_core owner(small_job(1, 1), 10 * start_bytes);
    const shard_effects first = owner.step(now_ms);
    ASSERT_EQ(first.starts.size(), 1U);
    owner.answer_starts(first.starts, order_result::not_sent);
    EXPECT_EQ(owner.core.counts().unanswered, 0U);
    EXPECT_EQ(owner.core.counts().rejected, 0U);
    const shard_effects second = owner.step(now_ms);
    ASSERT_EQ(second.starts.size(), 1U);
    EXPECT_EQ(second.starts[0].worker.id, "a");
    EXPECT_GT(second.starts[0].order.run, first.starts[0].order.run);
    EXPECT_TRUE(second.stops.empty());
}

// Guards against a worker that counts as silent, and its runs as lost, because the link of this host was
// full.
TEST(shard_open_starts, a_poll_that_was_not_sent_says_nothing_about_its_worker)
{
    limited_core owner(small_job(1, 1), 10 * start_bytes);
    const shard_effects first = owner.step(now_ms);
    ASSERT_EQ(first.starts.size(), 1U);
    owner.answer_starts(first.starts, order_result::ok);
    owner.core.on_poll("a", now_ms, false, {.outcome = order_result::not_sent}, now_ms);
    EXPECT_EQ(owner.core.runs(), 1U);
    owner.core.add_job(small_job(2, 1), 0, now_ms);
    const shard_effects second = owner.step(now_ms);
    ASSERT_EQ(second.starts.size(), 1U);
    EXPECT_EQ(second.starts[0].worker.id, "a");
    EXPECT_EQ(second.starts[0].order.task, task_of(2));
}

// The same with no answer, as the tests above must be able to tell the difference.
TEST(shard_open_starts, a_worker_that_did_not_answer_a_start_gets_no_tasks)
{
    limited_core owner(small_job(1, 1), 10 * start_bytes);
    const shard_effects first = owner.step(now_ms);
    ASSERT_EQ(first.starts.size(), 1U);
    owner.answer_starts(first.starts, order_result::no_answer);
    owner.core.add_job(small_job(2, 1), 0, now_ms);
    EXPECT_TRUE(owner.step(now_ms).starts.empty());
}

}  // namespace waxwingnotch
