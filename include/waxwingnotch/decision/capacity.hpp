/// @file
/// Host counts of every pool, computed once per plan.
///
/// The query functions of state.hpp scan all hosts on each call. A plan needs their results for every
/// pool, so it counts all hosts once and then updates the counts with each action that it proposes.
///
///     capacity_index index(state, now_ms);
///     for (const pool_capacity& pool : index.pools())
///         if (pool.available < pool.budget) { ... }
#pragma once

#include "waxwingnotch/fleet/fold.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace waxwingnotch {

// ---- Limits ----

constexpr std::int64_t reboot_timeout_ms = 15LL * 60 * 1000;  // a reboot that takes longer has failed

// ---- Queries on one host ----

/// @return true if the host is out of service for the maintenance wave, not because an operator drained it
bool is_out_for_wave(const host_state& machine);

/// @return true if the host was rebooted and did not come back within `reboot_timeout_ms`
bool reboot_timed_out(const host_state& machine, std::int64_t now_ms);

// ---- Counts ----

/// Host counts of one pool within a plan.
struct pool_capacity {
    std::string_view name;
    bool spare = false;
    std::uint32_t budget = 0;     // the largest min_hosts of its services
    std::uint32_t target = 0;     // host count that repair restores; at most `home`, but at least `budget`
    std::uint32_t home = 0;       // hosts that the inventory assigns to the pool
    std::uint32_t available = 0;  // hosts that count towards the budget now
    std::uint32_t leaving = 0;    // available hosts that the inventory no longer lists
    std::uint32_t returning = 0;  // down or doubtful for less than repair_after_ms
    std::uint32_t in_wave = 0;    // out for the maintenance wave and expected back
    std::uint32_t held = 0;       // drained by an operator, or doubtful for at least repair_after_ms
    std::int64_t last_change_at = 0;  // log time of the last action on a host or change of its condition, ms
    std::vector<const host_state*> members;

    /// True if the pool can give up one of the hosts that stay and still meet its target.
    bool has_surplus() const { return available > target + leaving; }
    /// Hosts missing for the budget; hosts counted in `returning` are not missing.
    std::uint32_t missing_for_budget() const;
    /// Hosts missing for the target; hosts in `returning`, `in_wave` or `held` are not missing.
    std::uint32_t missing_for_target() const;
};

/// Host counts of all pools, updated with each proposed action.
class capacity_index {
public:
    /// @param state must outlive the index
    /// @param now_ms log time
    capacity_index(const fleet_state& state, std::int64_t now_ms);

    const fleet_state& state() const { return state_; }
    std::int64_t now_ms() const { return now_ms_; }
    const std::vector<pool_capacity>& pools() const { return pools_; }
    const pool_capacity* find(std::string_view pool) const;  // null if unknown
    /// @return available hosts in spare pools, without those that the inventory dropped or assigns to another
    /// pool
    std::uint32_t available_spares() const { return available_spares_; }
    std::uint32_t down_in_rack(std::string_view rack) const;  // hosts of the rack that are down
    std::string_view data_centre_of(std::string_view rack) const;

    /// True if the budget of the host's pool holds without it; the fold's budget check, in constant time.
    bool may_leave(const host_state& machine) const;
    /// True if the host's home pool is no spare pool, and the host is in another pool.
    bool is_away_from_home(const host_state& machine) const;
    /// True if the plan has no action for the host yet.
    bool is_unplanned(const host_state& machine) const { return planned_.count(&machine) == 0; }
    /// Updates the counts for a proposed move.
    void move(const host_state& machine, std::string_view to_pool);
    /// Updates the counts for a proposed drain or removal.
    void take_out(const host_state& machine);

private:
    bool counts_as_spare(const host_state& machine, const pool_capacity& here) const;
    pool_capacity* find_mutable(std::string_view pool);
    void count(const host_state& machine);
    void leave(const host_state& machine);

    const fleet_state& state_;
    std::int64_t now_ms_;
    std::vector<pool_capacity> pools_;
    std::unordered_map<std::string_view, std::size_t> by_name_;
    std::unordered_map<std::string_view, std::string_view> data_centres_;  // by rack
    std::unordered_map<std::string_view, std::uint32_t> down_by_rack_;     // hosts that are down
    std::unordered_set<const host_state*> planned_;
    std::uint32_t available_spares_ = 0;
};

}  // namespace waxwingnotch
