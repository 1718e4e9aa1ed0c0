/// @file
/// Which hosts should change their pool, and why. Pure: the state in, proposals out; the fold
/// accepts or rejects them.
///
/// Demand is no input: a budget is a promise of capacity, and demand that swings within seconds
/// is met by queues. What moves hosts is a loss that lasts, a new inventory, or new rules.
///
///     for (const host_record& item : plan_pools(state, own_pools, now_ms))
///         propose(item);
#pragma once

#include "waxwingnotch/decision/capacity.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingnotch {

/// Start of the reason of every move that replaces capacity.
constexpr std::string_view replacement_prefix = "replacement: ";

constexpr std::int64_t longest_patience_ms = 7LL * 24 * 3600 * 1000;

/// Proposes actions on hosts so that @p pools get what rules and inventory promise. Applied in
/// order, every proposal leaves each budget that held before it holding.
/// @param pools that the caller plans for; the first need served is a broken budget
/// @param now_ms log time, for how long a host has been down
/// @return proposals in order; at most one for a host; none if nothing needs to change
std::vector<host_record> plan_pools(const fleet_state& state, const std::set<std::string>& pools,
                                    std::int64_t now_ms);

/// Moves a spare host into a pool that cannot give up a host otherwise.
/// @return one move, or none if spare_min_hosts forbids it
std::vector<host_record> lend_host(capacity_index& index, const pool_capacity& pool, const std::string& need);

/// How long a pool must be quiet before a host that it no longer needs goes home:
/// weights.moves / weights.buffer days, so that a host stays until staying has cost as much as
/// the move would.
/// @return ms, from repair_after_ms to longest_patience_ms
std::int64_t return_patience_ms(const rules& promises);

}  // namespace waxwingnotch
