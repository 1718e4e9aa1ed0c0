#include "waxwingnotch/job/progress_parts.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>

namespace waxwingnotch {
namespace {

using records = std::map<std::string, std::string>;

const std::string key = "5c0e7a21d94b36f8.0";
constexpr std::size_t part_bytes = 2'000;

occurrence_progress waiting(const std::vector<std::size_t>& counts)
{
    occurrence_progress progress;
    for (const std::size_t count : counts) {
        progress.steps.emplace_back(count);
    }
    return progress;
}

task_progress at_work(std::size_t checkpoint_bytes, std::uint32_t run = 1)
{
    return {.phase = task_phase::active,
            .last_run = run,
            .runs = {{run, {"i-7f3a91c2", 1'700'000'000'000}, false}},
            .checkpoint = std::string(checkpoint_bytes, 'c')};
}

TEST(progress_parts, a_short_progress_is_one_record_as_earlier_versions_store_it)
{
    const occurrence_progress progress{{{at_work(16), {}}, {{}}}};
    progress_parts parts;
    const records written = encode_changed_parts(progress, key, parts, part_bytes);
    EXPECT_EQ(written, (records{{key, encode_progress(progress)}}));
    EXPECT_TRUE(encode_changed_parts(progress, key, parts, part_bytes).empty());
}

// A change of one task wrote the checkpoints of all tasks of the occurrence.
TEST(progress_parts, only_the_part_of_a_changed_task_is_written)
{
    occurrence_progress progress = waiting({100, 60});
    for (std::vector<task_progress>& tasks : progress.steps) {
        tasks.assign(tasks.size(), at_work(250));
    }
    progress_parts parts;
    records stored = encode_changed_parts(progress, key, parts, part_bytes);
    EXPECT_GT(stored.size(), 16U);
    progress.steps[1][3].phase = task_phase::done;
    parts.mark(number_of_task(progress, 1, 3));
    const records written = encode_changed_parts(progress, key, parts, part_bytes);
    EXPECT_EQ(written.size(), 1U);
    stored.insert_or_assign(written.begin()->first, written.begin()->second);
    const auto joined = join_parts(stored, key);
    ASSERT_TRUE(joined);
    EXPECT_EQ(joined.value().progress.steps[1][3].phase, task_phase::done);
    EXPECT_EQ(joined.value().parts.firsts, parts.firsts);
}

// An earlier version must not take the first part for the whole progress and run the other tasks again: it
// holds a job whose progress has another shape.
TEST(progress_parts, the_first_part_has_fewer_tasks_than_the_occurrence)
{
    occurrence_progress progress = waiting({1, 1, 1, 1, 1, 1, 1, 1, 1, 1});
    for (std::vector<task_progress>& tasks : progress.steps) {
        tasks.front() = at_work(1'900);
    }
    progress_parts parts;
    const records stored = encode_changed_parts(progress, key, parts, part_bytes);
    EXPECT_GT(stored.size(), 1U);
    EXPECT_LT(decode_progress(stored.at(key)).value().steps.size(), 10U);
}

TEST(progress_parts, a_missing_part_is_an_error)
{
    occurrence_progress progress = waiting({40});
    progress.steps[0].assign(40, at_work(250));
    progress_parts parts;
    records stored = encode_changed_parts(progress, key, parts, part_bytes);
    EXPECT_FALSE(join_parts({}, key));
    stored.erase(std::next(stored.begin()));
    EXPECT_FALSE(join_parts(stored, key));
}

// Tasks that were in neither of the two halves of a part would start again.
RC_GTEST_PROP(progress_parts, no_task_is_lost_when_writes_end_between_two_records, ())
{
    const auto counts = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 40)));
    occurrence_progress progress = waiting(counts);
    progress_parts parts;
    records stored = encode_changed_parts(progress, key, parts, part_bytes);
    const int rounds = *rc::gen::inRange(1, 30);
    for (int round = 0; round < rounds; ++round) {
        const int changes = *rc::gen::inRange(1, 20);
        const occurrence_progress before = progress;
        for (int change = 0; change < changes; ++change) {
            const auto step = *rc::gen::inRange<std::size_t>(0, counts.size());
            const auto index = *rc::gen::inRange<std::size_t>(0, counts[step]);
            task_progress& task = progress.steps[step][index];
            task = at_work(*rc::gen::inRange<std::size_t>(0, 600), task.last_run + 1);
            parts.mark(number_of_task(progress, step, index));
        }
        const records written = encode_changed_parts(progress, key, parts, part_bytes);
        const auto last = *rc::gen::inRange<std::size_t>(0, written.size() + 1);
        std::size_t count = 0;
        for (auto record = written.rbegin(); record != written.rend(); ++record) {
            RC_ASSERT(record->second.size() <= part_bytes);
            if (count++ == last) {
                // The owner ends here, and the next one reads this.
                const auto joined = join_parts(stored, key);
                RC_ASSERT(joined.has_value());
                for (std::size_t step = 0; step < counts.size(); ++step) {
                    RC_ASSERT(joined.value().progress.steps[step].size() == counts[step]);
                    for (std::size_t index = 0; index < counts[step]; ++index) {
                        const task_progress& task = joined.value().progress.steps[step][index];
                        RC_ASSERT(task == before.steps[step][index] || task == progress.steps[step][index]);
                    }
                }
            }
            stored[record->first] = record->second;
        }
        const auto joined = join_parts(stored, key);
        RC_ASSERT(joined.has_value());
        RC_ASSERT(joined.value().progress == progress);
        RC_ASSERT(joined.value().parts.firsts == parts.firsts);
    }
}

}  // namespace
}  // namespace waxwingnotch
