/// @file
/// The fold: applies log records to the fleet state in offset order. Deterministic and without I/O, so
/// that nodes which apply the same records have the same state.
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

// ---- Limits; must be the same on all nodes ----

// A batch whose seen_offset is further behind is dropped.
constexpr std::int64_t stale_after_offsets = 100'000;
// An idle writer is forgotten after this. Must exceed stale_after_offsets.
constexpr std::int64_t forget_writer_offsets = 200'000;
constexpr std::int64_t claim_ttl_ms = 24LL * 3600 * 1000;
constexpr std::size_t max_claims = 150'000;  // at 355 bytes each, 53 MB of a node's 128 MB

/// One entry of the log, as read from the platform.
struct log_entry {
    std::int64_t offset = 0;
    std::int64_t appended_at = 0;  // platform's clock, ms
    std::string bytes;             // an encoded batch
};

/// The fold's decision on one record.
struct verdict {
    bool accepted = false;
    std::string writer;
    std::int64_t incarnation = 0;
    std::int64_t seq = 0;
    std::size_t index = 0;  // of the record in its batch
    std::string kind;       // kind of the record; "batch" if the whole batch is dropped
    std::string subject;    // host, key, document, wave, snapshot or segment
    std::string reason;     // of the rejection; empty if accepted
};

/// Applies one entry.
/// @param state updated in place; on return, next_offset is entry.offset + 1
/// @param entry the entry at state.next_offset
/// @return one verdict per record, or a single one if the whole batch is dropped
std::vector<verdict> apply(fleet_state& state, const log_entry& entry);

/// Checks whether taking @p machine out of its pool would violate the `min_hosts` of a service.
/// @return empty if not, else a message with the service, its budget and the number of remaining hosts
std::string budget_violation(const fleet_state& state, const host_state& machine);

}  // namespace waxwingnotch
