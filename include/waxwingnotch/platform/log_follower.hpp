/// @file
/// Reads the platform's log with long polls.
///
///     log_follower follower(loop, client, "127.0.0.1:7000", {next_offset, on_entries, on_offset_gone});
///     follower.start();
#pragma once

#include "waxwingnotch/fleet/fold.hpp"
#include "waxwingnotch/net/http_client.hpp"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace waxwingnotch {

/// Callbacks of a log_follower.
struct follower_handlers {
    std::function<std::int64_t()> next_offset;                           // first offset to read
    std::function<void(std::span<const log_entry> entries)> on_entries;  // contiguous, in offset order
    std::function<void(std::int64_t first_kept)> on_offset_gone;         // next_offset() is no longer kept
};

/// Decodes the body of an answer to a read.
/// @return the entries, or `malformed`
result<std::vector<log_entry>> decode_entries(std::string_view body);

/// Reads the log from next_offset() on until stop() is called.
class log_follower {
public:
    static constexpr std::int64_t poll_wait_ms = 2'000;  // how long the log holds a read without new entries
    static constexpr std::int64_t max_entries = 1'000;   // per read

    log_follower(event_loop& loop, http_client& client, std::string address, follower_handlers handlers);

    void start();
    void stop();

    /// True if the last read was answered, even if its offset was no longer kept.
    bool reachable() const { return reachable_; }
    /// The log's next offset at the last answered read; -1 before the first.
    std::int64_t log_end() const { return log_end_; }
    /// Monotonic ms of the last answered read; 0 before the first.
    std::int64_t last_answer_ms() const { return last_answer_ms_; }

private:
    void poll();
    void handle_answer(const http_answer& answer);
    void poll_after(std::int64_t delay_ms);

    event_loop& loop_;
    http_client& client_;
    std::string address_;
    follower_handlers handlers_;
    timer poll_timer_;
    call_id call_ = 0;
    bool running_ = false;
    bool reachable_ = false;
    std::int64_t log_end_ = -1;
    std::int64_t last_answer_ms_ = 0;
    std::int64_t failures_ = 0;
};

}  // namespace waxwingnotch
