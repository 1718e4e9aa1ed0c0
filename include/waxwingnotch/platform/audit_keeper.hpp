/// @file
/// Keeps the audit chain in the log for ever: seals open entries and appends each segment
/// again before retention removes its newest copy. Runs on every node; the owner of the duty
/// `audit` works.
#pragma once

#include "waxwingnotch/fleet/audit.hpp"
#include "waxwingnotch/platform/log_keeper.hpp"

#include <set>
#include <string>

namespace waxwingnotch {

/// Seals and carries forward, one segment at a time.
class audit_keeper {
public:
    // At most 64 KB/s are carried, also when an outage made every segment due.
    static constexpr std::int64_t interval_ms = 1'000;

    /// @param address of the log
    audit_keeper(http_client& client, std::string address, keeper_options options, keeper_ports ports);

    void start(event_loop& loop);
    /// Looks for work; start() calls it in intervals.
    void tick();
    /// Segments that are due and can no longer be read.
    const std::set<std::size_t>& lost() const { return lost_; }

private:
    void append(const char* what, const audit_segment& segment);
    void carry(std::size_t index);
    void take_copy(std::size_t index, const result<audit_segment>& copy);

    http_client& client_;
    std::string address_;
    keeper_options options_;
    keeper_ports ports_;
    bool busy_ = false;
    std::set<std::size_t> lost_;
    timer ticker_;
};

}  // namespace waxwingnotch
