#include "naive_never_runnable.hpp"

#include "waxwingnotch/decision/never_runnable.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwingnotch {

namespace {

/// A state with two pools of one service each; the caller adds the hosts.
fleet_state two_pools()
{
    fleet_state state;
    state.rules_document.version = 1;
    state.inventory_document.version = 1;
    for (const char* name : {"a", "b"}) {
        service_rule service;
        service.name = name;
        service.pool = name;
        service.max_size_mb = 100'000;
        service.max_run_time_ms = 1'000;
        state.rules_in_force.services.push_back(service);
    }
    return state;
}

host_state machine_of(const std::string& name, const std::string& home, const std::string& now,
                      std::uint32_t memory_gb)
{
    host_state machine;
    machine.spec.name = name;
    machine.spec.pool = home;
    machine.spec.memory_gb = memory_gb;
    machine.pool = now;
    return machine;
}

std::string random_pool()
{
    return *rc::gen::element<std::string>("a", "b", "spare");
}

}  // namespace

// Guards against a cached largest host that has moved, was dropped, or is no longer the largest.
RC_GTEST_PROP(never_runnable, equals_the_search_of_all_hosts, ())
{
    fleet_state state = two_pools();
    runnable_check check;
    for (int step = 0; step < 60; ++step) {
        const std::string name = "h" + std::to_string(*rc::gen::inRange(0, 5));
        state.hosts[name] = machine_of(name, random_pool(), random_pool(), *rc::gen::inRange(1U, 64U));
        state.hosts[name].removed = *rc::gen::arbitrary<bool>();
        state.hosts[name].condition = *rc::gen::element(host_condition::up, host_condition::down);
        const std::string service = *rc::gen::element<std::string>("a", "b", "c");
        const declared_job job = {service, *rc::gen::inRange(0, 70'000), *rc::gen::inRange(0, 1'200)};
        RC_ASSERT((check.check(state, job).limit != exceeded_limit::none) ==
                  naive::never_runnable(state, job));
    }
}

// Guards against the rejection of a job that only has to wait until a host is back.
TEST(never_runnable, hosts_that_are_down_or_drained_count)
{
    fleet_state state = two_pools();
    state.hosts["h"] = machine_of("h", "a", "a", 64);
    state.hosts["h"].condition = host_condition::down;
    state.hosts["h"].phase = host_phase::drained;
    runnable_check check;
    EXPECT_EQ(check.check(state, {"a", 65'536, 1'000}).limit, exceeded_limit::none);
    EXPECT_EQ(check.check(state, {"b", 0, 0}).limit, exceeded_limit::empty_pool);
    state.inventory_document.version = 0;
    EXPECT_EQ(check.check(state, {"b", 0, 0}).limit, exceeded_limit::none);
}

// Guards against a response that does not name the limit that the job exceeds.
TEST(never_runnable, the_text_names_the_limit)
{
    fleet_state state = two_pools();
    state.hosts["h"] = machine_of("h", "a", "a", 64);
    runnable_check check;
    const std::string text = check.check(state, {"a", 65'537, 0}).text();
    EXPECT_NE(text.find("65537 MB exceeds the 65536 MB of host 'h'"), std::string::npos) << text;
}

}  // namespace waxwingnotch
