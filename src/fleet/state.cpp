#include "waxwingnotch/fleet/state.hpp"

#include <algorithm>

namespace waxwingnotch {

namespace {
template <class Item>
const Item* find_named(const std::vector<Item>& items, std::string_view name)
{
    const auto found =
        std::find_if(items.begin(), items.end(), [&](const Item& item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}
}  // namespace

const service_rule* find_service(const fleet_state& state, std::string_view name)
{
    return find_named(state.rules_in_force.services, name);
}

const pool* find_pool(const fleet_state& state, std::string_view name)
{
    return find_named(state.inventory_in_force.pools, name);
}

std::uint32_t available_hosts(const fleet_state& state, std::string_view pool)
{
    const auto counts_towards_budget = [&](const auto& item) {
        return item.second.pool == pool && available(item.second);
    };
    return static_cast<std::uint32_t>(
        std::count_if(state.hosts.begin(), state.hosts.end(), counts_towards_budget));
}

std::uint32_t budget_of(const fleet_state& state, std::string_view pool)
{
    std::uint32_t largest_min_hosts = 0;
    for (const service_rule& service : state.rules_in_force.services) {
        if (service.pool == pool) {
            largest_min_hosts = std::max(largest_min_hosts, service.min_hosts);
        }
    }
    return largest_min_hosts;
}

const char* to_string(host_phase phase)
{
    switch (phase) {
    case host_phase::serving:
        return "serving";
    case host_phase::draining:
        return "draining";
    case host_phase::drained:
        return "drained";
    case host_phase::rebooting:
        return "rebooting";
    }
    return "unnamed";
}

}  // namespace waxwingnotch
