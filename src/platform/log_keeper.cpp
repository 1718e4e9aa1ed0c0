#include "waxwingnotch/platform/log_keeper.hpp"

#include "waxwingnotch/base/log.hpp"

namespace waxwingnotch {

bool snapshot_due(const fleet_state& state, std::int64_t now_ms, std::int64_t retention_ms)
{
    if (state.inventory_document.version == 0 && state.rules_document.version == 0) {
        return false;
    }
    if (state.snapshot.up_to < 0) {
        return true;
    }
    return state.next_offset - state.snapshot.up_to >= log_keeper::snapshot_interval_offsets ||
           now_ms - state.snapshot.appended_at >= retention_ms / log_keeper::snapshots_per_retention;
}

log_keeper::log_keeper(keeper_options options, keeper_callbacks callbacks)
    : options_(std::move(options)), callbacks_(std::move(callbacks))
{
}

void log_keeper::start(event_loop& loop)
{
    tick_timer_ = loop.every(interval_ms, [this] { tick(); });
}

void log_keeper::tick()
{
    const bool due = snapshot_due(callbacks_.state(), callbacks_.now_ms(), options_.retention_ms);
    if (callbacks_.can_propose() && pending_.chunks.empty() && due && callbacks_.owns_duty("snapshot")) {
        begin_snapshot();
    }
}

void log_keeper::begin_snapshot()
{
    const fleet_state& state = callbacks_.state();
    const std::string id =
        options_.node + "-" + std::to_string(options_.incarnation) + "-" + std::to_string(++snapshot_count_);
    const std::string bytes = encode_state(state);
    pending_.done = make_snapshot_done(id, bytes, state.next_offset, 0);
    pending_.chunks = split_snapshot(id, bytes);
    pending_.next_index = 0;
    log_event(log_level::info, "snapshot-begun",
              {{"id", id}, {"up_to", state.next_offset}, {"bytes", bytes.size()}});
    propose_next_chunk();
}

void log_keeper::propose_next_chunk()
{
    snapshot_chunk& chunk = pending_.chunks[pending_.next_index++];
    callbacks_.propose(std::move(chunk),
                       [this](const proposal_outcome& outcome) { on_chunk_settled(outcome); });
}

void log_keeper::on_chunk_settled(const proposal_outcome& outcome)
{
    if (!outcome.accepted) {
        log_event(log_level::warning, "snapshot-abandoned",
                  {{"id", pending_.done.id}, {"reason", outcome.reason}});
        pending_ = {};
        return;
    }
    if (pending_.next_index == 1) {
        // The appender has one append in flight at a time, so this writer's last batch contains chunk 0.
        pending_.done.first_chunk = callbacks_.state().writers.at(options_.node).offset;
    }
    if (pending_.next_index < pending_.chunks.size()) {
        propose_next_chunk();
        return;
    }
    propose_snapshot_done();
}

void log_keeper::propose_snapshot_done()
{
    callbacks_.propose(pending_.done, [this](const proposal_outcome& outcome) {
        log_event(outcome.accepted ? log_level::info : log_level::warning, "snapshot-written",
                  {{"id", pending_.done.id},
                   {"up_to", pending_.done.up_to},
                   {"first_chunk", pending_.done.first_chunk},
                   {"chunks", pending_.done.chunks},
                   {"accepted", outcome.accepted},
                   {"reason", outcome.reason}});
        pending_ = {};
    });
}

}  // namespace waxwingnotch
