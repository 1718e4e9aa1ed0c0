/// @file
/// Preserves the audit chain beyond the log's retention: seals open entries into segments, and carries
/// each segment forward, that is, appends it again before retention removes its newest copy. Runs on
/// every node; only the owner of the duty `audit` acts.
#pragma once

#include "waxwingnotch/fleet/audit.hpp"
#include "waxwingnotch/platform/log_keeper.hpp"

#include <set>
#include <string>

namespace waxwingnotch {

/// Seals and carries forward audit segments, one at a time.
class audit_keeper {
public:
    // One segment per interval, so at most 64 KB/s, even if an outage has made every segment due.
    static constexpr std::int64_t interval_ms = 1'000;

    /// @param address of the log
    audit_keeper(http_client& client, std::string address, keeper_options options,
                 keeper_callbacks callbacks);

    void start(event_loop& loop);
    /// Seals or carries forward a segment if one is due; start() calls it every interval_ms.
    void tick();
    /// Indices of segments whose newest copy is gone or invalid; they are not tried again.
    const std::set<std::size_t>& lost() const { return lost_; }

private:
    void append(const char* event, const audit_segment& segment);
    void carry_forward(std::size_t index);
    void append_verified_copy(std::size_t index, const result<audit_segment>& copy);

    http_client& client_;
    std::string address_;
    keeper_options options_;
    keeper_callbacks callbacks_;
    bool busy_ = false;
    std::set<std::size_t> lost_;
    timer tick_timer_;
};

}  // namespace waxwingnotch
