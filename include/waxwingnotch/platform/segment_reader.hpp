/// @file
/// Reads one audit segment from the platform's log.
#pragma once

#include "waxwingnotch/fleet/state.hpp"
#include "waxwingnotch/net/http_client.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace waxwingnotch {

/// Reads the newest copy of segment @p index, at the offset that the state records for it.
/// @param done called once, from the event loop, with the unverified segment or an error: `gone`
///        (retention has removed it), `not_found` (the entry at that offset does not contain it) or
///        `unavailable` (no answer, or one that cannot be decoded)
void read_segment(http_client& client, const std::string& address, const fleet_state& state,
                  std::size_t index, std::function<void(const result<audit_segment>&)> done);

}  // namespace waxwingnotch
