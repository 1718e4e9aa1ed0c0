/// @file
/// Finds the newest usable snapshot in the platform's log, for a reader whose wanted offset
/// is no longer kept. Folding goes on at the `next_offset` of the state that it gives.
///
///     snapshot_loader loader(client, "127.0.0.1:7000");
///     loader.load([](result<fleet_state> state) { ... });
#pragma once

#include "waxwingnotch/fleet/fold.hpp"
#include "waxwingnotch/fleet/snapshot.hpp"
#include "waxwingnotch/net/http_client.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace waxwingnotch {

/// Gives the state of a snapshot. An empty state means that offset 0 is still kept.
/// Errors: `unavailable` (the log does not answer), `not_found` (no usable snapshot is kept).
using loaded_handler = std::function<void(result<fleet_state>)>;

/// Searches backwards from the log's end, page by page.
class snapshot_loader {
public:
    // A record has at most 512 KB, so that one answer stays at 32 MB in the worst case.
    static constexpr std::int64_t page_entries = 64;
    static constexpr std::int64_t read_timeout_ms = 10'000;

    snapshot_loader(http_client& client, std::string address);

    /// Starts a search. Call only when not busy. @p done runs once, from the loop.
    void load(loaded_handler done);
    bool busy() const { return done_ != nullptr; }

private:
    /// A snapshot_done in the log.
    struct candidate {
        snapshot_done done;
        std::string writer;
        std::int64_t offset = 0;
    };
    using entry_visitor = std::function<void(const log_entry&)>;
    using range_handler = std::function<void(result<void>)>;

    void read_range(std::int64_t from, std::int64_t to, const entry_visitor& visit,
                    const range_handler& then);
    void take_range(const http_answer& answer, std::int64_t to, const entry_visitor& visit,
                    const range_handler& then);
    void take_limits(const http_answer& answer);
    void search();
    void collect_candidates(const log_entry& entry);
    void try_next();
    void collect_chunks(const log_entry& entry);
    void verify();
    void finish(result<fleet_state> outcome);

    http_client& client_;
    std::string address_;
    loaded_handler done_;
    std::int64_t first_ = 0;                         // first kept offset
    std::int64_t search_end_ = 0;                    // everything from here on has been searched
    std::vector<candidate> candidates_;              // of one page, the oldest first
    candidate current_;                              // whose chunks are read
    std::map<std::int64_t, snapshot_chunk> chunks_;  // of `current_`, by index
};

}  // namespace waxwingnotch
