/// @file
/// The audit chain: seals open entries into hash-chained segments, selects the segment to carry
/// forward (append again before retention removes it) and verifies the chain. Pure functions.
///
///     if (auto segment = segment_due(state, now_ms, retention_ms)) propose(*segment);
///     audit_report report = verify_audit(state, segments_that_were_read);
#pragma once

#include "waxwingnotch/base/result.hpp"
#include "waxwingnotch/fleet/state.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace waxwingnotch {

constexpr std::size_t max_segment_entries = 256;
constexpr std::size_t max_segment_bytes = 64U << 10U;  // of JSON; a larger entry is sealed on its own
constexpr std::int64_t seals_per_retention = 4;        // open entries are sealed at an age of retention / 4
constexpr std::int64_t carries_per_retention = 2;  // segments are carried forward at an age of retention / 2

/// Builds the next segment if 256 entries or 64 KB are open, or if the oldest open entry has reached a
/// quarter of the retention.
/// @return the segment to append, or nothing if none is due
std::optional<audit_segment> segment_due(const fleet_state& state, std::int64_t now_ms,
                                         std::int64_t retention_ms);

/// Selects the segment whose newest copy is the oldest, if that copy is older than half the retention.
/// @param lost indices of segments that cannot be read; they are skipped
/// @return the index of the segment, or nothing if none is due
std::optional<std::size_t> segment_to_carry_forward(const fleet_state& state, std::int64_t now_ms,
                                                    std::int64_t retention_ms,
                                                    const std::set<std::size_t>& lost);

/// Verifies a copy of segment @p index against the hash chain in the state.
/// @return its entries, or `malformed` if the hash, the link to the previous segment or the JSON is wrong
result<std::vector<audit_entry>> check_segment(const fleet_state& state, std::size_t index,
                                               const audit_segment& copy);

/// Result of verify_audit().
struct audit_report {
    std::vector<audit_entry> entries;  // in the order of acceptance
    std::vector<std::string> missing;  // a message per unreadable or invalid segment
};

/// Verifies all sealed segments. The report also contains the entries that are still open.
/// @param copies one per segment of the state, in order; an error for a segment that could not be read
audit_report verify_audit(const fleet_state& state, std::span<const result<audit_segment>> copies);

}  // namespace waxwingnotch
