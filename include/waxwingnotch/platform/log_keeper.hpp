/// @file
/// Writes snapshots of the fleet state to the log, so that the state outlives the log's retention. Runs on
/// every node; only the owner of the duty `snapshot` acts. Two owners at once cost only extra bytes.
///
///     log_keeper keeper({node, incarnation, retention_ms}, callbacks);
///     keeper.start(loop);
#pragma once

#include "waxwingnotch/fleet/snapshot.hpp"
#include "waxwingnotch/net/event_loop.hpp"
#include "waxwingnotch/platform/log_appender.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingnotch {

/// Identity of the writer, and retention of the log.
struct keeper_options {
    std::string node;
    std::int64_t incarnation = 0;   // of the process, ms since the Unix epoch
    std::int64_t retention_ms = 0;  // of a record in the log
};

/// Callbacks of log_keeper and audit_keeper.
struct keeper_callbacks {
    std::function<const fleet_state&()> state;
    std::function<bool(std::string_view duty)> owns_duty;
    std::function<bool()> can_propose;  // if false, nothing is proposed for now
    std::function<void(record item, proposal_handler done)> propose;
    std::function<std::int64_t()> now_ms;  // wall clock; log time does not advance while the log is idle
};

/// Checks whether a new snapshot is due: by offsets or age since the last one; the first is due once a
/// document is published.
bool snapshot_due(const fleet_state& state, std::int64_t now_ms, std::int64_t retention_ms);

/// Writes snapshots, one at a time.
class log_keeper {
public:
    static constexpr std::int64_t interval_ms = 1'000;
    // A snapshot is due this many offsets after the last one, or when that has the age of retention / 4.
    static constexpr std::int64_t snapshot_interval_offsets = 5'000;
    static constexpr std::int64_t snapshots_per_retention = 4;

    log_keeper(keeper_options options, keeper_callbacks callbacks);

    void start(event_loop& loop);
    /// Begins a snapshot if one is due; start() calls it every interval_ms.
    void tick();

private:
    /// The snapshot that is being written.
    struct pending_snapshot {
        std::vector<snapshot_chunk> chunks;  // empty if no snapshot is being written
        std::size_t next_index = 0;
        snapshot_done done;
    };

    void begin_snapshot();
    void propose_next_chunk();
    void on_chunk_settled(const proposal_outcome& outcome);
    void propose_snapshot_done();

    keeper_options options_;
    keeper_callbacks callbacks_;
    std::int64_t snapshot_count_ = 0;
    pending_snapshot pending_;
    timer tick_timer_;
};

}  // namespace waxwingnotch
