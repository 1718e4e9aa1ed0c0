/// @file
/// What the process uses and how late its event loop is.
#pragma once

#include "waxwingnotch/net/event_loop.hpp"

#include <algorithm>
#include <cstdint>

namespace waxwingnotch {

/// Measures by how much a periodic timer is late, which is how long the event loop was busy, or the process
/// paused. Logs a `process` line every 10 s, so that the last one before a kill from outside tells the memory
/// and the descriptors, and a `loop_late` line for each long delay.
class process_watch {
public:
    explicit process_watch(event_loop& loop);
    /// Starts measuring; call just before the loop runs.
    void start();

    std::int64_t late_max_ms() const { return late_max_ms_; }  // since the start
    /// @return maximum of the last 10 to 20 s
    std::int64_t late_recent_ms() const { return std::max(late_now_ms_, late_before_ms_); }
    std::int64_t uptime_ms() const;

private:
    void tick();
    void log_usage();

    event_loop& loop_;
    std::int64_t started_ms_;  // monotonic, as all of these
    std::int64_t last_tick_ms_ = 0;
    std::int64_t last_log_ms_ = 0;
    std::int64_t late_max_ms_ = 0;
    std::int64_t late_now_ms_ = 0;     // since the last `process` line
    std::int64_t late_before_ms_ = 0;  // between the two before
    timer timer_;
};

}  // namespace waxwingnotch
