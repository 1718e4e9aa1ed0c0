/// @file
/// Which hosts should change their pool, and why. Pure: the state in, proposals out; the fold
/// accepts or rejects them.
#pragma once

#include "waxwingnotch/fleet/fold.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace waxwingnotch {

/// Proposes actions on hosts so that @p pool gets what rules and inventory promise.
/// @param now_ms log time, for how long a host has been down
/// @return proposals in the order of their urgency; none if nothing needs to change
std::vector<host_record> plan_pool(const fleet_state& state, std::string_view pool, std::int64_t now_ms);

}  // namespace waxwingnotch
