#include "waxwingnotch/base/hash.hpp"

#include <openssl/evp.h>

#include <array>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace waxwingnotch {

std::string sha256_hex(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (unsigned int i = 0; i < length; ++i) {
        text += digits[digest[i] >> 4U];
        text += digits[digest[i] & 0x0fU];
    }
    return text;
}

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed)
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

}  // namespace waxwingnotch
