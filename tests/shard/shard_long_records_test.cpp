/// Progress that is longer than a record of the store, and records that the store does not take.
#include "loaded_core.hpp"
#include "shard_world.hpp"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace waxwingnotch {
namespace {

constexpr std::size_t record_bytes = 262'144;
constexpr int tasks = 2'000;
constexpr std::size_t checkpoint_bytes = 250;

task_progress running_on(const std::string& worker)
{
    return {.phase = task_phase::active, .last_run = 1, .runs = {{1, {worker, 5}}}};
}

std::vector<running_row> rows_of(const std::string& id, int count, std::size_t bytes)
{
    std::vector<running_row> rows;
    rows.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        rows.push_back({.task = id + ".0.0." + std::to_string(index),
                        .run = 1,
                        .checkpoint = std::string(bytes, 'c'),
                        .percent = 10});
    }
    return rows;
}

std::map<std::string, std::string> writes_of(shard_core& core, std::int64_t now_ms)
{
    std::map<std::string, std::string> written;
    shard_effects effects = core.take_effects(now_ms);
    for (auto& [key, value] : effects.writes) {
        written[key] = value.value_or("");
    }
    return written;
}

// The checkpoints of 2,000 tasks made the record of their progress longer than the store takes, and its
// refusal stopped all jobs of the shard. See review/6.
TEST(shard_long_records, checkpoints_of_many_tasks_are_stored_in_several_records)
{
    const job_spec job = shard_world::job(id_of(1), tasks);
    loaded_core owner(job, std::vector<task_progress>(tasks, running_on("a")));
    std::vector<running_row> rows = rows_of(job.id, tasks, checkpoint_bytes);
    const std::string ended = rows.back().task;
    rows.pop_back();
    owner.answer("a", rows, {}, 200);
    owner.answer("a", rows, {{.number = 1, .task = ended, .run = 1, .kind = end_kind::done}}, 300);
    const std::map<std::string, std::string> written = writes_of(owner.core, 300);
    ASSERT_GT(written.size(), 1U);
    shard_core next({.shard = 3, .epoch = 8});
    next.set_config(shard_world::config());
    std::size_t longest = 0;
    for (const auto& [key, bytes] : written) {
        longest = std::max(longest, key.size() + bytes.size() + 1);
        next.load_progress(key, bytes);
    }
    EXPECT_LE(longest, record_bytes);
    next.put_worker(loaded_core::entry("a"), 400);
    next.tick(400, 400);
    next.add_job(job, 0, 400);
    next.finish_load(400);
    EXPECT_EQ(next.runs(), static_cast<std::size_t>(tasks - 1));
    EXPECT_EQ(next.report_task(ended, 1).state, task_state::done);
    EXPECT_EQ(next.report_task(rows[7].task, 1).state, task_state::active);
    EXPECT_EQ(next.counts().records_unreadable, 0U);
}

// A change of one task wrote the progress of all tasks of the job, and filled the link of a small host.
TEST(shard_long_records, an_end_writes_only_the_record_of_its_task)
{
    const job_spec job = shard_world::job(id_of(1), tasks);
    loaded_core owner(job, std::vector<task_progress>(tasks, running_on("a")));
    std::vector<running_row> rows = rows_of(job.id, tasks, checkpoint_bytes);
    std::vector<ended_row> ends;
    for (int end = 1; end <= 2; ++end) {
        ends.push_back({.number = end, .task = rows.back().task, .run = 1, .kind = end_kind::done});
        rows.pop_back();
        owner.answer("a", rows, ends, 200 + end);
        const std::map<std::string, std::string> written = writes_of(owner.core, 200 + end);
        if (end == 2) {
            ASSERT_EQ(written.size(), 1U);
            EXPECT_LT(written.begin()->second.size(), 20'000U);
        }
    }
}

TEST(shard_long_records, a_checkpoint_that_no_record_holds_is_not_kept)
{
    const job_spec job = shard_world::job(id_of(1), 1);
    loaded_core owner(job, {running_on("a")});
    owner.answer("a", rows_of(job.id, 1, 16), {}, 200);
    owner.answer("a", rows_of(job.id, 1, record_bytes), {}, 300);
    EXPECT_EQ(owner.core.counts().checkpoints_too_long, 1U);
    owner.answer("a", {}, {{.number = 1, .task = task_of(1), .run = 1, .kind = end_kind::failed}}, 400);
    for (const auto& [key, bytes] : writes_of(owner.core, 400)) {
        EXPECT_LT(bytes.size(), 1'000U);
        EXPECT_NE(bytes.find(std::string(16, 'c')), std::string::npos);  // it goes on from the shorter one
    }
}

// One record that the store refuses ended the owner of the shard, and each one after it.
TEST(shard_long_records, a_refused_record_stops_only_its_job)
{
    loaded_core owner(task_progress{});
    owner.core.add_job(shard_world::job(id_of(2), 1), 0, 150);
    owner.answer("a", {}, {}, 200);
    shard_effects effects = owner.core.take_effects(200);
    ASSERT_NE(effects.batch, 0U);
    owner.core.on_record_refused(id_of(1) + ".0", 210);
    owner.core.on_stored(effects.batch, 210);
    effects = owner.core.take_effects(210);
    ASSERT_EQ(effects.starts.size(), 1U);
    EXPECT_EQ(effects.starts[0].order.task, task_of(2));
    EXPECT_EQ(owner.core.counts().records_refused, 1U);
    // It is not tried again.
    owner.core.tick(1'000, 1'000);
    EXPECT_TRUE(owner.step(1'000).starts.empty());
}

// The worker forgot an end that is in no record, and the next owner started the task again.
TEST(shard_long_records, an_end_in_a_refused_record_is_not_acknowledged)
{
    loaded_core owner(running_on("a"));
    const std::vector<ended_row> ends = {{.number = 1, .task = task_of(1), .run = 1, .kind = end_kind::done},
                                         {.number = 2, .task = task_of(2), .run = 1, .kind = end_kind::done}};
    owner.answer("a", {}, ends, 200);
    shard_effects effects = owner.core.take_effects(200);
    ASSERT_NE(effects.batch, 0U);
    owner.core.on_record_refused(id_of(1) + ".0", 210);
    owner.core.on_stored(effects.batch, 210);
    for (const std::int64_t now_ms : {210, 700, 1'500}) {
        owner.core.tick(now_ms, now_ms);
        for (const poll_effect& poll : owner.core.take_effects(now_ms).polls) {
            EXPECT_EQ(poll.order.acknowledged_end, 0) << now_ms;
        }
        owner.answer("a", {}, ends, now_ms);
    }
}

}  // namespace
}  // namespace waxwingnotch
