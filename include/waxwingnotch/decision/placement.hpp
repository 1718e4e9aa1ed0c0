/// @file
/// Plans which hosts change their pool, and why. Pure: it takes the state and returns proposals; the fold
/// accepts or rejects them.
///
/// Demand is no input: a budget promises capacity, and queues absorb demand that changes within seconds.
/// Hosts move after a lasting loss, for a new inventory, or for new rules.
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

/// Prefix of the reason of every move that replaces lost capacity.
constexpr std::string_view replacement_prefix = "replacement: ";

constexpr std::int64_t max_return_delay_ms = 7LL * 24 * 3600 * 1000;

/// Proposes actions on hosts so that @p pools have the capacity that rules and inventory promise. Applied in
/// order, no proposal breaks a budget that held before it. Broken budgets are restored first.
/// @param pools names of the pools to plan for
/// @param now_ms log time; used for how long a host has been down
/// @return proposals in order, at most one per host; empty if nothing needs to change
std::vector<host_record> plan_pools(const fleet_state& state, const std::set<std::string>& pools,
                                    std::int64_t now_ms);

/// Lends a host to a pool that cannot release any of its own hosts otherwise.
/// @param need reason for the loan; becomes part of the record's reason
/// @return one move, or none if no host is available, as when spare_min_hosts keeps the spares
std::vector<host_record> lend_host(capacity_index& index, const pool_capacity& pool, const std::string& need);

/// How long a pool must be without changes before a host that it no longer needs returns to its home pool:
/// weights.moves / weights.buffer days, the time after which keeping the host has cost as much as the move.
/// @return ms, from repair_after_ms to max_return_delay_ms
std::int64_t return_delay_ms(const rules& rule_set);

}  // namespace waxwingnotch
