/// Tests of starts of one job that an owner sends through another node, with an in-memory store and workers.
#include "fakes/fake_store.hpp"
#include "fakes/fake_worker.hpp"
#include "started_owner.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/shard/shard_owner.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <set>

namespace waxwingnotch {
namespace {

constexpr std::int64_t test_timeout_ms = 30'000;
constexpr std::int64_t task_ms = 20;
constexpr std::uint32_t task_count = 6;

/// A worker in memory. Keeps the starts and stops in the order in which they arrived.
class recording_workers final : public worker_api {
public:
    struct event {
        std::string call;
        std::string task;
        std::uint32_t run = 0;
        std::int64_t max_wait_ms = 0;
    };

    explicit recording_workers(event_loop& loop) : loop_(loop) {}

    void start(const worker_target& /*target*/, const start_order& order, handler<order_answer> done) override
    {
        events.push_back({"start", order.task, order.run, order.max_wait_ms});
        const order_answer answer = worker.start(order, monotonic_ms(), task_ms, end_kind::done);
        loop_.defer([done, answer] { done(answer); });
    }
    void stop(const worker_target& /*target*/, const stop_order& order, handler<order_answer> done) override
    {
        events.push_back({"stop", order.task, order.run, 0});
        loop_.defer([done, answer = worker.stop(order, monotonic_ms())] { done(answer); });
    }
    void pace(const worker_target& /*target*/, const pace_order& /*order*/,
              handler<order_answer> done) override
    {
        loop_.defer([done] { done({.outcome = order_result::ok}); });
    }
    void poll(const worker_target& /*target*/, const poll_order& order, handler<poll_answer> done) override
    {
        constexpr std::int64_t wait_ms = 5;
        polls_.push_back(
            loop_.after(wait_ms, [this, order, done] { done(worker.poll(order, monotonic_ms())); }));
    }
    std::size_t count(const std::string& call) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(events, [&](const event& item) { return item.call == call; }));
    }

    fake_worker worker;
    std::vector<event> events;

private:
    event_loop& loop_;
    std::vector<timer> polls_;
};

class start_batch_test : public testing::Test {
protected:
    start_batch_test()
    {
        workers.worker.entry = only_worker();
        shard_owner::parts parts{.loop = &loop, .store = &store, .workers = &workers, .address = "node"};
        parts.relay_starts = [this](const start_batch& batch, const batch_handler& done) {
            batches.push_back(batch);
            if (decline_at_once) {
                return false;
            }
            answers_.push_back(loop.after(answer_ms, [batch, done, outcome = outcome] {
                done(batch_outcomes(batch.size(), outcome));
            }));
            outcome = std::nullopt;  // of later batches
            answer_ms = 0;
            return true;
        };
        parts.open_start_limit = [this] {
            return open_start_limit;
        };
        owner = std::make_unique<shard_owner>(std::move(parts), 0, shard_options{.epoch = 1},
                                              [this] { lost = true; });
        start_with_worker(*owner, workers.worker.entry);
    }

    void run_until(const std::function<bool()>& condition)
    {
        const timer check = loop.every(5, [&] {
            if (condition()) {
                loop.stop();
            }
        });
        const timer timeout = loop.after(test_timeout_ms, [this] {
            ADD_FAILURE() << "the test timed out";
            loop.stop();
        });
        loop.run();
    }

    void submit(const std::string& id, std::uint32_t tasks, const std::string& payload)
    {
        job_spec job;
        job.id = id;
        job.queue = "q";
        job.service = "svc";
        job.payload = payload;
        job.steps.push_back({.task_count = tasks, .need = {100, 100, 0}});
        job.accepted_ms = wall_ms();
        store.append({.topic = jobs_topic, .records = {{.key = id, .value = encode_job(job), .offset = -1}}},
                     [](const append_result&) {});
    }
    void run_to_the_end()
    {
        run_until([this] { return owner->core().counts().ends_done == task_count; });
        EXPECT_FALSE(lost);
    }

    event_loop loop;
    fake_store store{loop};
    recording_workers workers{loop};
    std::vector<start_batch> batches;
    std::optional<order_result> outcome;  // of the next batch; nothing: it was not taken
    std::int64_t answer_ms = 0;           // until its answer
    bool decline_at_once = false;
    bool lost = false;
    std::int64_t open_start_limit = 0;
    std::unique_ptr<shard_owner> owner;

private:
    std::vector<timer> answers_;
};

const std::string job_id = "0000000000000010";

TEST_F(start_batch_test, the_starts_of_a_job_travel_as_one_batch)
{
    submit(job_id, task_count, "payload");
    run_to_the_end();
    ASSERT_EQ(batches.size(), 1U);
    EXPECT_EQ(batches[0].size(), task_count);
    std::set<std::string> tasks;
    for (const start_effect& start : batches[0]) {
        tasks.insert(start.order.task);
        EXPECT_EQ(start.order.payload, "payload");
        EXPECT_EQ(start.life_ms, workers.worker.entry.started_ms);
        EXPECT_GT(start.order.lease_until_ms, 0);
    }
    EXPECT_EQ(tasks.size(), task_count);
}

// A node that passes on more than its own link carries in time drops the rest.
TEST_F(start_batch_test, a_batch_of_long_payloads_has_few_starts)
{
    submit(job_id, task_count, std::string(3'500, 'p'));
    run_to_the_end();
    ASSERT_EQ(batches.size(), 2U);
    EXPECT_EQ(batches[0].size(), 3U);
}

TEST_F(start_batch_test, starts_of_different_jobs_do_not_share_a_batch)
{
    submit("0000000000000011", 3, "payload");
    submit("0000000000000012", 3, "payload");
    run_to_the_end();
    for (const start_batch& batch : batches) {
        for (const start_effect& start : batch) {
            EXPECT_EQ(start.order.task.substr(0, job_id.size()),
                      batch[0].order.task.substr(0, job_id.size()));
        }
    }
}

// Starts beyond what the link carries in time count as lost, and how much that is depends on the other nodes.
TEST_F(start_batch_test, no_more_starts_are_open_than_the_node_allows)
{
    open_start_limit = 900;  // below two starts, each counted with 450 bytes beside its payload
    submit(job_id, task_count, "payload");
    run_to_the_end();
    for (const start_batch& batch : batches) {
        EXPECT_LE(batch.size(), 2U);
    }
}

// A start that the other node has passed on, or will, would run beside a second run of its task.
TEST_F(start_batch_test, no_task_of_an_unanswered_batch_starts_again_before_its_stop)
{
    outcome = order_result::no_answer;
    submit(job_id, task_count, "payload");
    run_to_the_end();
    std::set<std::string> stopped;
    for (const auto& event : workers.events) {
        if (event.call == "stop") {
            EXPECT_EQ(event.run, 1U);
            stopped.insert(event.task);
            continue;
        }
        EXPECT_EQ(event.run, 2U) << event.task;
        EXPECT_TRUE(stopped.contains(event.task)) << event.task;
    }
    EXPECT_EQ(stopped.size(), task_count);
    EXPECT_EQ(owner->core().counts().unanswered, task_count);
}

// Guards against a wait for a stop, and a second run number, where nothing was sent.
TEST_F(start_batch_test, a_batch_that_was_not_taken_goes_straight_to_the_workers)
{
    submit(job_id, task_count, "payload");
    run_to_the_end();
    EXPECT_EQ(workers.count("start"), task_count);
    EXPECT_EQ(workers.count("stop"), 0U);
    for (const auto& event : workers.events) {
        EXPECT_EQ(event.run, 1U);
        EXPECT_GT(event.max_wait_ms, 0);
        EXPECT_LE(event.max_wait_ms, order_max_wait_ms);
    }
}

// The time that the other node took to say no came on top of the time that a start may wait for the link.
TEST_F(start_batch_test, a_batch_that_was_not_taken_in_time_is_not_sent_late)
{
    answer_ms = order_max_wait_ms + 50;
    submit(job_id, task_count, "payload");
    run_to_the_end();
    for (const auto& event : workers.events) {
        EXPECT_EQ(event.call, "start");
        EXPECT_EQ(event.run, 2U);
    }
}

// An order that does not fit a batch, or that no node can take, was not sent at all.
TEST_F(start_batch_test, starts_that_no_node_takes_go_straight_to_the_workers)
{
    decline_at_once = true;
    submit(job_id, task_count, "payload");
    run_to_the_end();
    EXPECT_EQ(workers.count("start"), task_count);
    EXPECT_EQ(workers.count("stop"), 0U);
}

// A newer owner may have told its token to a worker first; this one must end.
TEST_F(start_batch_test, a_token_that_a_worker_rejects_through_another_node_ends_the_ownership)
{
    outcome = order_result::fenced;
    submit(job_id, task_count, "payload");
    run_until([this] { return lost; });
    EXPECT_EQ(workers.count("start"), 0U);
}

}  // namespace
}  // namespace waxwingnotch
