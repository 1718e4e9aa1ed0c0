#include "waxwingnotch/decision/capacity.hpp"

#include "waxwingnotch/decision/wave.hpp"

#include <algorithm>

namespace waxwingnotch {

bool is_out_for_wave(const host_state& machine)
{
    return machine.phase != host_phase::serving && machine.reason.rfind(wave_reason_prefix, 0) == 0;
}

bool reboot_timed_out(const host_state& machine, std::int64_t now_ms)
{
    return machine.phase == host_phase::rebooting && machine.phase_since + reboot_timeout_ms <= now_ms;
}

std::uint32_t pool_capacity::missing_for_budget() const
{
    const std::uint32_t have = available + returning;
    return available < budget && have < budget ? budget - have : 0;
}

std::uint32_t pool_capacity::missing_for_target() const
{
    const std::uint32_t have = available + returning + in_wave + held;
    return have < target ? target - have : 0;
}

capacity_index::capacity_index(const fleet_state& state, std::int64_t now_ms) : state_(state), now_ms_(now_ms)
{
    pools_.reserve(state.inventory_in_force.pools.size());
    for (const pool& item : state.inventory_in_force.pools) {
        by_name_.emplace(item.name, pools_.size());
        pools_.emplace_back();
        pools_.back().name = item.name;
        pools_.back().spare = item.spare;
    }
    for (const rack& item : state.inventory_in_force.racks) {
        data_centres_.emplace(item.name, item.data_centre);
    }
    for (const auto& [name, machine] : state.hosts) {
        count(machine);
    }
    for (const service_rule& service : state.rules_in_force.services) {
        if (pool_capacity* item = find_mutable(service.pool)) {
            item->budget = std::max(item->budget, service.min_hosts);
            item->target =
                std::max(item->target, service.target_hosts == 0 ? item->home : service.target_hosts);
        }
    }
    for (pool_capacity& item : pools_) {
        // Without a loss the pool has at most its home hosts, so repair restores no more than these.
        item.target = std::max(item.budget, std::min(item.target, item.home));
    }
}

const pool_capacity* capacity_index::find(std::string_view pool) const
{
    const auto found = by_name_.find(pool);
    return found == by_name_.end() ? nullptr : &pools_[found->second];
}

pool_capacity* capacity_index::find_mutable(std::string_view pool)
{
    const auto found = by_name_.find(pool);
    return found == by_name_.end() ? nullptr : &pools_[found->second];
}

std::uint32_t capacity_index::down_in_rack(std::string_view rack) const
{
    const auto found = down_by_rack_.find(rack);
    return found == down_by_rack_.end() ? 0 : found->second;
}

std::string_view capacity_index::data_centre_of(std::string_view rack) const
{
    const auto found = data_centres_.find(rack);
    return found == data_centres_.end() ? std::string_view() : found->second;
}

void capacity_index::count(const host_state& machine)
{
    if (pool_capacity* home = machine.removed ? nullptr : find_mutable(machine.spec.pool)) {
        ++home->home;
    }
    const bool down = machine.condition == host_condition::down;
    if (down) {
        ++down_by_rack_[machine.spec.rack];
    }
    pool_capacity* here = find_mutable(machine.pool);
    if (here == nullptr) {
        return;
    }
    here->members.push_back(&machine);
    here->last_change_at = std::max({here->last_change_at, machine.condition_since, machine.phase_since});
    if (available(machine)) {
        ++here->available;
        here->leaving += machine.removed ? 1 : 0;
        available_spares_ += counts_as_spare(machine, *here) ? 1 : 0;
        return;
    }
    if (machine.removed) {
        return;
    }
    const bool recent = machine.condition_since + state_.rules_in_force.repair_after_ms > now_ms_;
    if (machine.phase != host_phase::serving) {
        const bool expected_back = is_out_for_wave(machine) && !reboot_timed_out(machine, now_ms_) &&
                                   (machine.phase == host_phase::rebooting || !down || recent);
        const bool by_operator = !is_out_for_wave(machine) && (!down || recent);
        here->in_wave += expected_back ? 1 : 0;
        here->held += by_operator ? 1 : 0;
        return;
    }
    here->returning += recent ? 1 : 0;
    here->held += !recent && !down ? 1 : 0;
}

bool capacity_index::is_away_from_home(const host_state& machine) const
{
    const pool_capacity* home = find(machine.spec.pool);
    return home != nullptr && !home->spare && machine.spec.pool != machine.pool;
}

bool capacity_index::counts_as_spare(const host_state& machine, const pool_capacity& here) const
{
    const pool_capacity* home = find(machine.spec.pool);
    return here.spare && !machine.removed && (home == nullptr || home->spare);
}

bool capacity_index::may_leave(const host_state& machine) const
{
    if (!available(machine)) {
        return true;
    }
    const pool_capacity* here = find(machine.pool);
    return here == nullptr || here->available > here->budget;
}

void capacity_index::leave(const host_state& machine)
{
    planned_.insert(&machine);
    pool_capacity* here = find_mutable(machine.pool);
    if (here != nullptr && available(machine)) {
        --here->available;
        here->leaving -= machine.removed ? 1 : 0;
        available_spares_ -= counts_as_spare(machine, *here) ? 1 : 0;
    }
}

void capacity_index::move(const host_state& machine, std::string_view to_pool)
{
    leave(machine);
    pool_capacity* there = find_mutable(to_pool);
    if (there != nullptr && available(machine)) {
        ++there->available;
        available_spares_ += counts_as_spare(machine, *there) ? 1 : 0;
    }
}

void capacity_index::take_out(const host_state& machine)
{
    leave(machine);
}

}  // namespace waxwingnotch
