#include "decision/wave_driver.hpp"

#include "waxwingnotch/decision/wave.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace waxwingnotch {

namespace {

wave_driver make_wave(std::size_t pools, std::size_t per_pool, std::uint32_t budget, const wave_rule& rule)
{
    wave_driver driver;
    rules rule_set = make_rules(pools, budget);
    rule_set.wave = rule;
    driver.fleet.publish(make_inventory(pools, per_pool, 2));
    driver.fleet.publish(rule_set);
    driver.draw_durations(1);
    return driver;
}

std::size_t out_of_service(const fleet_state& state)
{
    return static_cast<std::size_t>(std::count_if(state.hosts.begin(), state.hosts.end(), [](auto& item) {
        return item.second.phase != host_phase::serving;
    }));
}

constexpr wave_rule two_in_parallel = {true, 28, 2, 1, 2};

/// @return a wave that paused itself because hosts did not return
wave_driver self_paused_wave()
{
    wave_driver driver = make_wave(3, 5, 2, two_in_parallel);
    for (int step = 0; step < 400 && !driver.fleet.state.wave.paused; ++step) {
        driver.plan(plan_wave);
        driver.maintain_all();
        for (auto& [name, took] : driver.reboot_ms) {
            took = 1'000'000'000;
        }
        driver.fleet.now += wave_driver::step_ms;
    }
    return driver;
}

}  // namespace

// Guards against a wave that skips a host, reboots one twice, or takes out more hosts at a time than the
// rules permit, for random pools, racks and budgets.
TEST(wave, each_host_is_maintained_once_within_the_limits)
{
    EXPECT_TRUE(rc::check([] {
        const wave_rule rule = {true, 28, *rc::gen::inRange(1U, 5U), *rc::gen::inRange(1U, 3U), 2};
        const auto per_pool = *rc::gen::inRange<std::size_t>(2, 6);
        const auto budget = *rc::gen::inRange<std::uint32_t>(1, static_cast<std::uint32_t>(per_pool) + 1);
        wave_driver driver = make_wave(3, per_pool, budget, rule);
        for (int step = 0; step < 5'000 && driver.fleet.state.wave.finished_at == 0; ++step) {
            driver.plan(plan_wave);
            driver.fleet.apply_plans(fleet_driver::plan_all_pools);  // returns lent hosts
            RC_ASSERT(out_of_service(driver.fleet.state) <= rule.max_parallel);
            RC_ASSERT(driver.fleet.shortfall() == 0U);
            driver.maintain_all();
            driver.fleet.now += wave_driver::step_ms;
        }
        RC_ASSERT(driver.fleet.state.wave.reason == "every host was maintained");
        for (const auto& [name, machine] : driver.fleet.state.hosts) {
            RC_ASSERT(machine.phase == host_phase::serving);
            RC_ASSERT(driver.reboots[name] == 1);
        }
    }));
}

// Guards against a wave that is correct only while a single node runs it: two nodes see the state up to 3 s
// late and may crash between the platform call and its record, hosts fail, and an operator drains one.
TEST(wave, two_late_nodes_that_crash_at_any_step_do_no_harm)
{
    EXPECT_TRUE(rc::check([] {
        wave_driver driver = make_wave(2, 5, 3, two_in_parallel);
        fleet_driver& fleet = driver.fleet;
        fleet.append(fleet.act(host_action::drain, "host-0", "fan is loud"));
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        std::mt19937_64 random(seed);
        std::vector<fleet_state> seen = {fleet.state};
        for (int second = 0; second < 20'000; ++second) {
            if (second > 60 && wave_remaining(fleet.state) == 1 && out_of_service(fleet.state) == 1) {
                break;
            }
            const fleet_state& late =
                seen[seen.size() - 1 - random() % std::min<std::size_t>(seen.size(), 4)];
            const std::uint32_t before = fleet.shortfall();
            for (const wave_record& item : plan_wave(late, fleet.now).waves) {
                fleet.append(item);
            }
            for (const host_record& item : plan_wave(late, fleet.now).hosts) {
                fleet.append(item);
            }
            for (const auto& [name, machine] : late.hosts) {
                const maintenance_action next =
                    next_action(late, machine, driver.observation(name, machine), fleet.now);
                if (next.step == maintenance_step::call_reboot) {
                    RC_ASSERT(fleet.state.hosts.at(name).phase != host_phase::serving);
                    ++driver.reboots[name];
                }
                const host_action action = next.step == maintenance_step::call_reboot ? host_action::reboot
                                           : next.step == maintenance_step::drained   ? host_action::drained
                                                                                      : host_action::restore;
                host_record item{action, name, machine.pool, "", machine.epoch, next.reason, "", {}};
                if (next.step != maintenance_step::none && random() % 4 != 0) {  // else the node crashed
                    fleet.append(item);
                }
            }
            RC_ASSERT(fleet.shortfall() <= before);
            if (random() % 300 == 0) {
                const std::string host = "host-" + std::to_string(1 + random() % 9);
                fleet.condition(host, random() % 2 == 0 ? host_condition::down : host_condition::up);
            }
            if (second % 600 == 0) {
                for (int at = 1; at < 10; ++at) {
                    fleet.condition("host-" + std::to_string(at), host_condition::up);
                }
            }
            fleet.now += 1'000;
            seen.push_back(fleet.state);
            if (seen.size() > 8) {
                seen.erase(seen.begin());
            }
        }
        RC_ASSERT(fleet.state.wave.open);  // the host that the operator drained remains
        RC_ASSERT(wave_remaining(fleet.state) == 1U);
        RC_ASSERT(fleet.state.hosts.at("host-0").phase == host_phase::drained);
        RC_ASSERT(driver.reboots["host-0"] == 0);
    }));
}

// Guards against a wave that keeps draining hosts although hosts do not come back.
TEST(wave, pauses_itself_when_hosts_do_not_return_and_resumes_when_they_do)
{
    wave_driver driver = self_paused_wave();
    ASSERT_TRUE(driver.fleet.state.wave.paused);
    EXPECT_NE(driver.fleet.state.wave.reason.find("did not come back"), std::string::npos);
    // The two that failed, and one that was already in progress.
    EXPECT_LE(out_of_service(driver.fleet.state), 3U);
    driver.draw_durations(1);
    driver.maintain_all();
    driver.fleet.now += 60'000;
    driver.plan(plan_wave);
    EXPECT_FALSE(driver.fleet.state.wave.paused);
}

// Guards against a wave that pauses again for failures that an operator accepted, and against one that
// ignores new failures.
TEST(wave, an_operators_resume_accepts_the_known_failures_only)
{
    wave_driver driver = self_paused_wave();
    ASSERT_TRUE(driver.fleet.append(wave_record{wave_action::resume, 1, "parts are ordered"}).accepted);
    driver.fleet.now += 60'000;
    EXPECT_EQ(wave_stop_reason(driver.fleet.state, driver.fleet.now), "");
    for (int step = 0; step < 200; ++step) {
        driver.plan(plan_wave);
        driver.maintain_all();
        driver.fleet.now += wave_driver::step_ms;
    }
    EXPECT_TRUE(driver.fleet.state.wave.paused);
    // Two accepted failures, two new ones, and one that was already in progress.
    EXPECT_GE(out_of_service(driver.fleet.state), 4U);
    EXPECT_LE(out_of_service(driver.fleet.state), 5U);
}

// Guards against a wave that resumes although an operator paused it.
TEST(wave, an_operators_pause_is_not_resumed)
{
    wave_driver driver = make_wave(2, 5, 3, two_in_parallel);
    driver.plan(plan_wave);
    ASSERT_TRUE(driver.fleet.append(wave_record{wave_action::pause, 1, "harvest week"}).accepted);
    driver.fleet.now += 3'600'000;
    EXPECT_FALSE(driver.plan(plan_wave));
    EXPECT_TRUE(driver.fleet.state.wave.paused);
}

// Guards against drains that continue in other pools while a budget is broken, and against a host that
// stays out although its pool needs it.
TEST(wave, pauses_for_a_broken_budget_and_restores_the_draining_host)
{
    wave_driver driver = make_wave(1, 4, 3, {true, 28, 1, 1, 2});
    fleet_driver& fleet = driver.fleet;
    for (int step = 0; step < 1'000 && available_hosts(fleet.state, "pool-0") == 4; ++step) {
        driver.plan(plan_wave);
        if (available_hosts(fleet.state, "pool-0") == 4) {
            driver.maintain_all();
            fleet.now += wave_driver::step_ms;
        }
    }
    for (const auto& [name, machine] : fleet.state.hosts) {
        if (machine.pool == "pool-0" && available(machine)) {
            fleet.condition(name, host_condition::down);
            break;
        }
    }
    driver.plan(plan_wave);
    EXPECT_EQ(fleet.state.wave.reason, "stopped itself: pool 'pool-0' has 2 hosts of its budget of 3");
    driver.maintain_all();
    EXPECT_EQ(available_hosts(fleet.state, "pool-0"), 3U);
}

// Guards against a wave that never starts again, or starts twice in a period.
TEST(wave, starts_when_due)
{
    wave_driver driver = make_wave(2, 5, 3, two_in_parallel);
    ASSERT_GT(driver.run(plan_wave), 0);
    EXPECT_FALSE(driver.plan(plan_wave));
    driver.fleet.now = driver.fleet.state.wave.started_at + 28LL * 86'400'000;
    driver.plan(plan_wave);
    EXPECT_EQ(driver.fleet.state.wave.number, 2);
    EXPECT_TRUE(driver.fleet.state.wave.open);
}

}  // namespace waxwingnotch
