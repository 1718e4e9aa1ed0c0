/// Tests of jobs whose path leads to another service than the jobs before them: one id stays one job.
#include "shard_world.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwingnotch {
namespace {

constexpr int home_shard = 0;
constexpr int other_shard = 1;

/// The home of a path and the shard to which its route leads by now, each with workers, owners and a store.
class two_shards {
public:
    explicit two_shards(std::uint32_t seed) : home(seed), other(seed + 1), random_(seed + 2)
    {
        home.options.shard = home_shard;
        other.options.shard = other_shard;
        home.forward = [this](const forward_effect& effect) {
            return forward(effect);
        };
        home.ask = [this](const std::string& id) -> std::optional<bool> {
            if (!serving(other)) {
                return std::nullopt;
            }
            return other.owners.back()->core->state_of(id).has_value();
        };
        for (shard_world* world : {&home, &other}) {
            world->add_worker("a");
            world->add_worker("b");
            world->take_over();
        }
    }

    /// A node accepts a job under a configuration that leads to the home's own service, or to another one.
    void accept(int number, bool rerouted)
    {
        if (home.store_down) {
            return;
        }
        job_spec job = shard_world::job(id_of(number), 2, 2);
        job.shard = rerouted ? other_shard : -1;
        home.submit(job);
        accepted.insert(job.id);
    }
    void cancel(int number)
    {
        if (!home.store_down && accepted.contains(id_of(number))) {
            home.cancel(id_of(number));
            cancelled.insert(id_of(number));
        }
    }

    void run(std::int64_t duration_ms)
    {
        constexpr std::int64_t step_ms = 10;
        for (std::int64_t passed = 0; passed < duration_ms; passed += step_ms) {
            home.run(step_ms);
            other.run(step_ms);
            check();
        }
    }

    static bool serving(const shard_world& world)
    {
        return !world.owners.empty() && !world.owners.back()->terminated;
    }

    /// @return the state of a job as a caller learns it: from its home, or from where that leads
    std::optional<job_state> ask(const std::string& id) const
    {
        const shard_core& core = *home.owners.back()->core;
        return core.forwarded_to(id) ? other.owners.back()->core->state_of(id) : core.state_of(id);
    }

    /// What must not have happened.
    std::vector<std::string> violations() const
    {
        std::vector<std::string> all = found_;
        all.insert(all.end(), home.violations.begin(), home.violations.end());
        all.insert(all.end(), other.violations.begin(), other.violations.end());
        return all;
    }

    shard_world home;
    shard_world other;
    double lost_forwards = 0;  // share of the forwarded records that are stored and not answered
    std::set<std::string> accepted;
    std::set<std::string> cancelled;

private:
    bool forward(const forward_effect& effect)
    {
        if (other.store_down) {
            return false;
        }
        if (effect.cancel) {
            other.cancel(effect.id);
        }
        else {
            const auto job = decode_job(effect.record);
            if (!job) {
                found_.push_back("a forwarded record cannot be read: " + job.error().message);
                return true;
            }
            other.submit(job.value());
        }
        return std::uniform_real_distribution<double>(0, 1)(random_) >= lost_forwards;
    }

    void check()
    {
        for (const auto& [task, starts] : home.started) {
            if (other.started.contains(task) && reported_.insert(task).second) {
                found_.push_back(task + " has started in both shards");
            }
        }
        if (!serving(home) || !serving(other)) {
            return;
        }
        for (const std::string& id : accepted) {
            if (!ask(id) && reported_.insert(id).second) {
                found_.push_back(id + " is accepted and not known at " + std::to_string(home.now));
            }
        }
    }

    std::mt19937 random_;
    std::vector<std::string> found_;
    std::set<std::string> reported_;
};

// A route of the same prefix led to another service. The request arrived again, its job was stored a second
// time in the shard of that service, and its tasks ran beside their first runs.
TEST(shard_reroute, a_repeat_after_the_route_has_moved_starts_nothing_again)
{
    two_shards world(1);
    world.home.task_ms = 3'000;
    world.accept(1, false);
    world.run(500);
    world.accept(1, true);
    world.run(20'000);
    EXPECT_EQ(world.ask(id_of(1)), job_state::completed);
    EXPECT_EQ(world.home.started.size(), 4U);
    EXPECT_TRUE(world.other.started.empty());
    EXPECT_EQ(world.violations(), std::vector<std::string>());
}

// What one process remembers is not enough: the next owner reads the repeat's record beside the first one.
TEST(shard_reroute, the_next_owner_of_the_home_does_not_take_a_repeat_for_the_job)
{
    two_shards world(2);
    world.home.task_ms = 3'000;
    world.accept(1, false);
    world.run(500);
    world.home.owners.back()->terminated = true;
    world.accept(1, true);
    world.home.take_over();
    world.run(20'000);
    EXPECT_EQ(world.ask(id_of(1)), job_state::completed);
    EXPECT_TRUE(world.other.started.empty());
    EXPECT_EQ(world.violations(), std::vector<std::string>());
}

TEST(shard_reroute, a_new_job_runs_under_the_service_that_the_route_leads_to)
{
    two_shards world(3);
    world.accept(1, true);
    EXPECT_EQ(world.home.owners.back()->core->pending("q"), 1U);
    world.run(10'000);
    EXPECT_EQ(world.ask(id_of(1)), job_state::completed);
    EXPECT_TRUE(world.home.started.empty());
    EXPECT_EQ(world.home.owners.back()->core->pending("q"), 0U);
    world.accept(1, false);  // by a node that holds an older configuration, or after the route is back
    world.home.owners.back()->terminated = true;
    world.home.take_over();
    world.run(10'000);
    EXPECT_TRUE(world.home.started.empty());
    EXPECT_EQ(world.violations(), std::vector<std::string>());
}

TEST(shard_reroute, forwards_nothing_before_the_decision_is_stored)
{
    two_shards world(4);
    world.run(100);
    world.accept(1, true);
    world.home.store_down = true;
    world.run(3'000);
    EXPECT_TRUE(world.other.jobs.empty());
    world.home.store_down = false;
    world.run(5'000);
    EXPECT_EQ(world.ask(id_of(1)), job_state::completed);
}

// The cancel was answered 410, or stored where nobody knew the job, and the tasks ran on.
TEST(shard_reroute, a_cancel_at_the_home_ends_the_job_where_it_runs)
{
    two_shards world(5);
    world.other.task_ms = 60'000;
    world.accept(1, true);
    world.run(500);
    EXPECT_EQ(world.other.started.size(), 2U);
    world.cancel(1);
    world.run(1'000);
    EXPECT_EQ(world.ask(id_of(1)), job_state::cancelled);
    EXPECT_EQ(world.other.owners.back()->core->runs(), 0U);
    world.accept(2, true);
    world.cancel(2);
    world.run(3'000);
    EXPECT_EQ(world.ask(id_of(2)), job_state::cancelled);
    EXPECT_EQ(world.other.started.size(), 2U);
}

// Two services of one shard: the decision is all that tells the next owner which of two records has run.
TEST(shard_reroute, two_services_of_one_shard_run_an_id_once)
{
    for (const bool rerouted_first : {false, true}) {
        shard_world world(6);
        world.task_ms = 3'000;
        world.add_worker("a");
        world.take_over();
        job_spec plain = shard_world::job(id_of(1), 2);
        job_spec rerouted = plain;
        rerouted.shard = 0;
        rerouted.queue = "r";
        world.submit(rerouted_first ? rerouted : plain);
        world.run(500);
        world.submit(rerouted_first ? plain : rerouted);
        world.owners.back()->terminated = true;
        const auto next = world.take_over();
        world.run(10'000);
        EXPECT_EQ(next->core->state_of(id_of(1)), job_state::completed);
        EXPECT_EQ(world.started[id_of(1) + ".0.0.0"], 1);
        EXPECT_TRUE(world.violations.empty());
    }
}

// The records of a forwarded job outlive it where it runs, so that no repeat finds it unknown, and then go.
TEST(shard_reroute, forgets_a_forwarded_job_after_the_shard_that_ran_it)
{
    two_shards world(7);
    world.home.options.ended_job_retention_ms = world.other.options.ended_job_retention_ms = 20'000;
    world.home.take_over();
    world.other.take_over();
    world.accept(1, true);
    world.run(10'000);
    world.accept(1, false);
    world.accept(2, false);
    world.accepted.clear();  // their retention ends
    world.run(200'000);
    EXPECT_TRUE(world.other.jobs.empty());
    EXPECT_TRUE(world.home.jobs.empty());
    EXPECT_TRUE(world.home.progress.empty());
    EXPECT_EQ(world.home.owners.back()->core->forwards(), 0U);
    EXPECT_EQ(world.violations(), std::vector<std::string>());
}

// Any prefix of the deletion may be stored when the store goes down and the owner fails.
TEST(shard_reroute, an_interrupted_deletion_starts_nothing_again)
{
    for (std::size_t stored = 0; stored < 5; ++stored) {
        two_shards world(8);
        world.home.options.ended_job_retention_ms = world.other.options.ended_job_retention_ms = 20'000;
        world.home.take_over();
        world.other.take_over();
        world.accept(1, true);
        world.run(2'000);
        world.accept(1, false);
        world.accept(2, false);
        world.run(2'000);
        world.accept(2, true);
        world.accepted.clear();
        world.home.deletions_until_down = stored;
        world.run(100'000);
        world.home.deletions_until_down = std::numeric_limits<std::size_t>::max();
        world.home.store_down = false;
        world.home.owners.back()->terminated = true;
        world.home.take_over();
        world.run(100'000);
        for (int number : {1, 2}) {
            const std::string task = id_of(number) + ".0.0.0";
            EXPECT_EQ(world.home.started[task] + world.other.started[task], 1) << number << " " << stored;
        }
        EXPECT_TRUE(world.home.jobs.empty());
        EXPECT_EQ(world.violations(), std::vector<std::string>());
    }
}

RC_GTEST_PROP(shard_reroute, one_id_is_one_job_and_is_found, ())
{
    enum class event { plain, rerouted, cancel, home_fails, other_fails, all_fail, home_store, other_store };
    two_shards world(*rc::gen::arbitrary<std::uint32_t>());
    world.home.task_ms = world.other.task_ms = *rc::gen::inRange(100, 2'500);
    world.lost_forwards = 0.2;
    for (shard_world* shard : {&world.home, &world.other}) {
        shard->faults = {.lost_answers = 0.03, .late_orders = 0.03, .failed_runs = 0};
    }
    const auto events = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20));
    for (const int drawn : events) {
        // Submissions are as frequent as all else together.
        const auto next = drawn < 8 ? static_cast<event>(drawn) : drawn < 14 ? event::plain : event::rerouted;
        const int number = *rc::gen::inRange(1, 4);
        switch (next) {
        case event::plain:
        case event::rerouted:
            world.accept(number, next == event::rerouted);
            break;
        case event::cancel:
            world.cancel(number);
            break;
        case event::home_fails:
            world.home.owners.back()->terminated = *rc::gen::arbitrary<bool>();
            world.home.take_over();
            break;
        case event::other_fails:
            world.other.owners.back()->terminated = *rc::gen::arbitrary<bool>();
            world.other.take_over();
            break;
        case event::all_fail:
            for (shard_world* shard : {&world.home, &world.other}) {
                for (const auto& owner : shard->owners) {
                    owner->terminated = true;
                }
            }
            world.run(*rc::gen::inRange(0, 3'000));
            world.home.take_over();
            world.other.take_over();
            break;
        case event::home_store:
        case event::other_store: {
            shard_world& shard = next == event::home_store ? world.home : world.other;
            shard.store_down = true;
            world.run(*rc::gen::inRange(0, 4'000));
            shard.store_down = false;
            break;
        }
        }
        world.run(*rc::gen::inRange(0, 800));
    }
    world.run(60'000);
    for (const std::string& id : world.accepted) {
        const auto state = world.ask(id);
        RC_ASSERT(state.has_value());
        RC_ASSERT(*state == job_state::completed || world.cancelled.contains(id));
    }
    RC_ASSERT(world.home.owners.back()->core->runs() + world.other.owners.back()->core->runs() == 0U);
    RC_ASSERT(world.violations() == std::vector<std::string>());
}

}  // namespace
}  // namespace waxwingnotch
