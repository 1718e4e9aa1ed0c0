/// @file
/// Canonical JSON of audit entries; segments hash this text.
#pragma once

#include "waxwingnotch/base/result.hpp"
#include "waxwingnotch/fleet/state.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace waxwingnotch {

/// @return a JSON array; equal entries give equal bytes
std::string audit_entries_to_json(const std::vector<audit_entry>& entries);

/// @return the entries, or `malformed`
result<std::vector<audit_entry>> audit_entries_from_json(std::string_view text);

}  // namespace waxwingnotch
