/// Workers that start again under their ids and take calls that were meant for the process before, whose
/// clock had another zero.
#include "loaded_core.hpp"
#include "shard_world.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace waxwingnotch {
namespace {

constexpr std::int64_t old_clock_ms = 40'000;  // of the processes before they start again
constexpr std::int64_t down_ms = 600;

/// Five workers whose processes are old, with an owner that starts tasks of 8 to 30 s on them all the time.
class busy_fleet {
public:
    explicit busy_fleet(std::uint32_t seed) : world(seed)
    {
        world.task_ms = 15'000;
        for (const char* id : {"a", "b", "c", "d", "e"}) {
            world.add_worker(id, 40'000);
        }
        world.run(old_clock_ms);
        owner = world.take_over();
        world.run(500);
    }

    void run(std::int64_t duration_ms)
    {
        constexpr std::int64_t submission_ms = 300;
        for (std::int64_t left_ms = duration_ms; left_ms > 0; left_ms -= submission_ms) {
            world.submit(shard_world::job(id_of(++jobs_), 2));
            world.run(std::min(left_ms, submission_ms));
        }
    }

    shard_world world;
    shard_world::owner_ptr owner;

private:
    int jobs_ = 0;
};

// The next process took starts and renewals that named times on the clock of the one before, and granted ten
// seconds instead of four. Cut off soon after, it ran on while the tasks began elsewhere.
TEST(shard_restarted_worker, a_worker_that_is_cut_off_after_a_restart_runs_no_task_beside_another_run)
{
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
        for (const std::int64_t gap_ms : {100, 400, 700, 1'000, 1'400, 2'000}) {
            busy_fleet fleet(seed);
            fleet.run(2'000);
            for (const char* id : {"a", "b"}) {
                fleet.world.restart_worker(id, down_ms);
            }
            fleet.run(down_ms + gap_ms);
            for (const char* id : {"a", "b"}) {
                fleet.world.cut_worker(id, 14'000);
            }
            fleet.run(18'000);
            ASSERT_EQ(fleet.world.violations, std::vector<std::string>())
                << "seed " << seed << " gap " << gap_ms;
        }
    }
}

// The next process took a start that had waited for it, on a host that was cut off by then. Its lease ran
// from the moment when it took the start, and the owner counted from the moment when it had sent it.
TEST(shard_restarted_worker, a_start_that_waits_for_a_process_that_nobody_hears_gives_no_second_run)
{
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
        for (const std::int64_t waits_ms : {300, 500, 1'000}) {
            busy_fleet fleet(seed);
            fleet.world.restart_unheard("a", 100, 100 + waits_ms, 16'000);
            job_spec job = shard_world::long_running_job(5);
            job.steps[0].max_per_worker = 1;
            fleet.world.submit(job);
            fleet.world.run(2'000);
            fleet.world.add_worker("f", 40'000);  // the only one that may run the task of "a"
            fleet.world.run(18'000);
            ASSERT_EQ(fleet.world.violations, std::vector<std::string>())
                << "seed " << seed << " waits " << waits_ms;
        }
    }
}

// The same with an owner that released the shard meanwhile.
TEST(shard_restarted_worker, a_start_of_the_previous_owner_that_waits_so_gives_no_second_run)
{
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
        for (const std::int64_t waits_ms : {300, 500, 1'000, 2'000}) {
            busy_fleet fleet(seed);
            fleet.world.restart_unheard("a", 100, 100 + waits_ms, 16'000);
            job_spec job = shard_world::long_running_job(5);
            job.steps[0].max_per_worker = 1;
            fleet.world.submit(job);
            fleet.world.run(100);
            fleet.owner->terminated = true;
            const auto next = fleet.world.take_over();
            next->core->on_previous_owner_gone(fleet.world.now);
            fleet.world.run(1'900);
            fleet.world.add_worker("f", 40'000);
            fleet.world.run(18'000);
            ASSERT_EQ(fleet.world.violations, std::vector<std::string>())
                << "seed " << seed << " waits " << waits_ms;
        }
    }
}

// Long-running tasks wait for no end of their runs, only for the leases.
TEST(shard_restarted_worker, a_long_running_task_waits_for_a_lease_that_the_next_process_has_granted)
{
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
        for (const std::int64_t gap_ms : {0, 100, 700, 1'400}) {
            busy_fleet fleet(seed);
            fleet.world.restart_worker("a", down_ms);
            job_spec job = shard_world::long_running_job(5);
            job.steps[0].max_per_worker = 1;
            fleet.world.submit(job);
            fleet.world.run(down_ms + gap_ms);
            fleet.world.cut_worker("a", 16'000);
            fleet.world.add_worker("f", 40'000);  // the only one that may run the task of "a"
            fleet.world.run(20'000);
            ASSERT_EQ(fleet.world.violations, std::vector<std::string>())
                << "seed " << seed << " gap " << gap_ms;
        }
    }
}

// The next owner knew neither of the restart nor of the orders that had crossed it.
TEST(shard_restarted_worker, an_owner_that_takes_over_after_a_restart_waits_as_long)
{
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
        for (const std::int64_t gap_ms : {200, 700, 1'000}) {
            busy_fleet fleet(seed);
            fleet.run(2'000);
            fleet.world.restart_worker("a", down_ms);
            fleet.run(down_ms + gap_ms / 2);
            fleet.owner->terminated = true;
            fleet.world.run(gap_ms / 2);
            fleet.world.cut_worker("a", 16'000);
            const auto next = fleet.world.take_over();
            next->core->on_previous_owner_gone(fleet.world.now);
            fleet.world.run(20'000);
            ASSERT_EQ(fleet.world.violations, std::vector<std::string>())
                << "seed " << seed << " gap " << gap_ms;
        }
    }
}

RC_GTEST_PROP(shard_restarted_worker, restarts_cuts_and_takeovers_in_series_run_no_task_twice, ())
{
    busy_fleet fleet(*rc::gen::arbitrary<std::uint32_t>());
    const int rounds = *rc::gen::inRange(1, 4);
    for (int round = 0; round < rounds; ++round) {
        const std::string id(1, static_cast<char>('a' + *rc::gen::inRange(0, 5)));
        if (fleet.world.unreachable.contains(id) || !fleet.world.workers[id].alive) {
            continue;
        }
        fleet.run(*rc::gen::inRange(0, 3'000));
        fleet.world.restart_worker(id, *rc::gen::inRange(300, 1'500));
        fleet.run(*rc::gen::inRange(0, 2'500));
        if (*rc::gen::inRange(0, 3) == 0) {
            fleet.world.owners.back()->terminated = true;
            fleet.run(*rc::gen::inRange(0, 2'000));
            fleet.world.take_over();
        }
        fleet.world.cut_worker(id, *rc::gen::inRange(2'000, 12'000));
        fleet.run(*rc::gen::inRange(0, 9'000));
    }
    fleet.run(15'000);
    RC_ASSERT(fleet.world.violations == std::vector<std::string>());
}

// A process that is long at work holds no order that was meant for another one, so its tasks need not wait
// for the longest lease.
TEST(shard_restarted_worker, a_long_running_task_of_an_old_process_waits_for_one_lease_only)
{
    for (const bool taken_over : {false, true}) {
        busy_fleet fleet(1);
        fleet.world.submit(shard_world::long_running_job(1));
        fleet.world.run(2'000);
        std::string busy;
        for (const auto& [id, worker] : fleet.world.workers) {
            busy = worker.running.empty() ? busy : id;
        }
        fleet.world.cut_worker(busy, 16'000);
        if (taken_over) {
            fleet.owner->terminated = true;
            fleet.world.take_over()->core->on_previous_owner_gone(fleet.world.now);
        }
        fleet.world.run(5'000);
        EXPECT_EQ(fleet.world.started["lasting000000001.0.0.0"], 2) << "taken over " << taken_over;
        EXPECT_EQ(fleet.world.violations, std::vector<std::string>());
    }
}

// A start that the next process has accepted was taken for a run of the process before, and so for one that
// had ended, once the worker registered for another service.
TEST(shard_restarted_worker, a_run_that_no_list_has_shown_may_be_one_of_the_next_process)
{
    loaded_core owner(task_progress{});
    const std::uint64_t batch = owner.assign("a", 200);
    ASSERT_NE(batch, 0U);
    owner.core.on_stored(batch, 900);  // the store is slow, and the worker has started again at 850
    shard_effects effects = owner.core.take_effects(900);
    ASSERT_EQ(effects.starts.size(), 1U);
    owner.core.on_start("a", effects.starts[0].order, {.outcome = order_result::ok}, 910);
    owner.answer("b", {}, {}, 920);
    owner.core.on_poll("a", 920, false, {.outcome = order_result::no_answer}, 1'320);
    owner.core.leave_worker("a", 850, 1'400);  // it has registered elsewhere
    for (std::int64_t now_ms = 1'500; now_ms < 6'000; now_ms += 50) {
        owner.answer("b", {}, {}, now_ms);
        owner.core.tick(now_ms, now_ms);
        EXPECT_TRUE(owner.step(now_ms).starts.empty()) << now_ms;
    }
}

/// Lets worker `b` answer and the time go on. @return when the owner gives the task of `a` to `b`
std::int64_t second_start(loaded_core& owner, std::int64_t from_ms)
{
    constexpr std::int64_t unregistered_ms = 5'500;
    for (std::int64_t now_ms = from_ms; now_ms < 20'000; now_ms += 50) {
        if (now_ms == unregistered_ms) {
            owner.core.remove_worker("a", now_ms);
        }
        owner.answer("b", {}, {}, now_ms);
        owner.core.tick(now_ms, now_ms);
        if (!owner.step(now_ms).starts.empty()) {
            return now_ms;
        }
    }
    return 0;
}

/// Starts the only task of a long-running job on `a`. @return the order, which is sent at 300
start_order start_at_300(loaded_core& owner)
{
    owner.core.on_stored(owner.assign("a", 200), 300);
    const shard_effects effects = owner.core.take_effects(300);
    EXPECT_EQ(effects.starts.size(), 1U);
    return effects.starts.at(0).order;
}

// A list of the process before came over a slow link, just before the next process answered a start. The run
// was taken for one of the process before, and its lease for one of 4 s.
TEST(shard_restarted_worker, a_start_that_is_answered_after_a_late_list_may_be_of_the_next_process)
{
    loaded_core owner(shard_world::long_running_job(1), {task_progress{}});
    const start_order order = start_at_300(owner);
    // Sent at 250 and answered at 260 by the process that ended at 270.
    owner.core.on_poll("a", 250, false, {.outcome = order_result::ok, .clock_ms = 260, .started_ms = 5}, 640);
    owner.core.on_start("a", order, {.outcome = order_result::ok}, 650);  // taken at 600 by the next process
    owner.answer("b", {}, {}, 660);
    owner.core.on_poll("a", 660, false, {.outcome = order_result::no_answer}, 1'060);
    EXPECT_GE(second_start(owner, 1'100), 10'600);
}

// The poll that finds the next process has the former token, so that this process may still take a late start
// with that token before the next poll arrives.
TEST(shard_restarted_worker, a_late_start_may_be_taken_after_the_poll_that_finds_the_next_process)
{
    loaded_core owner(shard_world::long_running_job(1), {task_progress{}});
    const start_order order = start_at_300(owner);
    owner.core.on_start("a", order, {.outcome = order_result::no_answer}, 700);
    owner.answer("b", {}, {}, 710);
    owner.answer("a", {}, {}, 1'000, 900);  // of the process that started at 900
    owner.core.take_effects(1'010);
    // Cut off; the start is taken at 2'500.
    owner.core.on_poll("a", 1'010, false, {.outcome = order_result::no_answer}, 1'410);
    EXPECT_GE(second_start(owner, 1'450), 12'500);
}

// Each poll repeated the latest acknowledgement. The next process forgot the ends with numbers up to it,
// which nobody had read.
TEST(shard_restarted_worker, an_acknowledgement_that_was_answered_is_not_repeated)
{
    const task_progress running = {.phase = task_phase::active, .last_run = 1, .runs = {{1, {"a", 5}}}};
    loaded_core owner(running);
    owner.answer("a", {}, {{.number = 1, .task = task_of(1), .run = 1, .kind = end_kind::done}}, 200);
    std::vector<std::int64_t> acknowledged;
    for (std::int64_t now_ms = 210; now_ms < 1'500; now_ms += 100) {
        const shard_effects effects = owner.core.take_effects(now_ms);
        owner.core.on_stored(effects.batch, now_ms);
        for (const poll_effect& poll : effects.polls) {
            if (poll.worker.id == "a") {
                acknowledged.push_back(poll.order.acknowledged_end);
                owner.answer("a", {}, {}, now_ms);
            }
        }
    }
    ASSERT_GE(acknowledged.size(), 3U);
    EXPECT_EQ(std::count(acknowledged.begin(), acknowledged.end(), 1), 1);
}

}  // namespace
}  // namespace waxwingnotch
