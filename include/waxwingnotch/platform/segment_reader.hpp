/// @file
/// Reads one audit segment from the platform's log.
#pragma once

#include "waxwingnotch/fleet/state.hpp"
#include "waxwingnotch/net/http_client.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace waxwingnotch {

/// Reads the newest copy of segment @p index at the offset that the state has for it.
/// @param done runs once, from the loop: the segment as it stands in the log, not verified, or
///        `gone` (retention removed it), `not_found` (another record stands there), `unavailable`
void read_segment(http_client& client, const std::string& address, const fleet_state& state,
                  std::size_t index, std::function<void(const result<audit_segment>&)> done);

}  // namespace waxwingnotch
