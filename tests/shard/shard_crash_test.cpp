/// Tests of shard_core with tasks under which workers crash.
#include "shard_world.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwingnotch {
namespace {

// The platform allows two starts after three workers have crashed under a task.
constexpr int max_starts_of_a_crashing_task = 5;

std::string task_of(const std::string& job, std::uint32_t index)
{
    return to_string(task_name{job, 0, 0, index});
}

// A run that was lost with its worker counted as no attempt, so one task crashed a worker every 3.3 s for as
// long as its job was known.
TEST(shard_crash, a_task_that_crashes_its_workers_is_given_up)
{
    shard_world world(1);
    for (const char* id : {"a", "b", "c"}) {
        world.add_worker(id);
    }
    const auto owner = world.take_over();
    world.crashing_tasks[task_of(id_of(1), 0)] = 8;
    world.submit(shard_world::job(id_of(1), 3));
    world.run(40'000);
    EXPECT_EQ(owner->core->state_of(id_of(1)), job_state::failed);
    EXPECT_LE(world.started[task_of(id_of(1), 0)], max_starts_of_a_crashing_task);
    EXPECT_GE(world.crashes[task_of(id_of(1), 0)], 2);
    EXPECT_TRUE(world.violations.empty());
}

TEST(shard_crash, a_task_that_crashes_its_workers_while_it_works_is_given_up)
{
    shard_world world(2);
    world.task_ms = 2'000;
    for (const char* id : {"a", "b", "c"}) {
        world.add_worker(id);
    }
    const auto owner = world.take_over();
    world.crashing_tasks[task_of(id_of(1), 0)] = 700;
    world.submit(shard_world::job(id_of(1), 6));
    world.run(60'000);
    EXPECT_EQ(owner->core->state_of(id_of(1)), job_state::failed);
    EXPECT_LE(world.started[task_of(id_of(1), 0)], max_starts_of_a_crashing_task);
    EXPECT_TRUE(world.violations.empty());
}

// A new owner must know how many workers have crashed.
TEST(shard_crash, a_task_that_crashes_its_workers_is_given_up_across_takeovers)
{
    shard_world world(3);
    for (const char* id : {"a", "b", "c"}) {
        world.add_worker(id);
    }
    auto owner = world.take_over();
    world.crashing_tasks[task_of(id_of(1), 0)] = 8;
    world.submit(shard_world::job(id_of(1), 3));
    for (int takeover = 0; takeover < 6; ++takeover) {
        world.run(3'900);
        owner->terminated = true;
        owner = world.take_over();
        owner->core->on_previous_owner_gone(world.now);
    }
    world.run(40'000);
    EXPECT_EQ(owner->core->state_of(id_of(1)), job_state::failed);
    EXPECT_LE(world.started[task_of(id_of(1), 0)], max_starts_of_a_crashing_task);
    EXPECT_TRUE(world.violations.empty());
}

TEST(shard_crash, tasks_that_shared_a_worker_with_a_crashing_one_complete)
{
    shard_world world(4);
    world.task_ms = 800;
    for (const char* id : {"a", "b", "c", "d"}) {
        world.add_worker(id, 16'000);
    }
    const auto owner = world.take_over();
    constexpr int jobs = 60;
    for (int job = 1; job <= jobs; ++job) {
        if (job % 10 == 0) {
            world.crashing_tasks[task_of(id_of(job), 1)] = 8;
        }
        world.submit(shard_world::job(id_of(job), 4));
        world.run(100);
    }
    world.run(120'000);
    for (int job = 1; job <= jobs; ++job) {
        EXPECT_EQ(owner->core->state_of(id_of(job)), job % 10 == 0 ? job_state::failed : job_state::completed)
            << job;
    }
    EXPECT_TRUE(world.violations.empty());
}

TEST(shard_crash, long_running_tasks_beside_a_crashing_one_return_and_stay)
{
    shard_world world(5);
    for (const char* id : {"a", "b"}) {
        world.add_worker(id);
    }
    const auto owner = world.take_over();
    const job_spec lasting = shard_world::long_running_job(2);
    world.submit(lasting);
    world.run(5'000);
    world.crashing_tasks[task_of(id_of(1), 0)] = 8;
    world.submit(shard_world::job(id_of(1), 1));
    world.run(60'000);
    EXPECT_EQ(owner->core->state_of(id_of(1)), job_state::failed);
    EXPECT_EQ(owner->core->state_of(lasting.id), job_state::running);
    std::size_t running = 0;
    for (const auto& [id, worker] : world.workers) {
        running += worker.alive ? worker.running.size() : 0;
    }
    EXPECT_EQ(running, 2U);
}

TEST(shard_crash, tasks_on_workers_that_are_cut_off_are_not_given_up)
{
    shard_world world(6);
    world.task_ms = 60'000;  // longer than the cuts, so that each of them ends a run
    for (const char* id : {"a", "b"}) {
        world.add_worker(id);
    }
    const auto owner = world.take_over();
    world.submit(shard_world::job(id_of(1), 1));
    for (int cut = 0; cut < 6; ++cut) {
        world.run(600);
        for (const auto& [id, worker] : world.workers) {
            if (!worker.running.empty()) {
                world.unreachable = {id};
            }
        }
        world.run(5'000);
        world.unreachable.clear();
    }
    EXPECT_EQ(owner->core->state_of(id_of(1)), job_state::running);
    world.run(130'000);
    EXPECT_EQ(owner->core->state_of(id_of(1)), job_state::completed);
}

// An order to a host ends its worker too; that says nothing about the tasks that ran there.
TEST(shard_crash, tasks_on_hosts_that_are_moved_are_not_given_up)
{
    shard_world world(7);
    world.task_ms = 60'000;
    for (const char* id : {"a", "b"}) {
        world.add_worker(id);
    }
    const auto owner = world.take_over();
    world.submit(shard_world::job(id_of(1), 1));
    for (int move = 0; move < 6; ++move) {
        world.run(600);
        std::string busy;
        for (const auto& [id, worker] : world.workers) {
            busy = worker.running.empty() ? busy : id;
        }
        ASSERT_FALSE(busy.empty());
        owner->core->drain_worker(busy, world.now + 3'000, world.now);
        world.run(20);
        world.crash_worker(busy, 1'500);
        world.run(4'000);
    }
    EXPECT_EQ(owner->core->state_of(id_of(1)), job_state::running);
}

/// Random jobs with a crashing task in some of them, workers that become unreachable, and owners that are
/// replaced: just the jobs with a crashing task fail, within the allowed number of starts.
RC_GTEST_PROP(shard_crash, only_crashing_tasks_are_given_up, ())
{
    shard_world world(*rc::gen::inRange<std::uint32_t>(0, 1U << 30U));
    world.task_ms = *rc::gen::elementOf(std::vector<std::int64_t>{300, 1'500});
    const std::int64_t crash_after_ms = *rc::gen::elementOf(std::vector<std::int64_t>{1, 8, 100, 600});
    for (const char* id : {"a", "b", "c", "d"}) {
        world.add_worker(id, 8'000);
    }
    auto owner = world.take_over();
    std::set<int> crashing;
    const int jobs = *rc::gen::inRange(5, 25);
    for (int job = 1; job <= jobs; ++job) {
        job_spec spec = shard_world::job(id_of(job), *rc::gen::inRange<std::uint32_t>(1, 5));
        const int kind = *rc::gen::inRange(0, 8);
        if (kind == 0) {
            crashing.insert(job);
            world.crashing_tasks[task_of(id_of(job), 0)] = crash_after_ms;
        }
        // The workers of this world do not know gangs: a member ends by itself.
        spec.steps[0].gang = kind == 1;
        spec.steps[0].speculative = *rc::gen::inRange(0, 4) == 0 && !spec.steps[0].gang;
        world.submit(spec);
        const int fault = *rc::gen::inRange(0, 12);
        if (fault == 0) {
            owner->terminated = true;
            owner = world.take_over();
            owner->core->on_previous_owner_gone(world.now);
        }
        else if (fault == 1) {
            world.unreachable.insert("a");
        }
        else if (fault == 2) {
            world.unreachable.clear();
        }
        world.run(*rc::gen::inRange<std::int64_t>(10, 1'500));
    }
    world.unreachable.clear();
    world.run(200'000);
    for (int job = 1; job <= jobs; ++job) {
        const auto state = owner->core->state_of(id_of(job));
        // A task that crashes late may be done before.
        const bool completed =
            state == job_state::completed && (!crashing.contains(job) || crash_after_ms > 100);
        RC_LOG() << "job " << job << (crashing.contains(job) ? " crashes" : "") << " state "
                 << (state ? to_string(*state) : "unknown") << "\n";
        RC_ASSERT(completed || (state == job_state::failed && crashing.contains(job)));
        RC_ASSERT(world.started[task_of(id_of(job), 0)] <= max_starts_of_a_crashing_task ||
                  !crashing.contains(job) || completed);
    }
}

// Each new owner counted the crash of the same run again, so two takeovers gave up a task whose only worker
// had ended once.
TEST(shard_crash, a_crash_is_counted_once_across_takeovers)
{
    shard_world world(11);
    world.task_ms = 60'000;
    world.add_worker("a");
    auto owner = world.take_over();
    world.submit(shard_world::job(id_of(1), 1));
    world.run(500);
    world.crash_worker("a", 20'000);
    for (int takeover = 0; takeover < 4; ++takeover) {
        world.run(1'000);
        owner->terminated = true;
        owner = world.take_over();
    }
    world.run(1'000);
    EXPECT_EQ(owner->core->state_of(id_of(1)), job_state::running);
    EXPECT_EQ(owner->core->counts().given_up, 0U);
}

// A network that refuses connections looks like a crash until the worker answers again with its runs.
TEST(shard_crash, a_run_that_is_still_listed_was_in_no_crash)
{
    shard_world world(12);
    world.add_worker("a");
    world.add_worker("b");
    const auto owner = world.take_over();
    world.submit(shard_world::long_running_job(2));
    world.run(3'000);
    world.task_ms = 60'000;
    world.submit(shard_world::job(id_of(1), 2));
    world.run(100);
    for (int cut = 0; cut < 3; ++cut) {
        for (auto& [id, worker] : world.workers) {
            worker.alive = false;
            worker.failure = order_result::not_listening;
        }
        world.run(1'000);
        EXPECT_EQ(owner->core->suspected_occurrences(), cut == 0 ? 1U : 0U);  // no start came shortly before
        for (auto& [id, worker] : world.workers) {
            worker.alive = true;
        }
        world.run(1'000);
        EXPECT_EQ(owner->core->suspected_occurrences(), 0U);
    }
    EXPECT_EQ(owner->core->counts().given_up, 0U);
    EXPECT_EQ(owner->core->counts().lost, 0U);
}

// Connections that were refused beyond the lease counted as a crash, so a task whose workers were cut off
// twice was given up.
TEST(shard_crash, a_worker_that_answers_again_after_its_lease_has_not_crashed)
{
    shard_world world(17);
    world.task_ms = 60'000;
    for (const char* id : {"a", "b"}) {
        world.add_worker(id);
    }
    const auto owner = world.take_over();
    world.submit(shard_world::job(id_of(1), 1));
    for (int cut = 0; cut < 6; ++cut) {
        world.run(600);
        for (auto& [id, worker] : world.workers) {
            worker.alive = worker.running.empty();
            worker.failure = order_result::not_listening;
        }
        world.run(5'000);
        for (auto& [id, worker] : world.workers) {
            worker.alive = true;
        }
        world.run(500);
        EXPECT_EQ(owner->core->suspected_occurrences(), 0U);
    }
    EXPECT_EQ(owner->core->state_of(id_of(1)), job_state::running);
    EXPECT_EQ(owner->core->counts().given_up, 0U);
}

// Workers that are cut off run on: no task has crashed them, however the cut shows, however long it lasts,
// and however many of them are cut off at a time.
TEST(shard_crash, workers_that_are_cut_off_fail_no_job)
{
    enum class cut { silent, refused, one_way, refused_then_silent };
    constexpr int workers = 8;
    for (const std::uint32_t tasks : {1U, 5U}) {
        for (const cut kind : {cut::silent, cut::refused, cut::one_way, cut::refused_then_silent}) {
            for (const std::int64_t length_ms : {1'500, 5'500, 14'000, 40'000}) {
                shard_world world(18);
                world.task_ms = 6'000;
                for (int number = 0; number < workers; ++number) {
                    world.add_worker("w" + std::to_string(number));
                }
                const auto owner = world.take_over();
                world.submit(shard_world::job(id_of(1), tasks));
                std::map<std::string, std::int64_t> cut_until;
                for (int step = 0; step < 120; ++step) {
                    world.run(500);
                    std::erase_if(cut_until, [&](const auto& entry) { return entry.second <= world.now; });
                    // Most of the workers that run something, one after the other while earlier ones are
                    // still cut off.
                    for (const auto& [id, worker] : world.workers) {
                        if (step % 6 == 0 && !worker.running.empty() && cut_until.size() < workers - 2) {
                            cut_until.try_emplace(id, world.now + length_ms);
                        }
                    }
                    world.unreachable.clear();
                    world.refusing.clear();
                    world.answerless.clear();
                    for (const auto& [id, until] : cut_until) {
                        (kind == cut::one_way ? world.answerless : world.unreachable).insert(id);
                        const bool early = until - world.now > length_ms / 2;
                        if (kind == cut::refused || (kind == cut::refused_then_silent && early)) {
                            world.refusing.insert(id);
                        }
                    }
                }
                world.unreachable.clear();
                world.answerless.clear();
                world.run(40'000);
                const std::string which = "cut " + std::to_string(static_cast<int>(kind)) + " of " +
                                          std::to_string(length_ms) + " ms, " + std::to_string(tasks) +
                                          " tasks";
                EXPECT_EQ(owner->core->state_of(id_of(1)), job_state::completed) << which;
                EXPECT_EQ(owner->core->counts().given_up, 0U) << which;
                EXPECT_TRUE(world.violations.empty()) << which;
            }
        }
    }
}

// The search ended at the first task without a worker. With all idle workers reserved for the isolated tasks
// of the step, that was one which is not isolated, so the step waited for ever beside an idle pool.
TEST(shard_crash, a_step_with_some_isolated_tasks_goes_on)
{
    shard_world world(14);
    world.task_ms = 60'000;
    world.add_worker("a", 1'000);
    world.add_worker("b", 1'000);
    const auto owner = world.take_over();
    world.submit(shard_world::job(id_of(1), 2));
    world.run(200);
    const std::string last = world.workers["a"].running.at(0).task == task_of(id_of(1), 1) ? "a" : "b";
    world.crash_worker(last, 100'000);           // isolates the second task
    world.lose_worker(last == "a" ? "b" : "a");  // the first one waits again, too
    world.run(10'000);
    world.task_ms = 300;
    world.add_worker("c", 1'000);
    world.run(10'000);
    EXPECT_EQ(owner->core->state_of(id_of(1)), job_state::completed);
}

// Only so many workers are kept free for isolated tasks; idle ones need not be kept free, so isolated tasks
// used to wait beside an idle pool.
TEST(shard_crash, isolated_tasks_start_on_any_idle_worker)
{
    shard_world world(13);
    world.task_ms = 60'000;
    world.add_worker("a", 16'000);
    world.take_over();
    for (int job = 1; job <= 5; ++job) {
        world.submit(shard_world::job(id_of(job), 1));
    }
    world.run(200);
    world.crash_worker("a", 3'400);
    for (const char* id : {"b", "c", "d", "e", "f", "g"}) {
        world.add_worker(id);
    }
    world.run(5'000);
    std::size_t running = 0;
    for (const auto& [id, worker] : world.workers) {
        running += worker.alive ? worker.running.size() : 0;
        EXPECT_LE(worker.running.size(), 1U) << id;
    }
    EXPECT_EQ(running, 5U);
}

// Such a start did nothing, yet the task waited until the lease of the dead worker had lapsed.
TEST(shard_crash, a_task_whose_start_was_refused_by_a_dead_worker_starts_elsewhere_at_once)
{
    shard_options options;
    options.epoch = 1;
    shard_core core(options);
    core.set_config(shard_world::config());
    const poll_answer empty{.outcome = order_result::ok, .clock_ms = 50, .started_ms = 5};
    for (const char* id : {"a", "b"}) {
        core.put_worker({.id = id,
                         .service = "svc",
                         .address = "x:1",
                         .rack = "r",
                         .capacity = {4'000, 9'000, 0},
                         .started_ms = 5},
                        100);
    }
    core.tick(100, 100);
    core.finish_load(100);
    (void)core.take_effects(100);
    core.on_poll("a", 100, false, empty, 101);
    core.on_poll("b", 100, false, empty, 101);
    core.add_job(shard_world::job(id_of(1), 1), 0, 102);
    core.on_stored(core.take_effects(102).batch, 110);
    const shard_effects first = core.take_effects(110);
    ASSERT_EQ(first.starts.size(), 1U);
    const std::string dead = first.starts[0].worker.id;
    core.on_start(dead, first.starts[0].order, {order_result::not_listening}, 112);
    core.on_stored(core.take_effects(113).batch, 120);
    const shard_effects second = core.take_effects(120);
    ASSERT_EQ(second.starts.size(), 1U);
    EXPECT_NE(second.starts[0].worker.id, dead);
    EXPECT_EQ(second.starts[0].order.run, 2U);
}

// The members of a gang run as one, so a crash under one of them says the same about all.
TEST(shard_crash, a_gang_that_crashes_a_worker_is_given_up_and_spares_its_neighbours)
{
    shard_world world(9);
    world.task_ms = 60'000;
    for (const char* id : {"a", "b", "c"}) {
        world.add_worker(id);
    }
    const auto owner = world.take_over();
    world.submit(shard_world::job(id_of(1), 6));
    world.run(500);
    job_spec gang = shard_world::job(id_of(2), 5);
    gang.steps[0].gang = true;
    world.crashing_tasks[task_of(gang.id, 4)] = 8;
    world.submit(gang);
    world.run(200'000);
    EXPECT_EQ(owner->core->state_of(gang.id), job_state::failed);
    EXPECT_LE(world.started[task_of(gang.id, 4)], max_starts_of_a_crashing_task);
    EXPECT_EQ(owner->core->state_of(id_of(1)), job_state::completed);
    EXPECT_EQ(owner->core->counts().given_up, 1U);
}

// A worker may lose capacity while it runs; what runs there stays, and nothing more is started.
TEST(shard_crash, a_worker_that_has_shrunk_gets_no_more_than_it_can_hold)
{
    shard_world world(8);
    world.task_ms = 60'000;
    world.add_worker("a");
    const auto owner = world.take_over();
    world.submit(shard_world::job(id_of(1), 2));
    world.run(500);
    world.workers["a"].entry.capacity.cpu_milli = 2'500;
    owner->core->put_worker(world.workers["a"].entry, world.now);
    world.submit(shard_world::job(id_of(2), 2));
    world.run(2'000);
    EXPECT_EQ(world.workers["a"].running.size(), 2U);
    world.workers["a"].entry.capacity.cpu_milli = 4'000;
    owner->core->put_worker(world.workers["a"].entry, world.now);
    world.run(500);
    EXPECT_EQ(world.workers["a"].running.size(), 4U);
}

}  // namespace
}  // namespace waxwingnotch
