#include "waxwingnotch/decision/placement.hpp"

#include <algorithm>
#include <string>

namespace waxwingnotch {

namespace {

authority basis_of(const fleet_state& state, const document_state& asked_by)
{
    return {state.inventory_document.version, state.rules_document.version, asked_by.author};
}

host_record propose(const fleet_state& state, const std::string& name, host_action action, std::string reason)
{
    const host_state& machine = state.hosts.at(name);
    host_record item;
    item.action = action;
    item.host = name;
    item.pool = machine.pool;
    item.epoch = machine.epoch;
    item.reason = std::move(reason);
    item.basis = basis_of(state, state.inventory_document);
    return item;
}

/// Hosts whose inventory line names another pool, and hosts that the inventory dropped.
void follow_inventory(const fleet_state& state, std::string_view pool, std::vector<host_record>& plan)
{
    const std::string version = std::to_string(state.inventory_document.version);
    for (const auto& [name, machine] : state.hosts) {
        if (machine.pool != pool) {
            continue;
        }
        if (machine.removed && machine.phase == host_phase::serving) {
            plan.push_back(propose(state, name, host_action::drain,
                                   "inventory version " + version + " no longer lists the host"));
        }
        else if (machine.removed && machine.phase == host_phase::drained) {
            plan.push_back(propose(state, name, host_action::remove,
                                   "drained, and inventory version " + version + " no longer lists it"));
        }
    }
}

std::uint32_t wanted_hosts(const fleet_state& state, std::string_view pool)
{
    std::uint32_t wanted = budget_of(state, pool);
    for (const service_rule& service : state.promises.services) {
        if (service.pool == pool) {
            wanted = std::max(wanted, service.target_hosts);
        }
    }
    return wanted;
}

std::uint32_t lost_hosts(const fleet_state& state, std::string_view pool, std::int64_t now_ms)
{
    const auto lost = [&](const auto& item) {
        const host_state& machine = item.second;
        return machine.pool == pool && machine.condition == host_condition::down &&
               machine.condition_since + state.promises.repair_after_ms <= now_ms;
    };
    return static_cast<std::uint32_t>(std::count_if(state.hosts.begin(), state.hosts.end(), lost));
}

/// Replaces hosts that stay down by hosts of a spare pool.
void repair(const fleet_state& state, std::string_view pool, std::int64_t now_ms,
            std::vector<host_record>& plan)
{
    const std::uint32_t wanted = wanted_hosts(state, pool);
    const std::uint32_t have = available_hosts(state, pool);
    std::uint32_t missing = wanted > have ? wanted - have : 0;
    missing = std::min(missing, lost_hosts(state, pool, now_ms));
    for (const auto& [name, machine] : state.hosts) {
        if (missing == 0) {
            return;
        }
        const struct pool* from = find_pool(state, machine.pool);
        const bool usable = from != nullptr && from->spare && available(machine) && !machine.removed;
        if (!usable || !budget_objection(state, machine).empty()) {
            continue;
        }
        host_record item = propose(state, name, host_action::move,
                                   "pool " + std::string(pool) + " has " + std::to_string(have) + " of " +
                                       std::to_string(wanted) + " hosts, and hosts stay down");
        item.to_pool = std::string(pool);
        item.basis = basis_of(state, state.rules_document);
        plan.push_back(std::move(item));
        --missing;
    }
}

/// Hosts that stand elsewhere although the inventory gives them to @p pool.
void fetch_home(const fleet_state& state, std::string_view pool, std::vector<host_record>& plan)
{
    for (const auto& [name, machine] : state.hosts) {
        const bool moved_by_inventory = machine.spec.pool == pool && machine.pool != pool &&
                                        !machine.removed &&
                                        state.inventory_document.offset > machine.changed_offset;
        if (!moved_by_inventory || !budget_objection(state, machine).empty()) {
            continue;
        }
        host_record item = propose(state, name, host_action::move,
                                   "inventory version " + std::to_string(state.inventory_document.version) +
                                       " gives the host to pool " + std::string(pool));
        item.to_pool = std::string(pool);
        plan.push_back(std::move(item));
    }
}

}  // namespace

std::vector<host_record> plan_pool(const fleet_state& state, std::string_view pool, std::int64_t now_ms)
{
    std::vector<host_record> plan;
    repair(state, pool, now_ms, plan);
    fetch_home(state, pool, plan);
    follow_inventory(state, pool, plan);
    return plan;
}

}  // namespace waxwingnotch
