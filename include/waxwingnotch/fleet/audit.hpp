/// @file
/// The audit chain: when to seal open entries into a segment, which segment to carry forward,
/// and what a reader can prove. Pure.
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
constexpr std::size_t max_segment_bytes = 64U << 10U;  // of JSON; a single larger entry is sealed alone
constexpr std::int64_t seals_per_retention = 4;        // open entries are sealed after this share
constexpr std::int64_t carries_per_retention = 2;      // a segment's newest copy is never older than this

/// @return the next segment, if 256 entries or 64 KB are open or the oldest one is old enough
std::optional<audit_segment> segment_due(const fleet_state& state, std::int64_t now_ms,
                                         std::int64_t retention_ms);

/// @param lost segments that can no longer be read
/// @return the index of the segment with the oldest newest copy, if that is older than half the retention
std::optional<std::size_t> segment_to_carry(const fleet_state& state, std::int64_t now_ms,
                                            std::int64_t retention_ms, const std::set<std::size_t>& lost);

/// Checks a copy of segment @p index against the state's index.
/// @return its entries, or `malformed` if the hash, the chain or the text is wrong
result<std::vector<audit_entry>> check_segment(const fleet_state& state, std::size_t index,
                                               const audit_segment& copy);

/// What an auditor gets.
struct audit_report {
    std::vector<audit_entry> entries;  // in the order of their acceptance
    std::vector<std::string> missing;  // empty: nothing is missing since the first decision
};

/// @param copies one for each segment of the state, in order; an error if it could not be read
audit_report verify_audit(const fleet_state& state, std::span<const result<audit_segment>> copies);

}  // namespace waxwingnotch
