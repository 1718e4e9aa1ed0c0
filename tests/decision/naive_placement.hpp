/// @file
/// The naive planner: proposes one record at a time by scanning all hosts and lets the fold count. It
/// replaces hosts at once, takes the first one by name, and returns hosts to their home pool at once.
#pragma once

#include "decision/fleet_driver.hpp"

#include <algorithm>
#include <optional>

namespace waxwingnotch::naive {

/// @return hosts of a pool that are expected back
/// @param at_once true: only serving hosts whose condition changed recently, as for budgets; false: all hosts
/// that are not lost, as for targets
inline std::uint32_t expected_back(const fleet_driver& fleet, const std::string& pool, bool at_once)
{
    std::uint32_t count = 0;
    for (const auto& [name, machine] : fleet.state.hosts) {
        if (machine.pool != pool || machine.removed || available(machine)) {
            continue;
        }
        const bool recent = machine.condition_since + fleet.state.rules_in_force.repair_after_ms > fleet.now;
        const bool out = machine.phase != host_phase::serving;
        const bool lost = machine.condition == host_condition::down && !recent;
        count += at_once ? (recent && !out) : !lost;
    }
    return count;
}

inline std::uint32_t home_hosts(const fleet_state& state, const std::string& pool)
{
    return static_cast<std::uint32_t>(std::count_if(state.hosts.begin(), state.hosts.end(), [&](auto& item) {
        return item.second.spec.pool == pool && !item.second.removed;
    }));
}

inline std::uint32_t target_of(const fleet_state& state, const std::string& pool)
{
    std::uint32_t target = 0;
    for (const service_rule& service : state.rules_in_force.services) {
        const std::uint32_t home = home_hosts(state, pool);
        const std::uint32_t wanted = service.target_hosts == 0 ? home : std::min(service.target_hosts, home);
        target = service.pool == pool ? std::max(target, wanted) : target;
    }
    return std::max(target, budget_of(state, pool));
}

inline host_record move(const fleet_driver& fleet, const std::string& host, const std::string& to)
{
    host_record item = fleet.act(host_action::move, host, "naive");
    item.to_pool = to;
    return item;
}

/// @return a move of the first spare host by name; for a broken budget also of a host of the pool with
/// the most headroom
inline std::optional<host_record> fill(const fleet_driver& fleet, const std::string& pool, bool budget_broken)
{
    const fleet_state& state = fleet.state;
    std::uint32_t spares = 0;
    for (const auto& [name, machine] : state.hosts) {
        spares += find_pool(state, machine.pool)->spare && find_pool(state, machine.spec.pool)->spare &&
                  available(machine) && !machine.removed;
    }
    const std::string* best = nullptr;
    std::uint32_t max_headroom = 0;
    for (const auto& [name, machine] : state.hosts) {
        if (machine.pool == pool || machine.removed || !available(machine) ||
            !budget_violation(state, machine).empty()) {
            continue;
        }
        if (find_pool(state, machine.pool)->spare) {
            if (budget_broken || spares > state.rules_in_force.spare_min_hosts) {
                return move(fleet, name, pool);
            }
            continue;
        }
        const std::uint32_t headroom = available_hosts(state, machine.pool) - budget_of(state, machine.pool);
        if (headroom > max_headroom) {
            max_headroom = headroom;
            best = &name;
        }
    }
    return budget_broken && best != nullptr ? std::optional(move(fleet, *best, pool)) : std::nullopt;
}

/// @return the first record that is needed, if any
inline std::vector<host_record> plan_next(const fleet_driver& fleet)
{
    const fleet_state& state = fleet.state;
    for (const bool budget_broken : {true, false}) {
        for (const pool& item : state.inventory_in_force.pools) {
            const std::uint32_t have = available_hosts(state, item.name);
            const std::uint32_t want =
                budget_broken ? budget_of(state, item.name) : target_of(state, item.name);
            if (have < want && have + expected_back(fleet, item.name, budget_broken) < want) {
                if (auto record = fill(fleet, item.name, budget_broken)) {
                    return {*record};
                }
            }
        }
    }
    for (const auto& [name, machine] : state.hosts) {
        const bool fits = available(machine) && budget_violation(state, machine).empty();
        const bool down = machine.condition == host_condition::down;
        if (machine.removed && (down || machine.phase == host_phase::drained)) {
            return {fleet.act(host_action::remove, name, "naive")};
        }
        if (machine.removed && machine.phase == host_phase::serving && (fits || !available(machine))) {
            return {fleet.act(host_action::drain, name, "naive")};
        }
        // The inventory assigns it to another pool, or this pool no longer needs it.
        const bool by_inventory = find_pool(state, machine.pool)->spare ||
                                  (machine.reason != "naive" && !find_pool(state, machine.spec.pool)->spare);
        if (!machine.removed && fits && machine.pool != machine.spec.pool &&
            (by_inventory || available_hosts(state, machine.pool) > target_of(state, machine.pool))) {
            return {move(fleet, name, machine.spec.pool)};
        }
    }
    return {};
}

}  // namespace waxwingnotch::naive
