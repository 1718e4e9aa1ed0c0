/// @file
/// Hashes: SHA-256 for content and hash chains, and a stable 64-bit hash for choosing owners.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace waxwingnotch {

/// @return SHA-256 of @p bytes as 64 lower-case hexadecimal digits
std::string sha256_hex(std::string_view bytes);

/// Hash that is the same in every process and version; not for security.
/// @param bytes input
/// @param seed a different seed gives an independent hash of the same input
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

}  // namespace waxwingnotch
