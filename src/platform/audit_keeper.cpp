#include "waxwingnotch/platform/audit_keeper.hpp"

#include "waxwingnotch/base/log.hpp"
#include "waxwingnotch/platform/segment_reader.hpp"

namespace waxwingnotch {

audit_keeper::audit_keeper(http_client& client, std::string address, keeper_options options,
                           keeper_callbacks callbacks)
    : client_(client), address_(std::move(address)), options_(std::move(options)),
      callbacks_(std::move(callbacks))
{
}

void audit_keeper::start(event_loop& loop)
{
    tick_timer_ = loop.every(interval_ms, [this] { tick(); });
}

void audit_keeper::tick()
{
    if (busy_ || !callbacks_.can_propose() || !callbacks_.owns_duty("audit")) {
        return;
    }
    const fleet_state& state = callbacks_.state();
    const std::int64_t now = callbacks_.now_ms();
    if (const auto segment = segment_due(state, now, options_.retention_ms)) {
        append("audit-sealed", *segment);
    }
    else if (const auto index = segment_to_carry_forward(state, now, options_.retention_ms, lost_)) {
        carry_forward(*index);
    }
}

void audit_keeper::append(const char* event, const audit_segment& segment)
{
    busy_ = true;
    const std::int64_t index = segment.index;
    const std::size_t bytes = segment.entries.size();
    callbacks_.propose(segment, [this, event, index, bytes](const proposal_outcome& outcome) {
        busy_ = false;
        log_event(outcome.accepted ? log_level::info : log_level::warning, event,
                  {{"segment", index},
                   {"bytes", bytes},
                   {"accepted", outcome.accepted},
                   {"reason", outcome.reason}});
    });
}

void audit_keeper::carry_forward(std::size_t index)
{
    busy_ = true;
    const std::int64_t offset = callbacks_.state().segments[index].offset;
    read_segment(client_, address_, callbacks_.state(), index,
                 [this, index, offset](const result<audit_segment>& copy) {
                     busy_ = false;
                     // Another owner may have appended a newer copy in the meantime.
                     if (callbacks_.state().segments[index].offset == offset) {
                         append_verified_copy(index, copy);
                     }
                 });
}

void audit_keeper::append_verified_copy(std::size_t index, const result<audit_segment>& copy)
{
    if (!copy && copy.error().code == error_code::unavailable) {
        return;
    }
    const auto entries = copy ? check_segment(callbacks_.state(), index, copy.value())
                              : result<std::vector<audit_entry>>(copy.error());
    if (!entries) {
        lost_.insert(index);
        log_event(log_level::error, "audit-segment-lost",
                  {{"segment", index}, {"reason", entries.error().message}});
        return;
    }
    append("audit-carried", copy.value());
}

}  // namespace waxwingnotch
