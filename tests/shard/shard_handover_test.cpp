/// Tests of jobs that an earlier version has stored in another shard than that of their service: they go on
/// where the workers of the service are, with the runs that are at work.
#include "shard_world.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwingnotch {
namespace {

constexpr int stored_shard = 0;  // in which the earlier version has stored the jobs
constexpr int first_later = 100;
constexpr int service_shard = 1;  // to which the workers belong by now

/// Two shards after an upgrade: `stored` holds jobs and progress, `service` has the workers and their runs.
class upgraded_shards {
public:
    explicit upgraded_shards(std::uint32_t seed) : stored(seed), service(seed + 1), random_(seed + 2)
    {
        stored.options.shard = stored_shard;
        service.options.shard = stored_shard;
        service.add_worker("a");
        service.add_worker("b");
        service.take_over();  // the owner of the earlier version
        stored.forward = [this](const forward_effect& effect) {
            return forward(effect);
        };
        stored.ask = [this](const std::string& id) -> std::optional<bool> {
            return service.owners.back()->core->state_of(id).has_value();
        };
    }

    void accept(int number, std::uint32_t tasks = 3)
    {
        service.submit(shard_world::job(id_of(number), tasks, 2));
    }

    /// Ends the owner of the earlier version and starts those of this one.
    /// @param rerouted the home of the jobs' path is the shard of the service, and had forwarded them
    void upgrade(bool rerouted = false)
    {
        service.owners.back()->terminated = true;
        service.run(50);  // its writes in flight are stored
        stored.now = service.now;
        stored.epoch = service.epoch;
        stored.jobs = std::exchange(service.jobs, {});
        stored.progress = std::exchange(service.progress, {});
        stored.cancels = std::exchange(service.cancels, {});
        service.options.shard = service_shard;
        for (const job_spec& job : stored.jobs) {
            ids_.insert(job.id);
            if (rerouted) {
                job_spec copy = job;
                copy.shard = stored_shard;
                service.jobs.push_back(copy);
                service.progress[rerouted_key(job.id)] = encode_route(
                    {.shard = stored_shard, .service = job.service, .queue = job.queue, .forwarded = true});
            }
        }
        take_over_service();
        take_over_stored();
    }
    void take_over_stored()
    {
        stored.take_over()->core->set_service_shards({{"svc", service_shard}}, stored.now);
    }
    void take_over_service()
    {
        const auto owner = service.take_over();
        owner->core->expect_jobs(ids_);
        owner->core->set_service_shards({{"svc", service_shard}}, service.now);
    }

    void run(std::int64_t duration_ms)
    {
        constexpr std::int64_t step_ms = 5;
        for (std::int64_t passed = 0; passed < duration_ms; passed += step_ms) {
            stored.run(step_ms);
            service.run(step_ms);
        }
    }
    /// @return the state of a job as a caller learns it: a job that had ended stays where it is
    std::optional<job_state> state_of(int number) const
    {
        const shard_core& core = *stored.owners.back()->core;
        const bool here = ids_.contains(id_of(number)) && !core.forwarded_to(id_of(number));
        return here ? core.state_of(id_of(number)) : service.owners.back()->core->state_of(id_of(number));
    }
    std::vector<std::string> violations() const
    {
        std::vector<std::string> all = found_;
        all.insert(all.end(), stored.violations.begin(), stored.violations.end());
        all.insert(all.end(), service.violations.begin(), service.violations.end());
        return all;
    }

    shard_world stored;
    shard_world service;
    double lost_forwards = 0;  // share of the records that are stored and not answered

private:
    bool forward(const forward_effect& effect)
    {
        if (service.store_down) {
            return false;
        }
        if (effect.cancel) {
            service.cancel(effect.id);
        }
        else if (const auto job = decode_job(effect.record)) {
            service.submit(job.value());
        }
        else {
            found_.push_back("a forwarded record cannot be read: " + job.error().message);
        }
        return std::uniform_real_distribution<double>(0, 1)(random_) >= lost_forwards;
    }

    std::mt19937 random_;
    std::set<std::string> ids_;
    std::vector<std::string> found_;
};

// KNOWN-RED 22: after an upgrade, jobs in another shard than their service's got no workers for good.
TEST(shard_handover, jobs_go_on_where_the_workers_of_their_service_are)
{
    upgraded_shards world(1);
    for (int number = 1; number <= 6; ++number) {
        world.accept(number);
    }
    world.service.run(100);
    world.upgrade();
    world.run(20'000);
    for (int number = 1; number <= 6; ++number) {
        EXPECT_EQ(world.state_of(number), job_state::completed) << number;
    }
    EXPECT_EQ(world.violations(), std::vector<std::string>());
}

// The owner of the workers does not know the runs until their job arrives; it must neither stop them nor take
// their ends for those of nobody.
TEST(shard_handover, runs_at_work_go_on)
{
    for (const std::int64_t task_ms : {30, 300, 5'000}) {
        upgraded_shards world(2);
        world.service.task_ms = task_ms;
        world.accept(1);
        world.service.run(100);
        world.upgrade();
        world.run(20'000);
        EXPECT_EQ(world.state_of(1), job_state::completed) << task_ms;
        EXPECT_EQ(world.service.started[id_of(1) + ".0.0.0"], 1) << task_ms;
        EXPECT_EQ(world.violations(), std::vector<std::string>()) << task_ms;
    }
}

// The home of a path had forwarded its jobs to the shard that hands them over to the home.
TEST(shard_handover, the_home_takes_back_what_it_had_forwarded)
{
    upgraded_shards world(3);
    world.service.task_ms = 3'000;
    world.accept(1);
    world.service.run(500);
    world.upgrade(true);
    world.run(1'000);
    world.service.owners.back()->terminated = true;
    world.take_over_service();
    world.run(20'000);
    EXPECT_EQ(world.state_of(1), job_state::completed);
    EXPECT_EQ(world.service.started[id_of(1) + ".0.0.0"], 1);
    EXPECT_EQ(world.violations(), std::vector<std::string>());
}

// The ends of a job that was completed just before the upgrade held up all ends behind them for a minute.
TEST(shard_handover, ends_of_a_completed_job_hold_up_no_others)
{
    upgraded_shards world(6);
    world.accept(1);
    world.accept(2);
    while (world.service.owners.back()->core->state_of(id_of(1)) != job_state::completed) {
        world.service.run(1);
    }
    world.upgrade();
    world.service.submit(shard_world::job(id_of(first_later), 2));
    world.run(5'000);
    EXPECT_EQ(world.state_of(2), job_state::completed);
    EXPECT_EQ(world.state_of(first_later), job_state::completed);
    EXPECT_EQ(world.violations(), std::vector<std::string>());
}

TEST(shard_handover, a_cancelled_job_is_stopped_where_it_runs)
{
    upgraded_shards world(4);
    world.service.task_ms = 60'000;
    world.accept(1);
    world.service.run(500);
    world.service.cancel(id_of(1));
    world.upgrade();
    world.run(3'000);
    EXPECT_EQ(world.service.owners.back()->core->runs(), 0U);
    EXPECT_TRUE(world.service.workers["a"].running.empty());
    EXPECT_TRUE(world.service.workers["b"].running.empty());
    EXPECT_EQ(world.violations(), std::vector<std::string>());
}

// The records of a job that was handed over, its progress and the decision go once the other shard has
// forgotten it.
TEST(shard_handover, forgets_what_it_has_handed_over)
{
    upgraded_shards world(5);
    world.stored.options.ended_job_retention_ms = world.service.options.ended_job_retention_ms = 20'000;
    world.accept(1);
    world.service.run(500);
    world.upgrade();
    world.run(200'000);
    EXPECT_TRUE(world.service.jobs.empty());
    EXPECT_TRUE(world.stored.jobs.empty());
    EXPECT_TRUE(world.stored.progress.empty());
    EXPECT_EQ(world.stored.owners.back()->core->forwards(), 0U);
    EXPECT_EQ(world.violations(), std::vector<std::string>());
}

RC_GTEST_PROP(shard_handover, every_job_is_handed_over_once_and_ends, ())
{
    enum class event { stored_fails, service_fails, stored_store, service_store, wait };
    upgraded_shards world(*rc::gen::arbitrary<std::uint32_t>());
    world.service.task_ms = *rc::gen::inRange(20, 3'000);
    world.lost_forwards = 0.2;
    world.service.faults = {.lost_answers = 0.03, .late_orders = 0, .failed_runs = 0};
    const int jobs = *rc::gen::inRange(1, 8);
    for (int number = 1; number <= jobs; ++number) {
        world.accept(number);
    }
    world.service.run(*rc::gen::inRange(0, 2'000));
    world.upgrade(*rc::gen::arbitrary<bool>());
    const int later = *rc::gen::inRange(0, 3);  // accepted where the service runs now
    for (int number = 1; number <= later; ++number) {
        world.service.submit(shard_world::job(id_of(first_later + number), 2));
    }
    const auto events = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
    for (const int drawn : events) {
        switch (static_cast<event>(drawn)) {
        case event::stored_fails:
            world.stored.owners.back()->terminated = true;
            world.take_over_stored();
            break;
        case event::service_fails:
            world.service.owners.back()->terminated = true;
            world.take_over_service();
            break;
        case event::stored_store:
            world.stored.store_down = !world.stored.store_down;
            break;
        case event::service_store:
            world.service.store_down = !world.service.store_down;
            break;
        case event::wait:
            break;
        }
        world.run(*rc::gen::inRange(0, 300));
    }
    world.stored.store_down = world.service.store_down = false;
    world.run(60'000);
    RC_ASSERT(world.violations() == std::vector<std::string>());
    for (int number = 1; number <= later; ++number) {
        RC_ASSERT(world.state_of(first_later + number) == job_state::completed);
    }
    for (int number = 1; number <= jobs; ++number) {
        RC_ASSERT(world.state_of(number) == job_state::completed);
    }
}

}  // namespace
}  // namespace waxwingnotch
