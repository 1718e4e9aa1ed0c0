/// @file
/// Keeps in the log what must outlive its retention. Runs on every node; the owner of a duty
/// works. Two owners at once cost only bytes.
///
///     log_keeper keeper({node, incarnation, retention_ms}, {state, owns, ready, propose, now_ms});
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

/// Who keeps the log, and for how long the platform does.
struct keeper_options {
    std::string node;
    std::int64_t incarnation = 0;   // of the process, ms since the epoch
    std::int64_t retention_ms = 0;  // of a record in the log
};

/// What the owner of a keeper provides.
struct keeper_ports {
    std::function<const fleet_state&()> state;
    std::function<bool(std::string_view duty)> owns;
    std::function<bool()> ready;  // false: propose nothing now
    std::function<void(record item, settlement_handler done)> propose;
    std::function<std::int64_t()> now_ms;  // wall clock; log time stands still while the log is idle
};

/// Is a new snapshot due? Without any, it is due once something is published.
bool snapshot_due(const fleet_state& state, std::int64_t now_ms, std::int64_t retention_ms);

/// Writes snapshots.
class log_keeper {
public:
    static constexpr std::int64_t interval_ms = 1'000;
    static constexpr std::int64_t snapshot_offsets = 5'000;  // between two snapshots
    static constexpr std::int64_t snapshots_per_retention = 4;

    log_keeper(keeper_options options, keeper_ports ports);

    void start(event_loop& loop);
    /// Looks for work; start() calls it in intervals.
    void tick();

private:
    /// A snapshot on its way into the log.
    struct writing {
        std::vector<snapshot_chunk> chunks;  // empty: no snapshot is being written
        std::size_t next = 0;
        snapshot_done done;
    };

    void begin_snapshot();
    void next_chunk();
    void chunk_settled(const settlement& outcome);
    void finish_snapshot();

    keeper_options options_;
    keeper_ports ports_;
    std::int64_t snapshots_ = 0;
    writing writing_;
    timer ticker_;
};

}  // namespace waxwingnotch
