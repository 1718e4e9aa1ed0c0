/// @file
/// Canonical JSON of audit entries; the hash of a segment covers this text.
#pragma once

#include "fleet/record_json.hpp"

#include "waxwingnotch/base/result.hpp"
#include "waxwingnotch/fleet/state.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace waxwingnotch {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(audit_entry, offset, at, what, subject, from, to, reason, by, basis)

/// @return a JSON array; equal entries have equal encodings
std::string audit_entries_to_json(const std::vector<audit_entry>& entries);

/// @return the entries, or `malformed`
result<std::vector<audit_entry>> audit_entries_from_json(std::string_view text);

}  // namespace waxwingnotch
