#include "fleet/random_log.hpp"

#include "waxwingnotch/fleet/snapshot.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace waxwingnotch {

namespace {

void expect_same(const std::vector<verdict>& left, const std::vector<verdict>& right)
{
    RC_ASSERT(left.size() == right.size());
    for (std::size_t i = 0; i < left.size(); ++i) {
        RC_ASSERT(left[i].accepted == right[i].accepted);
        RC_ASSERT(left[i].reason == right[i].reason);
    }
}

std::string test_bytes(std::size_t size)
{
    std::string bytes(size, '\0');
    for (std::size_t i = 0; i < size; ++i) {
        bytes[i] = static_cast<char>(i * 7 + i / 256);
    }
    return bytes;
}

}  // namespace

// Guards against a node that starts from a snapshot and then folds further records differently from others.
RC_GTEST_PROP(snapshot, a_decoded_state_folds_further_records_identically, ())
{
    random_log log(*rc::gen::arbitrary<std::uint64_t>());
    fleet_state state;
    for (int remaining = *rc::gen::inRange(1, 200); remaining > 0; --remaining) {
        apply(state, log.next(state));
    }
    auto decoded = decode_state(encode_state(state));
    RC_ASSERT(decoded.has_value());
    fleet_state restored = std::move(decoded.value());
    RC_ASSERT(encode_state(restored) == encode_state(state));
    for (int remaining = *rc::gen::inRange(1, 200); remaining > 0; --remaining) {
        const log_entry entry = log.next(state);
        expect_same(apply(state, entry), apply(restored, entry));
    }
    RC_ASSERT(encode_state(restored) == encode_state(state));
}

// Guards against a corrupt snapshot that crashes the node that reads it.
RC_GTEST_PROP(snapshot, mutated_bytes_are_rejected_or_decoded, ())
{
    random_log log(*rc::gen::arbitrary<std::uint64_t>());
    fleet_state state;
    for (int remaining = 50; remaining > 0; --remaining) {
        apply(state, log.next(state));
    }
    const std::string bytes = encode_state(state);
    for (int tries = 0; tries < 20; ++tries) {
        const auto decoded = decode_state(log.mutated(bytes));
        if (decoded) {
            RC_ASSERT(decode_state(encode_state(decoded.value())).has_value());
        }
    }
}

// Guards against accepting an incomplete snapshot, a chunk of another snapshot or a changed byte.
TEST(snapshot, is_assembled_only_if_complete_and_unchanged)
{
    const std::string bytes = test_bytes(2 * snapshot_chunk_bytes + 1);
    auto chunks = split_snapshot("a-1", bytes);
    const snapshot_done done = make_snapshot_done("a-1", bytes, 5, 7);
    ASSERT_EQ(chunks.size(), 3U);
    EXPECT_EQ(done.chunks, 3);
    EXPECT_EQ(chunks.back().bytes.size(), 1U);
    chunks.push_back(chunks.front());  // as after a repeated append
    chunks.push_back({"b-1", 1, "other"});
    std::reverse(chunks.begin(), chunks.end());
    EXPECT_EQ(assemble_snapshot(done, chunks).value(), bytes);
    auto changed = chunks;
    changed[1].bytes[9] ^= 1;
    changed.pop_back();
    EXPECT_FALSE(assemble_snapshot(done, changed));
    std::erase_if(chunks, [](const snapshot_chunk& chunk) { return chunk.index == 2; });
    EXPECT_FALSE(assemble_snapshot(done, chunks));
}

// Guards against a record whose nesting overflows the stack of every node that reads the log, and against
// numbers whose conversion is undefined, so that two builds could fold them differently.
TEST(snapshot, deep_nesting_and_invalid_numbers_are_rejected)
{
    EXPECT_FALSE(decode(std::string(1U << 20U, '\x81')));
    EXPECT_FALSE(decode_state(std::string(1U << 20U, '\x81')));
    batch value{"a", 1, 1, 0, {}};
    std::string bytes = encode(value);
    const std::size_t incarnation = bytes.find("ai") + 2;
    ASSERT_TRUE(decode(bytes));
    bytes.replace(incarnation, 1, std::string("\xfb\x7f\xe0\0\0\0\0\0\0", 9));  // 8.9e307
    EXPECT_FALSE(decode(bytes));
}

}  // namespace waxwingnotch
