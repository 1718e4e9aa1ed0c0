/// Tests of job specifications, progress and their records.
#include "waxwingnotch/job/progress.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <string>
#include <vector>

namespace waxwingnotch {
namespace {

job_spec valid_job()
{
    job_spec job;
    job.id = "0123456789abcdef";
    job.queue = "q";
    job.service = "svc";
    job.payload = "payload";
    job.steps.resize(2);
    job.steps[0].task_count = 3;
    job.steps[1].depends_on = {0};
    return job;
}

TEST(job, accepts_a_valid_job)
{
    EXPECT_EQ(validate(valid_job()), "");
}

TEST(job, rejects_invalid_jobs_with_a_description)
{
    job_spec job = valid_job();
    job.steps[0].depends_on = {1};
    EXPECT_NE(validate(job).find("step 0 depends on step 1"), std::string::npos);
    job = valid_job();
    job.steps[1].depends_on = {1};
    EXPECT_NE(validate(job), "");
    job = valid_job();
    job.steps.clear();
    EXPECT_NE(validate(job), "");
    job = valid_job();
    job.steps[0].task_count = 0;
    EXPECT_NE(validate(job), "");
    job = valid_job();
    job.payload.assign(4'001, 'x');
    EXPECT_NE(validate(job), "");
    job = valid_job();
    job.steps[0].need.cpu_milli = -1;
    EXPECT_NE(validate(job), "");
}

// 16,000 steps with 10,000 tasks each fit into one submission; its owner took 13 GB and was killed, and so
// was the next one.
TEST(job, limits_the_tasks_of_all_steps)
{
    job_spec job = valid_job();
    job.steps[0].task_count = 3'000;
    job.steps[1].task_count = 1'000;
    EXPECT_EQ(validate(job), "");
    job.steps[1].task_count = 1'001;
    EXPECT_NE(validate(job).find("4001 tasks"), std::string::npos);
    job = valid_job();
    job.steps.assign(max_steps + 1, {});
    EXPECT_NE(validate(job), "");
}

// The record of a job with 10,000 tasks at work was longer than the store takes, and its refusal was taken
// for the loss of the shard.
TEST(job, progress_of_the_largest_job_fits_into_a_record)
{
    constexpr std::size_t record_bytes = 262'144;
    job_spec job = valid_job();
    job.steps.resize(1);
    job.steps[0].task_count = max_tasks;
    ASSERT_EQ(validate(job), "");
    occurrence_progress progress = make_occurrence(job);
    for (task_progress& task : progress.steps[0]) {
        task.phase = task_phase::active;
        task.last_run = 12;
        task.runs = {{12, {"i-7f3a91c2", 1'700'000'000'000}, false}};
        task.checkpoint = "00000bb87a21d94b";
        for (std::uint32_t run = 1; run <= 9; ++run) {
            add_given_up(task, run);
        }
        ASSERT_EQ(task.given_up.size(), max_given_up_runs);
    }
    EXPECT_LT(encode_progress(progress).size(), record_bytes);
}

// A job that was accepted under the limits of an earlier version is not lost.
TEST(job, a_stored_job_beyond_the_limit_of_submissions_is_read)
{
    job_spec job = valid_job();
    job.steps[0].task_count = 10'000;
    job.steps[1].task_count = 10'000;
    EXPECT_NE(validate(job), "");
    const auto read = decode_job(encode_job(job));
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().tasks(), 20'000U);
    job.steps.resize(11, job.steps[0]);
    for (step_spec& step : job.steps) {
        step.task_count = 10'000;
    }
    EXPECT_FALSE(decode_job(encode_job(job)));
}

TEST(progress, a_record_that_is_nested_deeply_or_has_an_unknown_phase_is_refused)
{
    EXPECT_FALSE(decode_progress(std::string(200'000, '\x81') + '\0'));
    EXPECT_FALSE(decode_job(std::string(200'000, '\x81') + '\0'));
    // One task: last run 1, no failures, phase 9, no runs, no checkpoint.
    EXPECT_FALSE(decode_progress("\x81\x81\x85\x01" + std::string(1, '\0') + "\x09\x80\x60"));
    EXPECT_TRUE(decode_progress("\x81\x81\x85\x01" + std::string(1, '\0') + "\x01\x80\x60"));
}

// An earlier version that reads the record would take a crash for what is none, or not read the job at all.
TEST(progress, given_up_runs_stand_behind_the_fields_that_earlier_versions_read)
{
    occurrence_progress progress{{{{.phase = task_phase::waiting, .last_run = 7}}}};
    const std::string without = encode_progress(progress);
    add_given_up(progress.steps[0][0], 3);
    const nlohmann::json row = nlohmann::json::from_cbor(encode_progress(progress))[0][0];
    EXPECT_EQ(row, nlohmann::json::parse(R"([7, 0, 0, [], "", [0, 0, false], [4]])"));
    EXPECT_TRUE(remove_given_up(progress.steps[0][0], 3));
    EXPECT_FALSE(remove_given_up(progress.steps[0][0], 3));
    EXPECT_EQ(encode_progress(progress), without);
}

TEST(progress, a_given_up_run_without_a_number_is_refused)
{
    const auto record = [](const char* row) {
        const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(nlohmann::json::parse(row));
        return std::string(bytes.begin(), bytes.end());
    };
    EXPECT_TRUE(decode_progress(record(R"([[[7, 0, 0, [], "", [0, 0, false], [6]]]])")));
    EXPECT_FALSE(decode_progress(record(R"([[[7, 0, 0, [], "", [0, 0, false], [7]]]])")));
    EXPECT_FALSE(decode_progress(record(R"([[[7, 0, 0, [], "", [0, 0, false], [-1]]]])")));
    EXPECT_FALSE(decode_progress(record(R"([[[7, 0, 0, [], "", [0, 0, false], ["6"]]]])")));
}

TEST(job, checks_the_form_of_an_id)
{
    EXPECT_TRUE(is_job_id("0123456789abcdef"));
    EXPECT_FALSE(is_job_id("0123456789abcde"));
    EXPECT_FALSE(is_job_id("0123456789abcdeg"));
}

TEST(job, matches_the_queue_with_the_longest_path_prefix)
{
    cluster_config config;
    config.queues = {{.name = "short", .host = "h", .path_prefix = "/a/"},
                     {.name = "long", .host = "h", .path_prefix = "/a/b/"},
                     {.name = "other", .host = "i", .path_prefix = "/"}};
    EXPECT_EQ(config.match("h", "/a/b/1")->name, "long");
    EXPECT_EQ(config.match("h", "/a/c")->name, "short");
    EXPECT_EQ(config.match("i", "/x")->name, "other");
    EXPECT_EQ(config.match("h", "/x"), nullptr);
}

// A queue may lead to a service that the list does not name; its jobs need a shard as well.
TEST(job, names_the_services_of_queues_too)
{
    cluster_config config;
    config.services = {{"b"}, {"c"}};
    config.queues = {{.name = "q", .service = "a"}, {.name = "r", .service = "c"}};
    EXPECT_EQ(config.service_names(), (std::vector<std::string>{"a", "b", "c"}));
}

TEST(job, a_task_name_round_trips)
{
    const task_name name{"0123456789abcdef", 4, 1, 17};
    EXPECT_EQ(to_string(name), "0123456789abcdef.4.1.17");
    const auto read = parse_task_name(to_string(name));
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().index, 17U);
    EXPECT_FALSE(parse_task_name("x.1.2"));
    EXPECT_FALSE(parse_task_name("x.1.2.3.4"));
    EXPECT_FALSE(parse_task_name(".1.2.3"));
    EXPECT_FALSE(parse_task_name("x.1.b.3"));
    EXPECT_FALSE(parse_task_name(""));
}

TEST(job, malformed_records_are_an_error)
{
    EXPECT_FALSE(decode_job("nonsense"));
    EXPECT_FALSE(decode_progress("\xff\xff"));
    EXPECT_FALSE(decode_job(encode_progress(make_occurrence(valid_job()))));
}

RC_GTEST_PROP(job, a_job_record_round_trips, ())
{
    job_spec job = valid_job();
    step_spec& step = job.steps[0];
    step.need = {*rc::gen::inRange<std::int64_t>(0, 100'000), *rc::gen::inRange<std::int64_t>(0, 100'000), 2};
    step.gang = *rc::gen::arbitrary<bool>();
    step.uses_spare_cpu = *rc::gen::arbitrary<bool>();
    step.long_running = *rc::gen::arbitrary<bool>();
    step.speculative = *rc::gen::arbitrary<bool>();
    step.checkpointing = *rc::gen::arbitrary<bool>();
    step.same_rack = *rc::gen::arbitrary<bool>();
    if (*rc::gen::arbitrary<bool>()) {
        step.max_unavailable = *rc::gen::inRange<std::uint32_t>(0, 9);
    }
    job.repeat_count = *rc::gen::inRange<std::uint32_t>(0, 9);
    job.has_home = *rc::gen::arbitrary<bool>();
    job.handed_over = job.has_home && *rc::gen::arbitrary<bool>();
    if (job.handed_over) {
        job.progress = {{0, encode_progress(make_occurrence(job))}, {3, std::string("\0\xff", 2)}};
    }
    if (job.has_home && *rc::gen::arbitrary<bool>()) {
        job.terms = queue_terms{.target_ms = 600, .stretch = 2.2, .priority = 1};
        job.terms->needs_advice = *rc::gen::arbitrary<bool>();
        job.terms->advice_call_ms = job.terms->needs_advice ? 100 : 0;
    }
    const auto read = decode_job(encode_job(job));
    RC_ASSERT(read.has_value());
    RC_ASSERT(read.value().terms == job.terms);
    RC_ASSERT(read.value().has_home == job.has_home);
    RC_ASSERT(read.value().handed_over == job.handed_over);
    RC_ASSERT(read.value().progress == job.progress);
    RC_ASSERT(encode_job(read.value()) == encode_job(job));
    RC_ASSERT(read.value().steps[0].max_unavailable == step.max_unavailable);
    RC_ASSERT(read.value().steps[0].gang == step.gang);
    RC_ASSERT(read.value().steps[1].depends_on == job.steps[1].depends_on);
}

RC_GTEST_PROP(job, a_progress_record_round_trips, ())
{
    occurrence_progress progress = make_occurrence(valid_job());
    for (auto& tasks : progress.steps) {
        for (task_progress& task : tasks) {
            const int phase = *rc::gen::inRange(0, 4);
            task.phase = static_cast<task_phase>(phase);
            task.last_run = *rc::gen::inRange<std::uint32_t>(phase == 0 ? 0 : 1, 5);
            task.failures = *rc::gen::inRange<std::uint32_t>(0, 4);
            if (task.phase == task_phase::active) {
                task.runs.push_back({task.last_run,
                                     {"worker", *rc::gen::inRange<std::int64_t>(0, 1'000)},
                                     *rc::gen::arbitrary<bool>()});
            }
            if (task.phase != task_phase::done) {
                task.crashes = {*rc::gen::inRange<std::uint32_t>(0, 3),
                                *rc::gen::inRange<std::uint32_t>(0, 2), *rc::gen::arbitrary<bool>(),
                                *rc::gen::inRange<std::uint32_t>(0, 3)};
                for (std::uint32_t run = 1; run <= task.last_run; ++run) {
                    if (*rc::gen::arbitrary<bool>()) {
                        add_given_up(task, run);
                    }
                }
            }
            task.checkpoint =
                task.phase == task_phase::done ? "" : *rc::gen::element<std::string>("", "0000beef");
        }
    }
    const auto read = decode_progress(encode_progress(progress));
    RC_ASSERT(read.has_value());
    RC_ASSERT(read.value() == progress);
}

TEST(job, corrupt_records_do_not_crash)
{
    const std::string valid = encode_job(valid_job());
    for (std::size_t index = 0; index < valid.size(); ++index) {
        for (const int change : {1, 0x20, 0x80}) {
            std::string bytes = valid;
            bytes[index] = static_cast<char>(bytes[index] ^ change);
            (void)decode_job(bytes);
            (void)decode_progress(bytes);
            (void)decode_job(std::string_view(bytes).substr(0, index));
        }
    }
}

}  // namespace
}  // namespace waxwingnotch
