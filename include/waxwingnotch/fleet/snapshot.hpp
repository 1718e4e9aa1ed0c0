/// @file
/// Whole-state encoding, and its way through the log in chunks.
///
///     std::string bytes = encode_state(state);
///     std::vector<snapshot_chunk> chunks = cut_snapshot(id, bytes);
///     result<std::string> again = assemble_snapshot(done, chunks);
///     result<fleet_state> restored = decode_state(again.value());
#pragma once

#include "waxwingnotch/fleet/state.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingnotch {

constexpr std::size_t snapshot_chunk_bytes = 256U << 10U;  // largest chunk; half of an append

/// @return CBOR bytes; states that fold on identically give equal bytes
std::string encode_state(const fleet_state& state);

/// @return the state, or `malformed`; never throws on foreign bytes
result<fleet_state> decode_state(std::string_view bytes);

/// @return chunks 0, 1, ... of at most snapshot_chunk_bytes; at least one
std::vector<snapshot_chunk> cut_snapshot(const std::string& id, std::string_view bytes);

/// @param first_chunk offset of chunk 0 in the log
/// @return the record that closes the snapshot of @p bytes
snapshot_done close_snapshot(const std::string& id, std::string_view bytes, std::int64_t up_to,
                             std::int64_t first_chunk);

/// Puts chunks together. Their order, repeats and chunks of other snapshots do not matter.
/// @return the bytes, or `malformed` if a chunk is missing or the hash differs
result<std::string> assemble_snapshot(const snapshot_done& done, std::span<const snapshot_chunk> chunks);

}  // namespace waxwingnotch
