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
    return state.next_offset - state.snapshot.up_to >= log_keeper::snapshot_offsets ||
           now_ms - state.snapshot.appended_at >= retention_ms / log_keeper::snapshots_per_retention;
}

log_keeper::log_keeper(keeper_options options, keeper_ports ports)
    : options_(std::move(options)), ports_(std::move(ports))
{
}

void log_keeper::start(event_loop& loop)
{
    ticker_ = loop.every(interval_ms, [this] { tick(); });
}

void log_keeper::tick()
{
    const bool due = snapshot_due(ports_.state(), ports_.now_ms(), options_.retention_ms);
    if (ports_.ready() && writing_.chunks.empty() && due && ports_.owns("snapshot")) {
        begin_snapshot();
    }
}

void log_keeper::begin_snapshot()
{
    const fleet_state& state = ports_.state();
    const std::string id =
        options_.node + "-" + std::to_string(options_.incarnation) + "-" + std::to_string(++snapshots_);
    const std::string bytes = encode_state(state);
    writing_.done = close_snapshot(id, bytes, state.next_offset, 0);
    writing_.chunks = cut_snapshot(id, bytes);
    writing_.next = 0;
    log_event(log_level::info, "snapshot-begun",
              {{"id", id}, {"up_to", state.next_offset}, {"bytes", bytes.size()}});
    next_chunk();
}

void log_keeper::next_chunk()
{
    snapshot_chunk& chunk = writing_.chunks[writing_.next++];
    ports_.propose(std::move(chunk), [this](const settlement& outcome) { chunk_settled(outcome); });
}

void log_keeper::chunk_settled(const settlement& outcome)
{
    if (!outcome.accepted) {
        log_event(log_level::warning, "snapshot-abandoned",
                  {{"id", writing_.done.id}, {"reason", outcome.reason}});
        writing_ = {};
        return;
    }
    if (writing_.next == 1) {
        // This node has one append under way at a time, and the one with the chunk was folded now.
        writing_.done.first_chunk = ports_.state().writers.at(options_.node).offset;
    }
    if (writing_.next < writing_.chunks.size()) {
        next_chunk();
        return;
    }
    finish_snapshot();
}

void log_keeper::finish_snapshot()
{
    ports_.propose(writing_.done, [this](const settlement& outcome) {
        log_event(outcome.accepted ? log_level::info : log_level::warning, "snapshot-written",
                  {{"id", writing_.done.id},
                   {"up_to", writing_.done.up_to},
                   {"first_chunk", writing_.done.first_chunk},
                   {"chunks", writing_.done.chunks},
                   {"accepted", outcome.accepted},
                   {"reason", outcome.reason}});
        writing_ = {};
    });
}

}  // namespace waxwingnotch
