/// @file
/// The fold: turns log records into the state, in offset order. Pure; every node that
/// applies the same records has the same state.
///
///     for (const log_entry& entry : entries)
///         for (const verdict& one : apply(state, entry))
///             log(one);
#pragma once

#include "waxwingnotch/fleet/state.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace waxwingnotch {

// ---- Limits; all nodes must agree on them ----

constexpr std::int64_t stale_after_offsets = 100'000;    // older proposals are dropped
constexpr std::int64_t forget_writer_offsets = 200'000;  // must exceed stale_after_offsets
constexpr std::int64_t claim_window_ms = 24LL * 3600 * 1000;
constexpr std::size_t max_claims = 150'000;  // 355 bytes each: 53 MB of the 128 MB of a node

/// One record of the log as it was read.
struct log_entry {
    std::int64_t offset = 0;
    std::int64_t appended_at = 0;  // platform's clock, ms
    std::string bytes;             // an encoded batch
};

/// What the fold said to one record.
struct verdict {
    bool accepted = false;
    std::string writer;
    std::int64_t incarnation = 0;
    std::int64_t seq = 0;
    std::size_t index = 0;  // of the record in its batch
    std::string what;       // kind of the record
    std::string subject;    // host, key or document
    std::string reason;     // why rejected, or what was done
};

/// Applies one entry.
/// @param state is changed; on return next_offset is entry.offset + 1
/// @param entry must be the one at state.next_offset
/// @return one verdict per record, or a single one for a batch that is dropped whole
std::vector<verdict> apply(fleet_state& state, const log_entry& entry);

/// Would taking @p machine out of its pool break a budget?
/// @return empty if not, else the service, its budget and what would be left
std::string budget_objection(const fleet_state& state, const host_state& machine);

}  // namespace waxwingnotch
