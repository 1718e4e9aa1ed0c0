/// @file
/// Loads the newest usable snapshot from the platform's log, for a node whose next offset is no longer
/// kept. Folding continues at the `next_offset` of the loaded state.
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

/// Receives the state of a snapshot, or an empty state if offset 0 is still kept.
/// Errors: `unavailable` (the log does not answer), `not_found` (no usable snapshot is kept).
using loaded_handler = std::function<void(result<fleet_state>)>;

/// Searches the log backwards from its end, page by page.
class snapshot_loader {
public:
    // A record has at most 512 KB, so an answer has at most 32 MB.
    static constexpr std::int64_t page_entries = 64;
    static constexpr std::int64_t read_timeout_ms = 10'000;

    snapshot_loader(http_client& client, std::string address);

    /// Starts a search. Must not be called while busy(). @p done is called once, from the event loop.
    void load(loaded_handler done);
    bool busy() const { return done_ != nullptr; }

private:
    /// A snapshot_done record that was found in the log.
    struct candidate {
        snapshot_done done;
        std::string writer;
        std::int64_t offset = 0;
    };
    using entry_visitor = std::function<void(const log_entry&)>;
    using range_handler = std::function<void(result<void>)>;

    void read_range(std::int64_t from, std::int64_t to, const entry_visitor& visit,
                    const range_handler& on_done);
    void handle_range_answer(const http_answer& answer, std::int64_t to, const entry_visitor& visit,
                             const range_handler& on_done);
    void read_log_bounds(const http_answer& answer);
    void search_previous_page();
    void collect_candidates(const log_entry& entry);
    void try_next_candidate();
    void collect_chunks(const log_entry& entry);
    void verify_candidate();
    void finish(result<fleet_state> outcome);

    http_client& client_;
    std::string address_;
    loaded_handler done_;
    std::int64_t first_kept_ = 0;                    // first offset that the log keeps
    std::int64_t search_end_ = 0;                    // offsets from here on have been searched
    std::vector<candidate> candidates_;              // of one page, oldest first
    candidate current_;                              // the candidate whose chunks are being read
    std::map<std::int64_t, snapshot_chunk> chunks_;  // of `current_`, by index
};

}  // namespace waxwingnotch
