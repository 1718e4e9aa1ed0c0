#include "waxwingnotch/fleet/fold.hpp"

#include "fleet/fold_parts.hpp"

#include <algorithm>
#include <cassert>

namespace waxwingnotch {

namespace {

/// Kind and subject of a record, for verdicts.
struct record_label {
    std::string kind;
    std::string subject;
};

struct label_visitor {
    record_label operator()(const publish_record& item) const { return {"publish", to_string(item.kind)}; }
    record_label operator()(const host_record& item) const { return {to_string(item.action), item.host}; }
    record_label operator()(const condition_record& item) const { return {"condition", item.host}; }
    record_label operator()(const wave_record& item) const
    {
        return {std::string("wave-") + to_string(item.action), std::to_string(item.wave)};
    }
    record_label operator()(const claim_record& item) const { return {"claim", item.key}; }
    record_label operator()(const claim_end_record& item) const { return {"claim-end", item.key}; }
    record_label operator()(const snapshot_chunk& item) const { return {"snapshot-chunk", item.id}; }
    record_label operator()(const snapshot_done& item) const { return {"snapshot-done", item.id}; }
    record_label operator()(const audit_segment& item) const
    {
        return {"audit-segment", std::to_string(item.index)};
    }
};

struct apply_visitor {
    fleet_state& state;
    record_origin origin;

    std::string operator()(const publish_record& item) const { return apply_publish(state, origin, item); }
    std::string operator()(const host_record& item) const { return apply_host(state, origin, item); }
    std::string operator()(const condition_record& item) const
    {
        return apply_condition(state, origin, item);
    }
    std::string operator()(const wave_record& item) const { return apply_wave(state, origin, item); }
    std::string operator()(const claim_record& item) const { return apply_claim(state, origin, item); }
    std::string operator()(const claim_end_record& item) const
    {
        return apply_claim_end(state, origin, item);
    }
    // Chunks do not change the state; a node that loads the snapshot reads them from the log.
    std::string operator()(const snapshot_chunk&) const { return {}; }
    std::string operator()(const snapshot_done& item) const
    {
        return apply_snapshot_done(state, origin, item);
    }
    std::string operator()(const audit_segment& item) const
    {
        return apply_audit_segment(state, origin, item);
    }
};

void expire_writers(fleet_state& state)
{
    // Scanning all writers on every entry would cost more than keeping a few of them for longer.
    constexpr std::int64_t check_interval = 1024;
    if (state.next_offset % check_interval != 0) {
        return;
    }
    std::erase_if(state.writers, [&](const auto& item) {
        return item.second.offset + forget_writer_offsets < state.next_offset;
    });
}

/// @return why the whole batch is dropped, or empty to apply it
std::string drop_reason(fleet_state& state, const batch& value, std::int64_t offset)
{
    if (value.seen_offset < offset - stale_after_offsets) {
        return "stale: its writer had seen only offset " + std::to_string(value.seen_offset);
    }
    if (value.seen_offset > offset) {
        return "its writer claims to have seen offset " + std::to_string(value.seen_offset);
    }
    const auto found = state.writers.find(value.writer);
    if (found == state.writers.end()) {
        return {};
    }
    const writer_state& last = found->second;
    if (value.incarnation < last.incarnation) {
        return "incarnation " + std::to_string(last.incarnation) + " of the writer is known";
    }
    if (value.incarnation == last.incarnation && value.seq <= last.seq) {
        return "repeated: sequence " + std::to_string(last.seq) + " of the writer is known";
    }
    return {};
}

}  // namespace

std::vector<verdict> apply(fleet_state& state, const log_entry& entry)
{
    assert(entry.offset == state.next_offset && "apply() takes entries in offset order without gaps");
    state.next_offset = entry.offset + 1;
    state.log_time = std::max(state.log_time, entry.appended_at);
    expire_claims(state);
    expire_writers(state);

    const result<batch> decoded = decode(entry.bytes);
    if (!decoded) {
        return {{false, "", 0, 0, 0, "batch", "", decoded.error().message}};
    }
    const batch& value = decoded.value();
    if (std::string reason = drop_reason(state, value, entry.offset); !reason.empty()) {
        return {{false, value.writer, value.incarnation, value.seq, 0, "batch", "", std::move(reason)}};
    }
    state.writers[value.writer] = {value.incarnation, value.seq, entry.offset};

    std::vector<verdict> verdicts;
    verdicts.reserve(value.records.size());
    const apply_visitor visitor{state, {value, entry.offset}};
    for (std::size_t index = 0; index < value.records.size(); ++index) {
        const record& item = value.records[index];
        record_label label = std::visit(label_visitor{}, item);
        std::string reason = std::visit(visitor, item);
        const bool accepted = reason.empty();
        verdicts.push_back({accepted, value.writer, value.incarnation, value.seq, index,
                            std::move(label.kind), std::move(label.subject), std::move(reason)});
    }
    return verdicts;
}

}  // namespace waxwingnotch
