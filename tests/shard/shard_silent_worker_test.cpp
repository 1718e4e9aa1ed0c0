/// Tests of tasks whose worker has fallen silent: it may have done them before its leases lapsed.
#include "loaded_core.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <string>
#include <vector>

namespace waxwingnotch {
namespace {

constexpr std::int64_t lapsed_ms = 6'000;  // a lease of 4 s has lapsed on a slow clock, with time to spare

/// A job of one short task that has started on worker `a`, which is cut off then. Worker `b` joins.
class cut_world : public shard_world {
public:
    explicit cut_world(const job_spec& job = shard_world::job(id_of(1), 1)) : shard_world(1)
    {
        idle_leases_last = true;
        add_worker("a");
        owner_ = take_over();
        submit(job);
        run(60);
        EXPECT_EQ(workers["a"].running.size(), 1U);
        unreachable.insert("a");
        add_worker("b");
    }
    shard_core& core() { return *owner_->core; }
    std::size_t starts() { return core().counts().starts; }

private:
    owner_ptr owner_;
};

// A worker was cut off for 5.5 s, longer than a lease, and had done the task before. The task started
// elsewhere, and the end that the worker listed afterwards was acknowledged: the task had been done twice.
TEST(shard_silent_worker, a_task_that_its_worker_has_done_does_not_start_elsewhere)
{
    cut_world world;
    world.run(5'500);
    EXPECT_EQ(world.starts(), 1U);
    EXPECT_EQ(world.core().counts().awaited, 1U);
    world.unreachable.clear();
    world.run(1'000);
    EXPECT_EQ(world.core().state_of(id_of(1)), job_state::completed);
    EXPECT_EQ(world.starts(), 1U);
    EXPECT_TRUE(world.violations.empty()) << world.violations.front();
}

// The same for a run of an earlier owner, whose worker the next one has never reached.
TEST(shard_silent_worker, a_task_of_an_earlier_owner_does_not_start_elsewhere)
{
    cut_world world;
    const auto next = world.take_over();
    world.run(11'000);
    EXPECT_EQ(next->core->counts().starts, 0U);
    world.unreachable.clear();
    world.run(1'000);
    EXPECT_EQ(next->core->state_of(id_of(1)), job_state::completed);
    EXPECT_TRUE(world.violations.empty()) << world.violations.front();
}

// One end `done` stands for all members of a gang.
TEST(shard_silent_worker, a_gang_does_not_start_again_while_a_member_may_be_done)
{
    job_spec gang = shard_world::job(id_of(1), 1);
    gang.steps[0].gang = true;
    cut_world world(gang);
    world.run(lapsed_ms);
    EXPECT_EQ(world.starts(), 1U);
}

// A killed run would have waited for an end that its worker never lists.
TEST(shard_silent_worker, a_task_starts_elsewhere_once_its_worker_has_lost_its_registration)
{
    cut_world world;
    world.lose_worker("a", false);
    world.run(shard_world::registration_ms + 5'500);
    EXPECT_EQ(world.starts(), 1U);
    world.run(1'500);
    EXPECT_EQ(world.core().state_of(id_of(1)), job_state::completed);
    EXPECT_EQ(world.core().counts().presumed_lost, 1U);
    EXPECT_TRUE(world.violations.empty());
}

// The platform says sooner than a missing registration that a worker has ended.
TEST(shard_silent_worker, a_task_starts_elsewhere_once_no_host_runs_its_worker)
{
    cut_world world;
    world.core().note_host_lost("a");  // of no effect while it is registered
    world.lose_worker("a", false);
    world.run(shard_world::registration_ms + 100);
    EXPECT_EQ(world.core().missing_workers(), std::vector<std::string>{"a"});
    EXPECT_EQ(world.starts(), 1U);
    world.core().note_host_lost("a");
    world.run(1'000);
    EXPECT_EQ(world.core().state_of(id_of(1)), job_state::completed);
    EXPECT_TRUE(world.violations.empty());
}

// A worker that is cut off from the store as well loses its registration for a moment, and runs on.
TEST(shard_silent_worker, a_task_does_not_start_elsewhere_while_the_registration_may_return)
{
    cut_world world;
    world.run(3'000);
    world.core().remove_worker("a", world.now);
    world.run(5'800);
    EXPECT_EQ(world.starts(), 1U);
    world.unreachable.clear();
    world.core().put_worker(world.workers["a"].entry, world.now);
    world.run(1'000);
    EXPECT_EQ(world.core().state_of(id_of(1)), job_state::completed);
    EXPECT_TRUE(world.violations.empty());
}

// Registrations that this owner has not read for long do not tell that the worker is gone.
TEST(shard_silent_worker, a_registration_is_not_missing_while_the_registrations_are_not_read)
{
    cut_world world;
    world.run(3'000);
    world.core().remove_worker("a", world.now);
    world.core().set_known_until(world.now, world.now);
    world.run(8'000);
    EXPECT_EQ(world.core().counts().presumed_lost, 0U);
}

TEST(shard_silent_worker, a_task_starts_elsewhere_once_its_worker_has_started_again)
{
    cut_world world;
    world.workers["a"].restart(world.now);
    world.core().put_worker(world.workers["a"].entry, world.now);
    world.run(lapsed_ms);
    EXPECT_EQ(world.starts(), 1U);
    world.unreachable.clear();
    world.run(1'000);
    EXPECT_EQ(world.core().state_of(id_of(1)), job_state::completed);
    EXPECT_EQ(world.starts(), 2U);
    EXPECT_TRUE(world.violations.empty());
}

// An end of a long-running task does not end it, and it has to be at work again within seconds.
TEST(shard_silent_worker, a_long_running_task_starts_elsewhere_once_the_leases_have_lapsed)
{
    cut_world world(shard_world::long_running_job(1));
    world.run(3'500);
    EXPECT_EQ(world.starts(), 1U);
    world.run(1'500);
    EXPECT_EQ(world.starts(), 2U);
    EXPECT_TRUE(world.violations.empty());
}

// The task was given up after a time, and its end was acknowledged when its worker came back.
TEST(shard_silent_worker, a_task_waits_for_a_registered_worker_however_long_it_is_silent)
{
    cut_world world;
    world.run(120'000);
    EXPECT_EQ(world.starts(), 1U);
    world.unreachable.clear();
    world.run(2'000);
    EXPECT_EQ(world.core().state_of(id_of(1)), job_state::completed);
    EXPECT_EQ(world.starts(), 1U);
    EXPECT_TRUE(world.violations.empty()) << world.violations.front();
}

// The time in which no registrations were read counted as time in which one was missing.
TEST(shard_silent_worker, a_registration_is_not_missing_as_soon_as_registrations_are_read_again)
{
    loaded_core owner(
        {.phase = task_phase::active, .last_run = 1, .runs = {{.number = 1, .worker = {"c", 5}}}});
    owner.core.on_previous_owner_gone(100);
    owner.core.set_known_until(200, 200);
    owner.core.tick(8'900, 8'900);
    ASSERT_EQ(owner.core.runs(), 1U);
    owner.core.set_known_until(9'000, 9'000);
    owner.core.tick(9'010, 9'010);
    EXPECT_EQ(owner.core.runs(), 1U);
}

// A host was taken with an end that its worker had listed in answers that were lost.
TEST(shard_silent_worker, a_host_is_not_taken_while_ends_of_its_worker_may_be_unread)
{
    cut_world world;
    world.unreachable.clear();
    world.answerless.insert("a");
    world.run(5'500);
    ASSERT_EQ(world.core().counts().awaited, 1U);
    EXPECT_FALSE(may_take_host(world.core().drain_of("a", world.now)));
}

// A registration for another service, read before the homes of services were known, was taken for the end of
// the worker.
TEST(shard_silent_worker, a_worker_that_registers_with_the_same_process_has_not_ended)
{
    cut_world world;
    world.core().leave_worker("a", world.workers["a"].entry.started_ms, world.now);
    world.run(5'800);
    EXPECT_EQ(world.starts(), 1U);
}

TEST(shard_silent_worker, a_task_starts_elsewhere_once_its_worker_has_started_again_for_another_service)
{
    cut_world world;
    world.core().leave_worker("a", world.workers["a"].entry.started_ms + 1, world.now);
    world.run(5'500);
    EXPECT_EQ(world.core().state_of(id_of(1)), job_state::completed);
}

// A worker that answered polls and no orders held its task for ever, as its stop was never confirmed.
TEST(shard_silent_worker, a_start_that_would_come_too_late_does_not_hold_its_task)
{
    loaded_core owner({});
    const std::uint64_t batch = owner.assign("a", 110);
    owner.core.on_stored(batch, 112);
    const shard_effects ordered = owner.step(112);
    ASSERT_EQ(ordered.starts.size(), 1U);
    const start_order& order = ordered.starts[0].order;
    owner.core.on_start("a", order, {.outcome = order_result::unexplained}, 114);
    owner.answer("a", {}, {}, order.lease_until_ms - 1);
    EXPECT_EQ(owner.core.runs(), 1U);
    owner.answer("a", {}, {}, order.lease_until_ms + 1);
    EXPECT_EQ(owner.core.runs(), 0U);
}

// A cancelled job has nothing left to wait for.
TEST(shard_silent_worker, the_run_of_a_cancelled_job_is_not_awaited)
{
    cut_world world;
    world.cancel(id_of(1));
    world.run(lapsed_ms);
    EXPECT_EQ(world.core().runs(), 0U);
}

// Something between the owner and the worker answered 502 after the worker had started the task, and the task
// was started elsewhere at once.
TEST(shard_silent_worker, a_task_does_not_start_elsewhere_after_an_answer_without_a_meaning)
{
    loaded_core owner({});
    owner.answer("b", {}, {}, 105);
    const std::uint64_t batch = owner.assign("a", 110);
    ASSERT_NE(batch, 0U);
    owner.core.on_stored(batch, 112);
    const shard_effects ordered = owner.step(112);
    ASSERT_EQ(ordered.starts.size(), 1U);
    owner.core.on_start(ordered.starts[0].worker.id, ordered.starts[0].order,
                        {.outcome = order_result::unexplained}, 114);
    const shard_effects after = owner.step(114);
    EXPECT_TRUE(after.starts.empty());
    EXPECT_EQ(after.stops.size(), 1U);
    EXPECT_EQ(owner.core.runs(), 1U);
}

/// Random jobs, and workers that are cut off for longer than a lease, under both readings of what becomes of
/// the lease of an idle worker. Owners are replaced meanwhile.
RC_GTEST_PROP(shard_silent_worker, cuts_longer_than_a_lease_start_no_task_twice, ())
{
    shard_world world(*rc::gen::inRange<std::uint32_t>(0, 1U << 30U));
    world.idle_leases_last = *rc::gen::arbitrary<bool>();
    world.faults.lost_answers = *rc::gen::elementOf(std::vector<double>{0, 0.05});
    for (const char* id : {"a", "b", "c"}) {
        world.add_worker(id);
        world.workers[id].clock_rate = *rc::gen::elementOf(std::vector<double>{0.98, 1.0});
    }
    auto owner = world.take_over();
    const int rounds = *rc::gen::inRange(3, 8);
    int jobs = 0;
    for (int round = 0; round < rounds; ++round) {
        for (int job = *rc::gen::inRange(1, 3); job > 0; --job) {
            world.submit(shard_world::job(id_of(++jobs), *rc::gen::inRange<std::uint32_t>(1, 6)));
        }
        world.run(*rc::gen::inRange<std::int64_t>(20, 300));
        const std::string cut(1, "abc"[*rc::gen::inRange(0, 3)]);
        world.unreachable.insert(cut);
        const bool from_store = *rc::gen::arbitrary<bool>();
        if (*rc::gen::inRange(0, 4) == 0) {
            owner->terminated = *rc::gen::arbitrary<bool>();
            owner = world.take_over();
        }
        if (from_store) {
            // Its registration lapses, and returns after a cut of up to 6.5 s.
            world.run(*rc::gen::inRange<std::int64_t>(3'000, 4'500));
            for (const auto& each : world.owners) {
                each->core->remove_worker(cut, world.now);
            }
            world.run(*rc::gen::inRange<std::int64_t>(0, 2'000));
            world.unreachable.clear();
            world.run(*rc::gen::inRange<std::int64_t>(0, 2'000));
            for (const auto& each : world.owners) {
                each->core->put_worker(world.workers[cut].entry, world.now);
            }
        }
        else {
            world.run(*rc::gen::inRange<std::int64_t>(1'000, 40'000));
        }
        world.unreachable.clear();
        world.run(*rc::gen::inRange<std::int64_t>(0, 1'000));
    }
    world.faults = {};
    world.run(40'000);
    for (const std::string& violation : world.violations) {
        RC_LOG() << violation << "\n";
    }
    RC_ASSERT(world.violations.empty());
    for (int job = 1; job <= jobs; ++job) {
        RC_ASSERT(owner->core->state_of(id_of(job)) == job_state::completed);
    }
}

}  // namespace
}  // namespace waxwingnotch
