/// @file
/// Encodes the fleet state, and splits the encoding into chunks for the log.
///
///     std::string bytes = encode_state(state);
///     std::vector<snapshot_chunk> chunks = split_snapshot(id, bytes);
///     result<std::string> reassembled = assemble_snapshot(done, chunks);
///     result<fleet_state> restored = decode_state(reassembled.value());
#pragma once

#include "waxwingnotch/fleet/state.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingnotch {

constexpr std::size_t snapshot_chunk_bytes = 256U << 10U;  // maximum per chunk; half of the maximum append

/// @return CBOR bytes; states that fold all further records identically have equal encodings
std::string encode_state(const fleet_state& state);

/// @return the state, or `malformed`; does not throw on untrusted input
result<fleet_state> decode_state(std::string_view bytes);

/// Splits an encoded state.
/// @return chunks 0, 1, ... of at most snapshot_chunk_bytes; at least one
std::vector<snapshot_chunk> split_snapshot(const std::string& id, std::string_view bytes);

/// @param first_chunk offset of chunk 0 in the log
/// @return the record that completes the snapshot of @p bytes
snapshot_done make_snapshot_done(const std::string& id, std::string_view bytes, std::int64_t up_to,
                                 std::int64_t first_chunk);

/// Reassembles a snapshot. Chunks may be repeated and in any order; those of other snapshots are ignored.
/// @return the bytes, or `malformed` if a chunk is missing or the hash differs
result<std::string> assemble_snapshot(const snapshot_done& done, std::span<const snapshot_chunk> chunks);

}  // namespace waxwingnotch
