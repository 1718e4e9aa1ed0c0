/// Tests of jobs whose records, or whose progress, an owner cannot decode.
#include "fakes/fake_store.hpp"
#include "loaded_core.hpp"

#include "waxwingnotch/shard/shard_owner.hpp"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace waxwingnotch {
namespace {

constexpr std::int64_t start_ms = 100;
constexpr std::int64_t long_after_ms = 400'000;  // all retention times have passed

/// A record without its last byte.
std::string cut(std::string bytes)
{
    bytes.pop_back();
    return bytes;
}

/// Bytes of a task as a version would write them that knows more phases.
std::string with_unknown_phase(const occurrence_progress& progress)
{
    std::string bytes = encode_progress(progress);
    const std::size_t at =
        bytes.find(std::string("\x01\x00\x01\x81", 4));  // run 1, no failure, active, a run
    bytes[at + 2] = 0x0b;
    return bytes;
}

/// One step of @p tasks tasks, of which the first is at work on worker `a` as run 1.
occurrence_progress at_work(std::size_t tasks)
{
    occurrence_progress progress;
    progress.steps.emplace_back(tasks);
    progress.steps[0][0] = {.phase = task_phase::active, .last_run = 1, .runs = {{1, {"a", 5}}}};
    return progress;
}

const std::string id = id_of(1);
const std::string progress_key = id + ".0";
const std::string task = id + ".0.0.0";
const ended_row done_end{.number = 1, .task = task, .run = 1, .kind = end_kind::done};

/// A core that is loaded from records in a map, which receives its writes.
class unreadable_jobs : public testing::Test {
protected:
    using store = std::map<std::string, std::string>;

    /// Takes the shard over. The last writes of the core before are in `progress`.
    void take_over(std::int64_t now_ms)
    {
        core = std::make_unique<shard_core>(shard_options{.shard = 3, .epoch = ++epoch_});
        core->set_config(shard_world::config());
        for (const char* worker : {"a", "b"}) {
            core->put_worker(loaded_core::entry(worker), now_ms);
        }
        for (const auto& [key, bytes] : progress) {
            core->load_progress(key, bytes);
        }
        core->tick(now_ms, now_ms);
        if (job) {
            core->add_job(*job, 0, now_ms);
        }
        else {
            core->add_unreadable_job(id, now_ms);
        }
        core->finish_load(now_ms);
        core->on_owner_stored();
    }

    /// Lets the workers answer, and executes the effects.
    void round(std::int64_t now_ms, const std::vector<running_row>& running = {},
               const std::vector<ended_row>& ended = {})
    {
        for (const char* worker : {"a", "b"}) {
            const bool first = worker == std::string("a");
            core->on_poll(worker, now_ms, false,
                          {.outcome = order_result::ok,
                           .clock_ms = now_ms,
                           .started_ms = 5,
                           .running = first ? running : std::vector<running_row>(),
                           .ended = first ? ended : std::vector<ended_row>()},
                          now_ms);
        }
        core->tick(now_ms, now_ms);
        apply(now_ms);
        apply(now_ms);
    }

    void apply(std::int64_t now_ms)
    {
        const shard_effects effects = core->take_effects(now_ms);
        for (const auto& [key, bytes] : effects.writes) {
            if (bytes) {
                progress[key] = *bytes;
            }
            else {
                progress.erase(key);
            }
        }
        if (effects.batch != 0) {
            core->on_stored(effects.batch, now_ms);
        }
        starts += effects.starts.size();
        stops += effects.stops.size();
        forgotten.insert(forgotten.end(), effects.forget.begin(), effects.forget.end());
    }

    std::unique_ptr<shard_core> core;
    std::optional<job_spec> job;  // none: its record cannot be decoded
    store progress;
    std::size_t starts = 0;
    std::size_t stops = 0;
    std::vector<std::string> forgotten;

private:
    std::int64_t epoch_ = 6;
};

// The progress of a job whose record could not be decoded was deleted as an orphan, and its runs were
// stopped.
TEST_F(unreadable_jobs, without_a_readable_record_keep_their_progress_and_their_runs)
{
    progress[progress_key] = encode_progress(at_work(2));
    const store before = progress;
    take_over(start_ms);
    for (std::int64_t now = start_ms + 50; now < long_after_ms; now += 1'000) {
        round(now, {{task, 1, "", 10, 0}});
        ASSERT_EQ(core->state_of(id), job_state::running);
    }
    EXPECT_EQ(progress, before);
    EXPECT_EQ(starts + stops, 0U);
    EXPECT_TRUE(forgotten.empty());
    EXPECT_EQ(core->counts().records_unreadable, 1U);
}

// The end of such a run was acknowledged and not stored, so the task would run again.
TEST_F(unreadable_jobs, without_a_readable_record_keep_the_ends_of_their_runs)
{
    progress[progress_key] = encode_progress(at_work(2));
    take_over(start_ms);
    round(start_ms + 50, {{task, 1, "", 10, 0}});
    round(start_ms + 100, {}, {done_end});
    EXPECT_EQ(core->state_of(id), job_state::running);
    EXPECT_EQ(decode_progress(progress[progress_key]).value().steps[0][0].phase, task_phase::done);
    job = shard_world::job(id, 2);  // an owner that can decode the record goes on
    take_over(start_ms + 200);
    round(start_ms + 250);
    round(start_ms + 300);
    EXPECT_EQ(starts, 1U);
    EXPECT_EQ(core->report_task(task, 1).state, task_state::done);
}

// The job started anew, with empty progress, beside the runs of before.
TEST_F(unreadable_jobs, with_unreadable_progress_start_nothing_and_keep_it)
{
    job = shard_world::job(id, 3);
    const std::string whole = encode_progress(at_work(3));
    for (const std::string& bytes : {cut(whole), with_unknown_phase(at_work(3)), encode_progress(at_work(2)),
                                     std::string("\xff\x00", 2), std::string()}) {
        progress = {{progress_key, bytes}};
        take_over(start_ms);
        for (std::int64_t now = start_ms + 50; now < start_ms + 60'000; now += 500) {
            round(now, {{task, 1, "", 10, 0}});
            ASSERT_EQ(core->state_of(id), job_state::running);
            ASSERT_EQ(progress[progress_key], bytes);
            ASSERT_LE(progress.size(), 2U);  // and notes about the run
        }
        EXPECT_EQ(starts + stops, 0U);
        EXPECT_EQ(core->counts().records_unreadable, 1U);
    }
}

// The same with each record of progress in which one byte is damaged so that it cannot be decoded.
TEST_F(unreadable_jobs, with_any_damaged_byte_in_their_progress_start_nothing_and_keep_it)
{
    job = shard_world::job(id, 2);
    const std::string whole = encode_progress(at_work(2));
    int unreadable = 0;
    for (std::size_t at = 0; at < whole.size(); ++at) {
        for (int value = 0; value < 256; ++value) {
            std::string bytes = whole;
            bytes[at] = static_cast<char>(value);
            const auto decoded = decode_progress(bytes);
            const bool usable =
                decoded && decoded.value().steps.size() == 1 && decoded.value().steps[0].size() == 2;
            if (usable) {
                continue;
            }
            ++unreadable;
            progress = {{progress_key, bytes}};
            take_over(start_ms);
            for (const std::int64_t now : {start_ms + 50, start_ms + 100, start_ms + 40'000}) {
                round(now, {{task, 1, "", 10, 0}});
            }
            ASSERT_EQ(progress[progress_key], bytes);
            ASSERT_EQ(starts + stops, 0U);
            ASSERT_EQ(core->state_of(id), job_state::running);
        }
    }
    EXPECT_GT(unreadable, 1'000);
}

// What ended while the progress could not be decoded was forgotten, and ran again once it could be.
TEST_F(unreadable_jobs, with_unreadable_progress_end_their_runs_for_the_next_version)
{
    job = shard_world::job(id, 2);
    const std::string bytes = with_unknown_phase(at_work(2));
    progress[progress_key] = bytes;
    take_over(start_ms);
    round(start_ms + 50, {{task, 1, "", 10, 0}});
    round(start_ms + 100, {}, {done_end});
    take_over(start_ms + 200);  // an owner of the same version
    round(start_ms + 250);
    EXPECT_EQ(progress[progress_key], bytes);
    EXPECT_EQ(starts, 0U);
    progress[progress_key] = encode_progress(at_work(2));  // one of the version that can decode it
    take_over(start_ms + 300);
    round(start_ms + 350);
    round(start_ms + 400);
    EXPECT_EQ(starts, 1U);
    EXPECT_EQ(core->report_task(task, 1).state, task_state::done);
    EXPECT_EQ(progress.size(), 1U);
}

// A run that failed meanwhile counts as an attempt.
TEST_F(unreadable_jobs, with_unreadable_progress_count_the_failures)
{
    job = shard_world::job(id, 1);
    progress[progress_key] = with_unknown_phase(at_work(1));
    take_over(start_ms);
    round(start_ms + 50, {{task, 1, "", 10, 0}});
    ended_row failure = done_end;
    failure.kind = end_kind::failed;
    round(start_ms + 100, {}, {failure});
    round(start_ms + 5'000);
    EXPECT_EQ(starts, 0U);
    progress[progress_key] = encode_progress(at_work(1));
    take_over(start_ms + 6'000);
    apply(start_ms + 6'000);
    EXPECT_EQ(decode_progress(progress[progress_key]).value().steps[0][0].failures, 1U);
}

// The other repeats of a job start nothing either, but their runs go on.
TEST_F(unreadable_jobs, with_one_unreadable_repeat_start_none)
{
    job = shard_world::job(id, 2);
    job->repeat_count = 3;
    job->first_ms = start_ms;
    job->interval_ms = 10;
    progress[progress_key] = cut(encode_progress(at_work(2)));
    progress[id + ".1"] = encode_progress(at_work(2));
    const store before = progress;
    take_over(start_ms + 1'000);
    for (std::int64_t now = start_ms + 1'050; now < start_ms + 50'000; now += 500) {
        round(now, {{task, 1, "", 10, 0}, {id + ".1.0.0", 1, "", 10, 0}});
    }
    EXPECT_EQ(starts + stops, 0U);
    EXPECT_EQ(progress[progress_key], before.at(progress_key));
    EXPECT_EQ(progress[id + ".1"], before.at(id + ".1"));
}

// A job that starts nothing would never end: a cancel still ends it, and deletes its records in the end.
TEST_F(unreadable_jobs, with_unreadable_progress_can_be_cancelled)
{
    job = shard_world::job(id, 2);
    progress[progress_key] = cut(encode_progress(at_work(2)));
    take_over(start_ms);
    round(start_ms + 50, {{task, 1, "", 10, 0}});
    core->cancel_job(id, start_ms + 100);
    EXPECT_EQ(core->state_of(id), job_state::cancelled);
    round(start_ms + 150, {{task, 1, "", 10, 0}});
    EXPECT_EQ(stops, 1U);
    ended_row stopped = done_end;
    stopped.kind = end_kind::stopped;
    round(start_ms + 200, {}, {stopped});
    round(long_after_ms);
    EXPECT_EQ(forgotten, std::vector<std::string>{id});
    core->remove_job(id);
    apply(long_after_ms + 50);
    EXPECT_TRUE(progress.empty());
}

// A cancel of a job without a readable record shows, stops its runs, and leaves its records as they are.
TEST_F(unreadable_jobs, without_a_readable_record_can_be_cancelled)
{
    progress[progress_key] = encode_progress(at_work(2));
    take_over(start_ms);
    round(start_ms + 50, {{task, 1, "", 10, 0}});
    core->cancel_job(id, start_ms + 100);
    EXPECT_EQ(core->state_of(id), job_state::cancelled);
    apply(start_ms + 100);
    EXPECT_EQ(stops, 1U);
    ended_row stopped = done_end;
    stopped.kind = end_kind::stopped;
    round(start_ms + 200, {}, {stopped});
    round(long_after_ms);
    EXPECT_TRUE(forgotten.empty());
    EXPECT_TRUE(progress.contains(progress_key));
}

// A job whose record another version has deleted stayed for ever.
TEST_F(unreadable_jobs, without_a_readable_record_are_forgotten_when_that_is_deleted)
{
    progress[progress_key] = encode_progress(at_work(2));
    take_over(start_ms);
    round(start_ms + 50, {}, {done_end});
    core->remove_job(id);
    apply(start_ms + 100);
    EXPECT_EQ(core->state_of(id), std::nullopt);
    EXPECT_TRUE(progress.empty());
}

// No other task fits a worker that has a run of which nobody knows what it takes.
TEST_F(unreadable_jobs, without_a_readable_record_keep_their_workers)
{
    progress[progress_key] = encode_progress(at_work(2));
    take_over(start_ms);
    job_spec other = shard_world::job(id_of(2), 40);
    core->add_job(other, 0, start_ms);
    round(start_ms + 50, {{task, 1, "", 10, 0}});
    round(start_ms + 100, {{task, 1, "", 10, 0}});
    EXPECT_GT(starts, 0U);
    EXPECT_TRUE(core->drain_of("a", start_ms + 100).runs == 1U);
    const service_demand demand = core->demand_of("svc");
    EXPECT_LE(demand.running_cpu_milli, 2 * loaded_core::entry("a").capacity.cpu_milli);
}

// A decision that cannot be decoded was taken for none: the job was decided anew, and could run in two
// shards.
TEST_F(unreadable_jobs, with_an_unreadable_decision_are_not_decided_anew)
{
    job = shard_world::job(id, 2);
    job->shard = 4;
    const std::string route = cut(encode_route({.shard = 3, .service = "svc", .queue = "q"}));
    progress[rerouted_key(id)] = route;
    take_over(start_ms);
    const shard_effects effects = core->take_effects(start_ms + 50);
    EXPECT_TRUE(effects.forwards.empty());
    EXPECT_EQ(core->state_of(id), job_state::running);
    round(long_after_ms);
    EXPECT_EQ(progress[rerouted_key(id)], route);
    EXPECT_TRUE(forgotten.empty());
}

// A rerouted job whose record cannot be decoded was taken for one that is being deleted, and its records
// were.
TEST_F(unreadable_jobs, with_a_decision_are_not_deleted)
{
    progress[rerouted_key(id)] = encode_route({.shard = 4, .service = "other", .queue = "q"});
    const store before = progress;
    take_over(start_ms);
    round(long_after_ms);
    EXPECT_EQ(core->state_of(id), job_state::running);
    EXPECT_EQ(progress, before);
    EXPECT_TRUE(forgotten.empty());
}

// The owner skipped a stored record that it could not decode, and said that there was no such job.
TEST(unreadable_job_records, are_jobs_to_the_owner)
{
    event_loop loop;
    fake_store store(loop);
    append_request request{.topic = jobs_topic, .partition = 0};
    request.records.push_back({.key = id, .value = cut(encode_job(shard_world::job(id, 2))), .offset = -1});
    request.records.push_back({.key = "not an id", .value = "x", .offset = -1});
    store.append(request, [](const append_result&) {});
    shard_owner owner({.loop = &loop, .store = &store, .address = "node"}, 0, {.epoch = 1},
                      [] { FAIL() << "the owner was replaced"; });
    owner.set_config(shard_world::config());
    owner.start();
    const timer check = loop.every(5, [&] {
        if (owner.loaded()) {
            loop.stop();
        }
    });
    const timer timeout = loop.after(10'000, [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(owner.core().state_of(id), job_state::running);
    EXPECT_EQ(owner.core().jobs(), 1U);
}

}  // namespace
}  // namespace waxwingnotch
