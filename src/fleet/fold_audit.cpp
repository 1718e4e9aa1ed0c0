#include "fleet/audit_json.hpp"
#include "fleet/fold_parts.hpp"

#include "waxwingnotch/base/hash.hpp"

namespace waxwingnotch {

namespace {

std::string previous_hash(const fleet_state& state, std::int64_t index)
{
    return index == 0 ? std::string() : state.segments[static_cast<std::size_t>(index) - 1].hash;
}

/// Records a newer copy of a segment that is already in the index.
std::string carry_forward(fleet_state& state, const record_origin& origin, const audit_segment& item)
{
    segment_state& segment = state.segments[static_cast<std::size_t>(item.index)];
    if (segment.hash != item.hash) {
        return "segment " + std::to_string(item.index) + " has hash " + segment.hash;
    }
    segment.offset = origin.offset;
    segment.appended_at = state.log_time;
    return {};
}

}  // namespace

std::string apply_audit_segment(fleet_state& state, const record_origin& origin, const audit_segment& item)
{
    if (sha256_hex(item.previous + item.entries) != item.hash) {
        return "segment does not have the hash that it states";
    }
    const auto next_index = static_cast<std::int64_t>(state.segments.size());
    if (item.index < 0 || item.index > next_index) {
        return "segment " + std::to_string(next_index) + " is next";
    }
    // The hash covers previous + entries but not the boundary between them, so `previous` is checked too.
    if (item.previous != previous_hash(state, item.index)) {
        return "segment does not follow the one before it";
    }
    if (item.index < next_index) {
        return carry_forward(state, origin, item);
    }
    const auto entries = audit_entries_from_json(item.entries);
    if (!entries || entries.value().empty() || entries.value().size() > state.open_audit.size()) {
        return "segment does not hold entries that are open";
    }
    const std::size_t sealed_count = entries.value().size();
    const auto end = state.open_audit.begin() + static_cast<std::ptrdiff_t>(sealed_count);
    if (audit_entries_to_json({state.open_audit.begin(), end}) != item.entries) {
        return "segment differs from the open entries";
    }
    state.open_audit.erase(state.open_audit.begin(), end);
    state.segments.push_back(
        {item.hash, origin.offset, state.log_time, static_cast<std::int64_t>(sealed_count)});
    return {};
}

std::string apply_snapshot_done(fleet_state& state, const record_origin& origin, const snapshot_done& item)
{
    if (item.up_to <= state.snapshot.up_to) {
        return "a snapshot up to " + std::to_string(state.snapshot.up_to) + " is complete";
    }
    if (item.up_to > item.first_chunk || item.first_chunk >= origin.offset || item.chunks < 1) {
        return "the snapshot's offsets contradict one another";
    }
    state.snapshot = {item.id, item.up_to, item.first_chunk, origin.offset, state.log_time};
    return {};
}

}  // namespace waxwingnotch
