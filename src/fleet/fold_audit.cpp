#include "fleet/audit_json.hpp"
#include "fleet/fold_parts.hpp"

#include "waxwingnotch/base/hash.hpp"

namespace waxwingnotch {

namespace {

std::string chain_before(const fleet_state& state, std::int64_t index)
{
    return index == 0 ? std::string() : state.segments[static_cast<std::size_t>(index) - 1].hash;
}

/// A segment that is in the index already: its newer copy replaces the older one.
std::string carry_forward(fleet_state& state, const record_origin& origin, const audit_segment& item)
{
    segment_state& known = state.segments[static_cast<std::size_t>(item.index)];
    if (known.hash != item.hash) {
        return "segment " + std::to_string(item.index) + " has hash " + known.hash;
    }
    known.offset = origin.offset;
    known.appended_at = state.log_time;
    return {};
}

}  // namespace

std::string apply_audit_segment(fleet_state& state, const record_origin& origin, const audit_segment& item)
{
    if (sha256_hex(item.previous + item.entries) != item.hash) {
        return "segment does not have the hash that it states";
    }
    const auto count = static_cast<std::int64_t>(state.segments.size());
    if (item.index < 0 || item.index > count) {
        return "segment " + std::to_string(count) + " is next";
    }
    // The hash alone does not tell where `previous` ends, so a copy is checked for it as well.
    if (item.previous != chain_before(state, item.index)) {
        return "segment does not follow the one before it";
    }
    if (item.index < count) {
        return carry_forward(state, origin, item);
    }
    const auto entries = audit_entries_from_json(item.entries);
    if (!entries || entries.value().empty() || entries.value().size() > state.open_audit.size()) {
        return "segment does not hold entries that are open";
    }
    const std::size_t sealed = entries.value().size();
    const auto end = state.open_audit.begin() + static_cast<std::ptrdiff_t>(sealed);
    if (audit_entries_to_json({state.open_audit.begin(), end}) != item.entries) {
        return "segment differs from the open entries";
    }
    state.open_audit.erase(state.open_audit.begin(), end);
    state.segments.push_back({item.hash, origin.offset, state.log_time, static_cast<std::int64_t>(sealed)});
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
