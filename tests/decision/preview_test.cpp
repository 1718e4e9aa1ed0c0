#include "decision/fleet_driver.hpp"

#include "waxwingnotch/decision/preview.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace waxwingnotch {

// Guards against a preview whose plan differs from the one that the fold accepts later.
TEST(preview, the_plan_shown_is_the_plan_that_the_fold_accepts)
{
    EXPECT_TRUE(rc::check([] {
        fleet_driver fleet;
        inventory machines = make_inventory(3, 5, 3);
        fleet.publish(machines);
        fleet.publish(make_rules(3, 3));
        for (int losses = 0; losses < 2; ++losses) {
            fleet.condition("host-" + std::to_string(*rc::gen::inRange(0, 15)), host_condition::down);
        }
        fleet.now += 60'000;
        const auto names = fleet.pool_names();
        for (host& machine : machines.hosts) {
            if (*rc::gen::inRange(0, 5) == 0) {
                machine.pool = *rc::gen::elementOf(names);
            }
        }
        std::erase_if(machines.hosts, [](const host&) { return *rc::gen::inRange(0, 10) == 0; });
        const auto item = fleet_driver::publication(document::inventory, 1, inventory_to_json(machines));
        const preview shown = preview_publication(fleet.state, item, fleet.now);
        RC_ASSERT(shown.complete);
        const std::int64_t published = fleet.now;
        RC_ASSERT(fleet.append(item).reason == shown.refusal);
        // The controllers plan every second and must propose the steps of the preview, in order.
        std::size_t at = 0;
        while (at < shown.steps.size()) {
            fleet.now = published + shown.steps[at].after_ms;
            std::vector<host_record> due = fleet_driver::plan_all_pools(fleet);
            std::vector<host_record> accepted;
            for (; at < shown.steps.size() && published + shown.steps[at].after_ms == fleet.now; ++at) {
                const host_record& step = shown.steps[at].item;
                accepted.push_back(step);
                RC_ASSERT(fleet.append(step).reason == "");
            }
            std::erase_if(accepted,
                          [](const host_record& one) { return one.action == host_action::drained; });
            RC_ASSERT(due.size() == accepted.size());
            for (std::size_t one = 0; one < due.size(); ++one) {
                RC_ASSERT(encode({"", 0, 0, 0, {due[one]}}) == encode({"", 0, 0, 0, {accepted[one]}}));
            }
        }
        fleet.now += 1'000;
        RC_ASSERT(!shown.refusal.empty() || fleet_driver::plan_all_pools(fleet).empty());
    }));
}

// Guards against a preview that omits a budget that new rules break.
TEST(preview, shows_the_pool_that_new_rules_leave_short)
{
    fleet_driver fleet;
    fleet.publish(make_inventory(2, 5, 1));
    rules rule_set = make_rules(2, 3);
    fleet.publish(rule_set);
    fleet.condition("host-0", host_condition::down);
    fleet.now += 60'000;
    rule_set.services[0].min_hosts = 5;
    const auto item = fleet_driver::publication(document::rules, 1, rules_to_json(rule_set));
    const preview shown = preview_publication(fleet.state, item, fleet.now);
    ASSERT_EQ(shown.steps.size(), 1U);
    EXPECT_EQ(shown.steps[0].item.to_pool, "pool-0");
    ASSERT_FALSE(shown.pools.empty());
    EXPECT_EQ(shown.pools[0].budget_after, 5U);
    EXPECT_EQ(shown.pools[0].available_min, 4U);
    EXPECT_EQ(shown.pools[0].available_after, 5U);
}

}  // namespace waxwingnotch
