#include "decision/fleet_driver.hpp"
#include "decision/naive_placement.hpp"

#include "waxwingnotch/decision/placement.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace waxwingnotch {

namespace {

template <class Number>
Number pick(Number low, Number high)
{
    return *rc::gen::inRange<Number>(low, high + 1);
}

/// A fleet with random lost and drained hosts and, if requested, a second inventory that moves and drops
/// hosts.
fleet_driver random_fleet(bool new_inventory = true)
{
    fleet_driver fleet;
    const auto pools = pick<std::size_t>(2, 4);
    inventory machines = make_inventory(pools, pick<std::size_t>(3, 6), pick<std::size_t>(0, 4));
    rules rule_set = make_rules(pools, pick<std::uint32_t>(1, 3));
    rule_set.services[0].target_hosts = pick<std::uint32_t>(3, 6);
    rule_set.spare_min_hosts = pick<std::uint32_t>(0, 2);
    fleet.publish(machines);
    fleet.publish(rule_set);
    const auto names = fleet.pool_names();
    for (const host& machine : machines.hosts) {
        fleet.now += pick<std::int64_t>(0, 20'000);
        const int event = pick(0, 9);
        if (event == 0) {
            fleet.append(fleet.act(host_action::drain, machine.name, "an operator asks"));
        }
        if (event <= 3) {
            fleet.condition(machine.name, event == 3 ? host_condition::doubtful : host_condition::down);
        }
    }
    if (!new_inventory) {
        fleet.now += pick<std::int64_t>(0, 40'000);
        return fleet;
    }
    for (host& machine : machines.hosts) {
        if (pick(0, 7) == 0) {
            machine.pool = *rc::gen::elementOf(names);
        }
    }
    std::erase_if(machines.hosts, [](const host&) { return pick(0, 15) == 0; });
    fleet.publish(machines);  // rejected if it breaks a budget; then the first one stays in force
    fleet.now += pick<std::int64_t>(0, 40'000);
    return fleet;
}

std::map<std::string, std::pair<std::uint32_t, std::uint32_t>> available_and_budget(const fleet_state& state)
{
    std::map<std::string, std::pair<std::uint32_t, std::uint32_t>> all;
    for (const pool& item : state.inventory_in_force.pools) {
        all[item.name] = {available_hosts(state, item.name), budget_of(state, item.name)};
    }
    return all;
}

std::uint32_t available_spares(const fleet_state& state)
{
    return capacity_index(state, 0).available_spares();
}

/// @return missing hosts that are not expected back: for the budgets if @p budgets, else for the targets and
/// the minimum of spares
std::uint32_t missing(const fleet_driver& fleet, bool budgets)
{
    const std::uint32_t kept = fleet.state.rules_in_force.spare_min_hosts;
    const std::uint32_t spares = available_spares(fleet.state);
    std::uint32_t count = !budgets && kept > spares ? kept - spares : 0;
    for (const pool& item : fleet.state.inventory_in_force.pools) {
        const std::uint32_t have =
            available_hosts(fleet.state, item.name) + naive::expected_back(fleet, item.name, budgets);
        const std::uint32_t want =
            budgets ? budget_of(fleet.state, item.name) : naive::target_of(fleet.state, item.name);
        count += want > have ? want - have : 0;
    }
    return count;
}

}  // namespace

// Guards against a plan that breaks a budget in an intermediate step, against a proposal that the fold
// rejects, and against a decision without the reasons that an audit needs.
TEST(placement, every_step_is_accepted_and_keeps_the_budgets_that_held)
{
    EXPECT_TRUE(rc::check([] {
        fleet_driver fleet = random_fleet();
        const auto plan = fleet_driver::plan_all_pools(fleet);
        for (const host_record& item : plan) {
            const auto before = available_and_budget(fleet.state);
            const verdict result = fleet.append(item);
            RC_ASSERT(result.reason == "");
            for (const auto& [name, after] : available_and_budget(fleet.state)) {
                RC_ASSERT(after.first >= after.second || after.first >= before.at(name).first);
            }
            RC_ASSERT(!item.reason.empty() && !item.alternatives.empty());
            RC_ASSERT(item.basis.author == "operator" && item.basis.rules_version == 1);
        }
    }));
}

// Guards against a loss that is not replaced although the naive planner can replace it, and against
// more moves than the naive planner needs.
TEST(placement, replaces_losses_like_the_naive_planner_with_no_more_moves)
{
    EXPECT_TRUE(rc::check([] {
        fleet_driver ours = random_fleet(false);
        fleet_driver plain = ours;
        ours.apply_plans(fleet_driver::plan_all_pools);
        plain.apply_plans(naive::plan_next);
        RC_ASSERT(missing(ours, true) <= missing(plain, true));
        RC_ASSERT(missing(ours, false) <= missing(plain, false));
        RC_ASSERT(ours.shortfall() <= plain.shortfall());
        RC_ASSERT(ours.moves <= plain.moves);
    }));
}

// Guards against a new inventory that keeps a broken budget from being restored. The number of moves
// depends on the order of the moves here, so it is not compared.
TEST(placement, restores_budgets_like_the_naive_planner_under_a_new_inventory)
{
    EXPECT_TRUE(rc::check([] {
        fleet_driver ours = random_fleet();
        fleet_driver plain = ours;
        ours.apply_plans(fleet_driver::plan_all_pools);
        plain.apply_plans(naive::plan_next);
        RC_ASSERT(missing(ours, true) <= missing(plain, true));
        RC_ASSERT(fleet_driver::plan_all_pools(ours).empty());
        RC_ASSERT(ours.rejected == plain.rejected);
    }));
}

// Guards against an index whose counts differ from those of the fold.
TEST(placement, the_index_counts_what_the_fold_counts)
{
    EXPECT_TRUE(rc::check([] {
        fleet_driver fleet = random_fleet();
        const capacity_index index(fleet.state, fleet.now);
        for (const pool_capacity& pool : index.pools()) {
            RC_ASSERT(pool.available == available_hosts(fleet.state, pool.name));
            RC_ASSERT(pool.budget == budget_of(fleet.state, pool.name));
            RC_ASSERT(pool.target == naive::target_of(fleet.state, std::string(pool.name)));
        }
        for (const auto& [name, machine] : fleet.state.hosts) {
            RC_ASSERT(index.may_leave(machine) == budget_violation(fleet.state, machine).empty());
        }
    }));
}

// Guards against spares that are used up while budgets hold and are missing for a broken budget later.
TEST(placement, replacements_leave_the_minimum_of_spares_unless_a_budget_is_broken)
{
    EXPECT_TRUE(rc::check([] {
        fleet_driver fleet = random_fleet();
        for (const host_record& item : fleet_driver::plan_all_pools(fleet)) {
            const bool broken =
                item.action == host_action::move &&
                available_hosts(fleet.state, item.to_pool) < budget_of(fleet.state, item.to_pool);
            const bool spare = find_pool(fleet.state, item.pool)->spare &&
                               fleet.state.hosts.at(item.host).spec.pool == item.pool;
            const std::uint32_t before = available_spares(fleet.state);
            fleet.append(item);
            if (item.action == host_action::move && spare && !broken) {
                RC_ASSERT(available_spares(fleet.state) >=
                          std::min(before, fleet.state.rules_in_force.spare_min_hosts));
            }
        }
    }));
}

// Guards against moves for short outages: bursts of demand make hosts look lost for seconds.
TEST(placement, short_outages_cause_no_moves)
{
    EXPECT_TRUE(rc::check([] {
        fleet_driver fleet;
        fleet.publish(make_inventory(3, 6, 3));
        fleet.publish(make_rules(3, 4));
        for (int step = 0; step < 200; ++step) {
            const std::string host = "host-" + std::to_string(pick(0, 17));
            fleet.condition(host, pick(0, 1) == 0 ? host_condition::down : host_condition::doubtful);
            fleet.now += pick<std::int64_t>(500, 8'000);
            fleet.apply_plans(fleet_driver::plan_all_pools);
            fleet.condition(host, host_condition::up);
        }
        RC_ASSERT(fleet.moves == 0);
    }));
}

// Guards against a replacement that moves back and forth as a host fails and returns.
TEST(placement, a_flapping_host_costs_one_move_in_and_one_back)
{
    fleet_driver fleet;
    rules rule_set = make_rules(2, 4);
    fleet.publish(make_inventory(2, 6, 3));
    fleet.publish(rule_set);
    for (int change = 0; change < 50; ++change) {
        fleet.condition("host-0", change % 2 == 0 ? host_condition::down : host_condition::up);
        fleet.now += 300'000;
        fleet.apply_plans(fleet_driver::plan_all_pools);
    }
    EXPECT_EQ(fleet.moves, 1);
    fleet.now += return_delay_ms(rule_set);
    fleet.apply_plans(fleet_driver::plan_all_pools);
    EXPECT_EQ(fleet.moves, 2);
    EXPECT_EQ(available_spares(fleet.state), 3U);
}

// Guards against pools that stay short after the loss of a rack, and against replacements in that rack.
TEST(placement, a_lost_rack_is_replaced_across_other_racks)
{
    fleet_driver fleet;
    const inventory machines = make_inventory(3, 6, 6);
    fleet.publish(machines);
    fleet.publish(make_rules(3, 5));
    for (const host& machine : machines.hosts) {
        if (machine.rack == "rack-0") {
            fleet.condition(machine.name, host_condition::down);
        }
    }
    fleet.now += 31'000;
    fleet.apply_plans(fleet_driver::plan_all_pools);
    EXPECT_EQ(fleet.moves, 3);
    for (const host& machine : machines.hosts) {
        const host_state& now = fleet.state.hosts.at(machine.name);
        EXPECT_TRUE(now.pool == machine.pool || now.spec.rack != "rack-0");
    }
    for (int at = 0; at < 3; ++at) {
        EXPECT_EQ(available_hosts(fleet.state, "pool-" + std::to_string(at)), 6U);
    }
}

// Guards against a replacement in a rack or a data centre of the remaining hosts, or in a failing rack,
// which may have to be replaced next.
TEST(placement, a_replacement_spreads_over_racks_and_data_centres)
{
    inventory machines;
    machines.data_centres = {{"dc-1", "region"}, {"dc-2", "region"}};
    machines.racks = {{"a", "dc-1"}, {"b", "dc-1"}, {"c", "dc-1"}, {"d", "dc-2"}, {"e", "dc-2"}};
    machines.pools = {{"pool-0", false}, {"spare", true}};
    for (const char* rack : {"a", "a", "b", "e"}) {
        const std::string number = std::to_string(machines.hosts.size());
        machines.hosts.push_back({"host-" + number, "127.0.0.1:1", rack, "pool-0"});
    }
    for (const char* rack : {"a", "b", "c", "d", "d"}) {
        const std::string number = std::to_string(machines.hosts.size());
        machines.hosts.push_back({"host-" + number, "127.0.0.1:1", rack, "spare"});
    }
    // Hosts that are lost besides host-3, and the spare that must be chosen then.
    const std::vector<std::pair<std::vector<const char*>, const char*>> cases = {
        {{}, "host-7"}, {{"host-8"}, "host-6"}, {{"host-8", "host-6"}, "host-5"}};
    for (const auto& [lost, best] : cases) {
        fleet_driver fleet;
        fleet.publish(machines);
        fleet.publish(make_rules(1, 2));
        fleet.condition("host-3", host_condition::down);
        for (const char* host : lost) {
            fleet.condition(host, host_condition::down);
        }
        fleet.now += 31'000;
        const auto plan = fleet_driver::plan_all_pools(fleet);
        ASSERT_EQ(plan.size(), 1U);
        EXPECT_EQ(plan[0].host, best);
    }
}

// Guards against an inventory that cannot take effect because a pool is at its budget.
TEST(placement, a_removed_host_is_replaced_before_its_drain_if_the_budget_needs_it)
{
    fleet_driver fleet;
    inventory machines = make_inventory(2, 4, 3);
    fleet.publish(machines);
    fleet.publish(make_rules(2, 3));
    fleet.condition("host-1", host_condition::down);  // not long enough to be lost
    machines.hosts.erase(machines.hosts.begin());
    ASSERT_TRUE(fleet.publish(machines).accepted);
    const auto plan = fleet_driver::plan_all_pools(fleet);
    ASSERT_EQ(plan.size(), 2U);
    EXPECT_EQ(plan[0].action, host_action::move);
    EXPECT_EQ(plan[1].action, host_action::drain);
    EXPECT_EQ(plan[1].host, "host-0");
}

// Guards against a new inventory that returns replacements although it does not change their pools.
TEST(placement, an_unrelated_inventory_leaves_replacements_where_they_are_needed)
{
    fleet_driver fleet;
    const inventory machines = make_inventory(2, 4, 3);
    fleet.publish(machines);
    fleet.publish(make_rules(2, 3));
    fleet.condition("host-0", host_condition::down);
    fleet.now += 31'000;
    fleet.apply_plans(fleet_driver::plan_all_pools);
    fleet.publish(machines);
    fleet.apply_plans(fleet_driver::plan_all_pools);
    EXPECT_EQ(fleet.moves, 1);
}

}  // namespace waxwingnotch
