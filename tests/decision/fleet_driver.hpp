/// @file
/// An in-memory log with a clock, for tests and benchmarks: appends records and folds them into a state.
#pragma once

#include "waxwingnotch/base/hash.hpp"
#include "waxwingnotch/config/json.hpp"
#include "waxwingnotch/decision/placement.hpp"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace waxwingnotch {

struct fleet_driver {
    static constexpr std::int64_t start_ms = 1'000'000'000;

    fleet_state state;
    std::int64_t now = start_ms;
    std::int64_t moves = 0;
    std::int64_t rejected = 0;
    std::int64_t seq = 0;

    verdict append(record item)
    {
        const bool move = std::holds_alternative<host_record>(item) &&
                          std::get<host_record>(item).action == host_action::move;
        const batch value{"driver", 1, ++seq, state.next_offset, {std::move(item)}};
        verdict result = apply(state, {state.next_offset, now, encode(value)}).front();
        moves += move && result.accepted ? 1 : 0;
        rejected += result.accepted ? 0 : 1;
        state.open_audit.clear();  // nothing seals the audit here, so it would grow without limit
        return result;
    }

    static publish_record publication(document kind, std::int64_t replaces, const std::string& content)
    {
        return {kind, replaces, "operator", "", false, content, sha256_hex(content)};
    }

    verdict publish(const inventory& machines)
    {
        return append(
            publication(document::inventory, state.inventory_document.version, inventory_to_json(machines)));
    }

    verdict publish(const rules& rule_set)
    {
        return append(publication(document::rules, state.rules_document.version, rules_to_json(rule_set)));
    }

    host_record act(host_action action, const std::string& host, const std::string& reason) const
    {
        const host_state& machine = state.hosts.at(host);
        host_record item;
        item.action = action;
        item.host = host;
        item.pool = machine.pool;
        item.epoch = machine.epoch;
        item.reason = reason;
        return item;
    }

    void condition(const std::string& host, host_condition value)
    {
        if (state.hosts.at(host).condition != value) {
            append(condition_record{host, value, "driver"});
        }
    }

    std::set<std::string> pool_names() const
    {
        std::set<std::string> names;
        for (const pool& item : state.inventory_in_force.pools) {
            names.insert(item.name);
        }
        return names;
    }

    using plan_function = std::function<std::vector<host_record>(const fleet_driver&)>;

    static std::vector<host_record> plan_all_pools(const fleet_driver& fleet)
    {
        return plan_pools(fleet.state, fleet.pool_names(), fleet.now);
    }

    /// Plans and folds until nothing is proposed; hosts drain at once.
    void apply_plans(const plan_function& plan)
    {
        for (int round = 0; round < 500; ++round) {
            const std::vector<host_record> items = plan(*this);
            if (items.empty()) {
                return;
            }
            for (const host_record& item : items) {
                append(item);
                if (item.action == host_action::drain && state.hosts.count(item.host) > 0) {
                    append(act(host_action::drained, item.host, "idle"));
                }
            }
        }
    }

    /// @return hosts missing for the budgets of all pools
    std::uint32_t shortfall() const
    {
        std::uint32_t sum = 0;
        for (const pool& item : state.inventory_in_force.pools) {
            const std::uint32_t have = available_hosts(state, item.name);
            const std::uint32_t budget = budget_of(state, item.name);
            sum += budget > have ? budget - have : 0;
        }
        return sum;
    }
};

/// @return an inventory of @p pools pools with @p per_pool hosts each and a spare pool; hosts are assigned to
/// racks in turn
inline inventory make_inventory(std::size_t pools, std::size_t per_pool, std::size_t spares,
                                std::size_t per_rack = 4)
{
    inventory machines;
    const std::size_t racks = (pools * per_pool + spares + per_rack - 1) / per_rack;
    for (const char* name : {"dc-1", "dc-2", "dc-3", "dc-4"}) {
        machines.data_centres.push_back({name, "region"});
    }
    for (std::size_t at = 0; at < racks; ++at) {
        machines.racks.push_back({"rack-" + std::to_string(at), "dc-" + std::to_string(at % 4 + 1)});
    }
    for (std::size_t at = 0; at < pools; ++at) {
        machines.pools.push_back({"pool-" + std::to_string(at), false});
    }
    machines.pools.push_back({"spare", true});
    for (std::size_t at = 0; at < pools * per_pool + spares; ++at) {
        const std::size_t pool = at / per_pool;
        machines.hosts.push_back({"host-" + std::to_string(at), "127.0.0.1:1",
                                  "rack-" + std::to_string(at % racks),
                                  pool < pools ? "pool-" + std::to_string(pool) : "spare"});
    }
    return machines;
}

inline rules make_rules(std::size_t pools, std::uint32_t budget)
{
    rules rule_set;
    for (std::size_t at = 0; at < pools; ++at) {
        const std::string number = std::to_string(at);
        rule_set.services.push_back({"service-" + number, "pool-" + number, budget});
    }
    return rule_set;
}

}  // namespace waxwingnotch
