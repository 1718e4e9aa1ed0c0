#include "waxwingnotch/fleet/audit.hpp"

#include "fleet/audit_json.hpp"

#include "waxwingnotch/base/hash.hpp"

#include <algorithm>
#include <cassert>

namespace waxwingnotch {

namespace {

std::string previous_hash(const fleet_state& state, std::size_t index)
{
    return index == 0 ? std::string() : state.segments[index - 1].hash;
}

/// @return the oldest open entries that fit into one segment
/// @param full set to whether the entry or size limit is reached
std::vector<audit_entry> next_segment_entries(const fleet_state& state, bool& full)
{
    std::vector<audit_entry> entries;
    std::size_t size = 2;  // brackets
    for (const audit_entry& entry : state.open_audit) {
        size += audit_entries_to_json({entry}).size() - 1;  // minus the two brackets, plus a comma
        if (entries.size() == max_segment_entries || (!entries.empty() && size > max_segment_bytes)) {
            full = true;
            return entries;
        }
        entries.push_back(entry);
    }
    full = entries.size() == max_segment_entries || size > max_segment_bytes;
    return entries;
}

}  // namespace

std::optional<audit_segment> segment_due(const fleet_state& state, std::int64_t now_ms,
                                         std::int64_t retention_ms)
{
    if (state.open_audit.empty()) {
        return std::nullopt;
    }
    bool full = false;
    const std::vector<audit_entry> entries = next_segment_entries(state, full);
    if (!full && now_ms - entries.front().at < retention_ms / seals_per_retention) {
        return std::nullopt;
    }
    audit_segment segment;
    segment.index = static_cast<std::int64_t>(state.segments.size());
    segment.previous = previous_hash(state, state.segments.size());
    segment.entries = audit_entries_to_json(entries);
    segment.hash = sha256_hex(segment.previous + segment.entries);
    return segment;
}

std::optional<std::size_t> segment_to_carry_forward(const fleet_state& state, std::int64_t now_ms,
                                                    std::int64_t retention_ms,
                                                    const std::set<std::size_t>& lost)
{
    std::optional<std::size_t> oldest;
    std::int64_t appended_before = now_ms - retention_ms / carries_per_retention;
    for (std::size_t index = 0; index < state.segments.size(); ++index) {
        if (state.segments[index].appended_at < appended_before && lost.count(index) == 0) {
            oldest = index;
            appended_before = state.segments[index].appended_at;
        }
    }
    return oldest;
}

result<std::vector<audit_entry>> check_segment(const fleet_state& state, std::size_t index,
                                               const audit_segment& copy)
{
    if (copy.index != static_cast<std::int64_t>(index) || copy.previous != previous_hash(state, index)) {
        return fail(error_code::malformed, "its copy does not follow the segment before it");
    }
    if (copy.hash != state.segments[index].hash || sha256_hex(copy.previous + copy.entries) != copy.hash) {
        return fail(error_code::malformed, "its copy does not have the hash on record");
    }
    return audit_entries_from_json(copy.entries);
}

audit_report verify_audit(const fleet_state& state, std::span<const result<audit_segment>> copies)
{
    assert(copies.size() == state.segments.size() && "verify_audit() takes one copy for each segment");
    audit_report report;
    for (std::size_t index = 0; index < copies.size(); ++index) {
        auto entries = copies[index] ? check_segment(state, index, copies[index].value())
                                     : result<std::vector<audit_entry>>(copies[index].error());
        if (entries) {
            std::move(entries.value().begin(), entries.value().end(), std::back_inserter(report.entries));
            continue;
        }
        const segment_state& segment = state.segments[index];
        report.missing.push_back("segment " + std::to_string(index) + " with " +
                                 std::to_string(segment.entries) + " decisions, last seen at offset " +
                                 std::to_string(segment.offset) + ": " + entries.error().message);
    }
    report.entries.insert(report.entries.end(), state.open_audit.begin(), state.open_audit.end());
    return report;
}

}  // namespace waxwingnotch
