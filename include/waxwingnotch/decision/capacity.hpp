/// @file
/// What every pool has and needs, counted once per plan.
///
/// The questions of state.hpp look at every host on each call. A plan asks them for every pool,
/// so it counts all hosts once and then keeps the counts in step with what it proposes.
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

constexpr std::int64_t return_limit_ms = 15LL * 60 * 1000;  // a reboot that takes longer has failed

// ---- Questions about one host ----

/// @return true if the maintenance wave, and not an operator, took the host out
bool held_by_wave(const host_state& machine);

/// @return true if the host was rebooted and did not come back within `return_limit_ms`
bool failed_to_return(const host_state& machine, std::int64_t now_ms);

// ---- Counts ----

/// One pool as a plan sees it.
struct pool_capacity {
    std::string_view name;
    bool spare = false;
    std::uint32_t budget = 0;      // largest min_hosts of its services
    std::uint32_t target = 0;      // hosts that repair restores; at most the home hosts
    std::uint32_t home = 0;        // hosts that the inventory lists for it
    std::uint32_t available = 0;   // count for the budget now
    std::uint32_t leaving = 0;     // of the available ones: no longer in the inventory
    std::uint32_t returning = 0;   // down or doubtful for less than repair_after_ms
    std::uint32_t in_wave = 0;     // taken out by the wave, and expected back
    std::uint32_t held = 0;        // drained by an operator, or doubtful for long
    std::int64_t quiet_since = 0;  // log time when a host here last became available or stopped, ms
    std::vector<const host_state*> members;

    /// True if the pool keeps its target without one more of the hosts that stay.
    bool has_surplus() const { return available > target + leaving; }
    /// Hosts missing for the budget, without those that are expected back at once.
    std::uint32_t missing_for_budget() const;
    /// Hosts missing for the target, without any that are expected back.
    std::uint32_t missing_for_target() const;
};

/// Counts of all pools; changes with what the plan proposes.
class capacity_index {
public:
    /// @param state must outlive the index
    /// @param now_ms log time
    capacity_index(const fleet_state& state, std::int64_t now_ms);

    const fleet_state& state() const { return state_; }
    std::int64_t now_ms() const { return now_ms_; }
    const std::vector<pool_capacity>& pools() const { return pools_; }
    const pool_capacity* find(std::string_view pool) const;     // null if unknown
    std::uint32_t spare_stock() const { return spare_stock_; }  // usable hosts in spare pools
    std::uint32_t lost_in_rack(std::string_view rack) const;    // hosts of the rack that are down
    std::string_view data_centre_of(std::string_view rack) const;

    /// The budget check of the fold, in constant time.
    bool may_leave(const host_state& machine) const;
    /// True if a pool that serves is the host's home, and it stands elsewhere.
    bool is_awaited(const host_state& machine) const;
    /// True until the host is part of the plan.
    bool is_free(const host_state& machine) const { return planned_.count(&machine) == 0; }
    /// Counts a proposed move.
    void move(const host_state& machine, std::string_view to_pool);
    /// Counts a proposed drain or removal.
    void take_out(const host_state& machine);

private:
    bool is_stock(const host_state& machine, const pool_capacity& here) const;
    pool_capacity* slot(std::string_view pool);
    void count(const host_state& machine);
    void leave(const host_state& machine);

    const fleet_state& state_;
    std::int64_t now_ms_;
    std::vector<pool_capacity> pools_;
    std::unordered_map<std::string_view, std::size_t> by_name_;
    std::unordered_map<std::string_view, std::string_view> data_centres_;  // by rack
    std::unordered_map<std::string_view, std::uint32_t> lost_;             // by rack
    std::unordered_set<const host_state*> planned_;
    std::uint32_t spare_stock_ = 0;
};

}  // namespace waxwingnotch
