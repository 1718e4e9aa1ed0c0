/// Tests of shard_owner with an in-memory store and workers that answer at once, on the real clock.
#include "fakes/fake_store.hpp"
#include "fakes/fake_worker.hpp"
#include "log_capture.hpp"
#include "started_owner.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/shard/shard_owner.hpp"

#include <gtest/gtest.h>

#include <map>
#include <memory>

namespace waxwingnotch {
namespace {

constexpr std::int64_t test_timeout_ms = 30'000;
constexpr std::int64_t task_ms = 20;

/// Workers in memory; counts the starts of each task.
class memory_workers final : public worker_api {
public:
    explicit memory_workers(event_loop& loop) : loop_(loop) {}

    void start(const worker_target& /*target*/, const start_order& order, handler<order_answer> done) override
    {
        const std::size_t before = worker.running.size();
        const order_answer answer = worker.start(order, monotonic_ms(), task_ms, end_kind::done);
        started[order.task] += worker.running.size() > before ? 1 : 0;
        loop_.defer([done, answer] { done(answer); });
    }
    void stop(const worker_target& /*target*/, const stop_order& order, handler<order_answer> done) override
    {
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

    fake_worker worker;
    std::map<std::string, int> started;

private:
    event_loop& loop_;
    std::vector<timer> polls_;
};

class shard_owner_test : public testing::Test {
protected:
    shard_owner_test() { workers.worker.entry = only_worker(); }

    /// Starts an owner, which takes over from the one before.
    void take_over()
    {
        owner.reset();
        start_owner({.epoch = ++epoch_, .ended_job_retention_ms = 200},
                    {.loop = &loop, .store = &store, .workers = &workers, .address = "node"});
    }

    void start_owner(const shard_options& options, shard_owner::parts parts)
    {
        owner = std::make_unique<shard_owner>(std::move(parts), 0, options,
                                              [] { FAIL() << "the owner was replaced"; });
        start_with_worker(*owner, workers.worker.entry);
    }

    /// Runs the loop until @p condition holds; fails the test after test_timeout_ms.
    void run_until(const std::function<bool()>& condition)
    {
        const timer check = loop.every(10, [&] {
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
    void run_for(std::int64_t duration_ms)
    {
        const std::int64_t end_ms = monotonic_ms() + duration_ms;
        run_until([end_ms] { return monotonic_ms() >= end_ms; });
    }

    void submit(int count)
    {
        append_request request{.topic = jobs_topic, .partition = 0};
        for (int number = 0; number < count; ++number) {
            job_spec job;
            job.id = "00000000000000" + std::to_string(10 + number);
            job.queue = "q";
            job.service = "svc";
            job.steps.push_back({.task_count = 1, .need = {100, 100, 0}});
            job.accepted_ms = wall_ms();
            request.records.push_back({.key = job.id, .value = encode_job(job), .offset = -1});
        }
        store.append(request, [](const append_result&) {});
    }
    /// Whether only the records about owners are left.
    bool all_deleted()
    {
        const std::map<std::string, std::string> runs = store.newest_of(runs_topic, 0);
        return store.newest_of(jobs_topic, 0).empty() && runs.size() == 2 && runs.contains(owner_key) &&
               runs.contains(claim_key);
    }
    /// Makes an owner beside `owner`, with its own address and worker.
    std::unique_ptr<shard_owner> owner_beside(memory_workers& others, const std::string& address,
                                              std::int64_t epoch, std::function<void()> lost,
                                              std::int64_t max_ownership_age_ms = 2'600)
    {
        shard_owner::parts parts{.loop = &loop, .store = &store, .workers = &others, .address = address};
        parts.release = [this](const std::string& previous, int /*shard*/, std::int64_t /*epoch*/,
                               std::function<void(bool)> done) {
            asked_to_release.push_back(previous);
            loop.defer([done = std::move(done)] { done(true); });
        };
        const shard_options options{.epoch = epoch, .max_ownership_age_ms = max_ownership_age_ms};
        auto made = std::make_unique<shard_owner>(parts, 0, options, std::move(lost));
        auto config = std::make_shared<cluster_config>();
        config->queues.push_back({.name = "q", .service = "svc", .max_attempts = 4});
        config->services.push_back({.name = "svc"});
        made->set_config(config);
        made->put_worker(others.worker.entry);
        return made;
    }

    event_loop loop;
    fake_store store{loop};
    memory_workers workers{loop};
    std::unique_ptr<shard_owner> owner;
    std::vector<std::string> asked_to_release;  // addresses, by owners of owner_beside()

private:
    std::int64_t epoch_ = 0;
};

// The record of an ended job was deleted by one append, whose refusal was only logged, and its progress by
// the journal, which repeats. The job that stayed was a new one to the next owner, and its tasks ran again.
TEST_F(shard_owner_test, a_store_that_refuses_deletions_brings_no_ended_job_back)
{
    constexpr int jobs = 3;
    take_over();
    submit(jobs);
    run_until([&] { return workers.started.size() == jobs && workers.worker.running.empty(); });
    run_for(300);
    store.refuse = true;  // when the retention time is over
    run_for(6'000);
    store.refuse = false;
    run_for(1'000);
    take_over();
    run_for(1'000);
    for (const auto& [task, starts] : workers.started) {
        EXPECT_EQ(starts, 1) << task;
    }
    run_until([&] { return all_deleted(); });
}

// A store that drops its history makes the owner read all jobs anew, also those whose deletion is on its way.
TEST_F(shard_owner_test, a_reload_while_ended_jobs_are_deleted_brings_none_back)
{
    constexpr int jobs = 3;
    take_over();
    submit(jobs);
    run_until([&] { return workers.started.size() == jobs && workers.worker.running.empty(); });
    run_for(300);
    store.lose_answers = 2;
    for (int second = 0; second < 7; ++second) {
        store.drop_history(jobs_topic, 0);
        run_for(1'000);
    }
    for (const auto& [task, starts] : workers.started) {
        EXPECT_EQ(starts, 1) << task;
    }
    run_until([&] { return all_deleted(); });
}

// The pages of jobs were taken as they came. With one from before the job was stored, the owner took the job
// for a new one when its record came later, and its tasks ran again.
TEST_F(shard_owner_test, a_page_of_jobs_from_before_the_takeover_starts_no_job_anew)
{
    constexpr int jobs = 3;
    take_over();
    submit(jobs);
    run_until([&] { return workers.started.size() == jobs && workers.worker.running.empty(); });
    store.empty_pages[{jobs_topic, 0}] = 2;
    take_over();
    run_until([&] { return owner->loaded(); });
    run_for(1'000);
    for (const auto& [task, starts] : workers.started) {
        EXPECT_EQ(starts, 1) << task;
    }
    EXPECT_EQ(owner->core().jobs(), jobs);
}

// The same when the read that follows such a page fails at first, while the progress is read.
TEST_F(shard_owner_test, a_takeover_waits_for_the_reads_that_follow_an_older_page)
{
    constexpr int jobs = 3;
    take_over();
    submit(jobs);
    run_until([&] { return workers.started.size() == jobs && workers.worker.running.empty(); });
    store.empty_pages[{jobs_topic, 0}] = 2;
    store.refused_reads[{jobs_topic, 0}] = 2;
    take_over();
    run_until([&] { return owner->loaded(); });
    EXPECT_EQ(owner->core().jobs(), jobs);
    run_for(1'000);
    for (const auto& [task, starts] : workers.started) {
        EXPECT_EQ(starts, 1) << task;
    }
}

// The same for a page of the progress: the tasks of a job without progress are waiting.
TEST_F(shard_owner_test, a_page_of_progress_from_before_the_takeover_starts_no_job_anew)
{
    constexpr int jobs = 3;
    take_over();
    submit(jobs);
    run_until([&] { return workers.started.size() == jobs && workers.worker.running.empty(); });
    store.empty_pages[{runs_topic, 0}] = 2;
    take_over();
    run_until([&] { return owner->loaded(); });
    run_for(1'000);
    for (const auto& [task, starts] : workers.started) {
        EXPECT_EQ(starts, 1) << task;
    }
}

// Reads that were refused, or timed out in this process, counted as knowledge of the present, so that a
// cancelled job was started.
TEST_F(shard_owner_test, nothing_starts_while_the_reads_of_the_cancels_are_refused)
{
    const resources room = workers.worker.entry.capacity;
    workers.worker.entry.capacity = {0, 0, 0};
    shard_owner::parts parts{.loop = &loop, .store = &store, .workers = &workers, .address = "node"};
    parts.registrations_until = [] {
        return monotonic_ms();
    };
    start_owner({.epoch = 50, .max_registrations_age_ms = 600, .max_jobs_age_ms = 600}, std::move(parts));
    submit(1);
    run_until([this] { return owner->core().jobs() == 1; });
    store.refused_reads[{jobs_topic, 0}] = 1'000'000;
    store.append({.topic = jobs_topic,
                  .partition = 0,
                  .records = {{.key = std::string("0000000000000010") + cancel_key_suffix,
                               .value = cancel_record,
                               .offset = -1}}},
                 [](const append_result&) {});
    run_for(1'000);
    workers.worker.entry.capacity = room;
    owner->put_worker(workers.worker.entry);
    run_for(300);
    EXPECT_TRUE(workers.started.empty());
}

// An owner that was held up ordered the starts of a stored assignment though another owner had claimed the
// shard meanwhile, and a worker that the other one does not reach took them.
TEST_F(shard_owner_test, an_owner_that_was_replaced_while_it_was_held_up_starts_nothing)
{
    constexpr std::int64_t limit_ms = 200;
    bool lost = false;
    owner = owner_beside(
        workers, "node-1", 1, [&] { lost = true; }, limit_ms);
    owner->start();
    run_until([&] { return owner->loaded() && owner->core().runs() == 0; });
    run_for(100);  // until the append of the owner's address is answered
    store.hold_append_answers = true;
    submit(1);
    run_until([&] { return owner->core().runs() == 1; });
    run_for(limit_ms + 100);
    store.append({.topic = runs_topic, .writer = "owner", .epoch = 2, .sequence = 5}, [](const auto&) {});
    store.release_append_answers();
    run_until([&] { return lost; });
    EXPECT_TRUE(workers.started.empty());
}

// Guards against an owner that holds starts for good: the append that took too long is no recent
// confirmation, but the next one is.
TEST_F(shard_owner_test, an_owner_that_was_held_up_and_not_replaced_starts_its_tasks)
{
    constexpr std::int64_t limit_ms = 200;
    owner = owner_beside(
        workers, "node-1", 1, [] { FAIL(); }, limit_ms);
    owner->start();
    run_until([&] { return owner->loaded(); });
    run_for(100);
    store.hold_append_answers = true;
    submit(1);
    run_until([&] { return owner->core().runs() == 1; });
    run_for(limit_ms + 100);
    store.release_append_answers();
    run_until([&] { return workers.started.size() == 1; });
    EXPECT_EQ(owner->core().counts().starts_held, 1U);
}

// A second owner with the same epoch gets the answer to the first one's call as a repeat. It went on beside
// the first one.
TEST_F(shard_owner_test, an_owner_whose_epoch_is_in_use_ends)
{
    take_over();
    run_until([&] { return store.newest_of(runs_topic, 0).contains(owner_key); });
    bool lost = false;
    shard_owner second({.loop = &loop, .store = &store, .workers = &workers, .address = "other"}, 0,
                       {.epoch = owner->epoch()}, [&] { lost = true; });
    second.start();
    run_until([&] { return lost; });
    EXPECT_FALSE(second.loaded());
}

// Two owners of one epoch that took the shard at once got the same answers to their opening appends and to
// all that followed, since their batches had as many records. Both started each task.
TEST_F(shard_owner_test, two_owners_of_one_epoch_start_a_task_once)
{
    constexpr int jobs = 3;
    const log_capture log;
    submit(jobs);
    memory_workers others{loop};
    others.worker.entry = workers.worker.entry;
    others.worker.entry.id = "b";
    int lost = 0;
    const auto first = owner_beside(workers, "node-1", 1, [&] { ++lost; });
    const auto second = owner_beside(others, "node-2", 1, [&] { ++lost; });
    first->start();
    second->start();
    run_until([&] { return workers.started.size() + others.started.size() >= jobs; });
    run_for(300);
    EXPECT_EQ(lost, 1);
    std::map<std::string, int> started = workers.started;
    for (const auto& [task, starts] : others.started) {
        started[task] += starts;
    }
    EXPECT_EQ(started.size(), jobs);
    for (const auto& [task, starts] : started) {
        EXPECT_EQ(starts, 1) << task;
    }
    ASSERT_EQ(log.lines("shard_takeover").size(), 1U);
    ASSERT_EQ(log.lines("shard_lost").size(), 1U);
    EXPECT_NE(log.lines("shard_takeover")[0]["claim"], log.lines("shard_lost")[0]["claim"]);
}

// The host duty began when the shard was assigned. Two nodes that held it in one generation acted with one
// token, the epoch.
TEST_F(shard_owner_test, of_two_owners_of_one_epoch_one_takes_the_shard_over)
{
    int lost = 0;
    std::vector<std::string> taken_over;
    std::map<std::string, std::unique_ptr<shard_owner>> owners;
    for (const std::string address : {"node-1", "node-2"}) {
        shard_owner::parts parts{.loop = &loop, .store = &store, .workers = &workers, .address = address};
        parts.taken_over = [&taken_over, &owners, address] {
            EXPECT_TRUE(owners.at(address)->loaded());
            taken_over.push_back(address);
        };
        owners[address] = std::make_unique<shard_owner>(parts, 0, shard_options{.epoch = 1}, [&] { ++lost; });
    }
    for (const auto& [address, made] : owners) {
        made->start();
        EXPECT_TRUE(taken_over.empty());
    }
    run_until([&] { return lost == 1 && !taken_over.empty(); });
    run_for(100);
    EXPECT_EQ(taken_over.size(), 1U);
}

// Guards against a store that takes the claim for a repeat all the same: the offsets fit, and only the
// identity in the newest claim tells that it is another owner's.
TEST_F(shard_owner_test, an_owner_whose_claim_is_not_stored_ends)
{
    store.append({.topic = runs_topic, .records = {{.key = claim_key, .value = "node-1 0"}}},
                 [](const append_result&) {});
    store.forged_answers = {{.status = store_status::ok, .offset = 0, .end_offset = 1}};
    bool lost = false;
    const auto second = owner_beside(workers, "node-1", 1, [&] { lost = true; });
    second->start();
    run_until([&] { return lost; });
    EXPECT_FALSE(second->loaded());
}

// An owner that claims the shard and never finishes its load has renewed no leases. If its address replaced
// that of the owner before, the next one would not ask that owner to release the shard.
TEST_F(shard_owner_test, a_takeover_asks_the_last_owner_that_finished_its_load)
{
    const log_capture log;
    store.append({.topic = runs_topic, .records = {{.key = owner_key, .value = "10.0.0.9:1"}}},
                 [](const append_result&) {});  // as an earlier version stores it
    auto first = owner_beside(workers, "node-1", 1, [] { FAIL(); });
    first->start();
    run_until([&] { return store.newest_of(runs_topic, 0)[owner_key] == "node-1"; });
    first.reset();
    auto unfinished = owner_beside(workers, "node-2", 2, [] { FAIL(); });
    constexpr int all = 1'000;
    store.empty_pages[{runs_topic, 0}] = all;  // none of its reads reaches its claim
    unfinished->start();
    run_until([&] { return store.newest_of(runs_topic, 0)[claim_key].starts_with("node-2 "); });
    unfinished.reset();
    store.empty_pages.clear();
    const auto third = owner_beside(workers, "node-3", 3, [] { FAIL(); });
    third->start();
    run_until([&] { return third->loaded(); });
    EXPECT_EQ(asked_to_release, (std::vector<std::string>{"10.0.0.9:1", "node-1"}));
    const auto takeovers = log.lines("shard_takeover");
    ASSERT_EQ(takeovers.size(), 2U);
    EXPECT_EQ(takeovers[1]["previous_owner"], "node-1");
}

// Deletions of an earlier owner that the store carried out late came after the new owner's reads.
TEST_F(shard_owner_test, a_takeover_fences_the_deletions_of_earlier_owners)
{
    take_over();
    run_until([&] { return owner->loaded(); });
    const append_request late{.topic = jobs_topic,
                              .partition = 0,
                              .writer = "owner",
                              .epoch = owner->epoch() - 1,
                              .sequence = 1,
                              .records = {{.key = "0000000000000010", .value = std::nullopt}}};
    store_status outcome = store_status::ok;
    store.append(late, [&](const append_result& answer) {
        outcome = answer.status;
        loop.stop();
    });
    loop.run();
    EXPECT_EQ(outcome, store_status::fenced);
}

}  // namespace
}  // namespace waxwingnotch
