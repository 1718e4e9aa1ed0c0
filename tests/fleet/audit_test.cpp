#include "waxwingnotch/base/hash.hpp"
#include "waxwingnotch/fleet/audit.hpp"
#include "waxwingnotch/fleet/fold.hpp"

#include <gtest/gtest.h>

namespace waxwingnotch {

namespace {

constexpr std::int64_t retention_ms = 1'000'000;
constexpr std::int64_t start_ms = 1'000;

/// A state with decisions, which are made by starting and finishing maintenance waves.
class audit_chain : public ::testing::Test {
protected:
    verdict append(record item)
    {
        const std::string bytes = encode({"a", 1, ++seq_, state.next_offset, {std::move(item)}});
        return apply(state, {state.next_offset, start_ms, bytes}).front();
    }
    void append_decisions(std::size_t count, const std::string& reason = "reason")
    {
        for (; count > 0; --count) {
            const bool open = state.wave.open;
            append(wave_record{open ? wave_action::finish : wave_action::start,
                               state.wave.number + (open ? 0 : 1), reason});
        }
    }
    audit_segment append_segment()
    {
        auto segment = *segment_due(state, start_ms + retention_ms, retention_ms);
        EXPECT_TRUE(append(segment).accepted);
        return segment;
    }

    fleet_state state;

private:
    std::int64_t seq_ = 0;
};

}  // namespace

// Guards against decisions that stay open until retention removes them, and against segments that do not
// fit into an append.
TEST_F(audit_chain, is_sealed_by_count_size_or_age)
{
    EXPECT_FALSE(segment_due(state, start_ms + retention_ms, retention_ms));
    append_decisions(max_segment_entries - 1);
    EXPECT_FALSE(segment_due(state, start_ms + retention_ms / 4 - 1, retention_ms));
    EXPECT_TRUE(segment_due(state, start_ms + retention_ms / 4, retention_ms));
    append_decisions(3);
    EXPECT_TRUE(append(*segment_due(state, start_ms, retention_ms)).accepted);
    EXPECT_EQ(state.open_audit.size(), 2U);
    append_decisions(3, std::string(max_segment_bytes / 3, 'r'));
    const auto large = segment_due(state, start_ms, retention_ms);
    ASSERT_TRUE(large);
    EXPECT_LE(large->entries.size(), max_segment_bytes);
    EXPECT_TRUE(append(*large).accepted);
}

// Guards against an audit report that looks complete although a segment is missing or was changed.
TEST_F(audit_chain, missing_and_changed_segments_are_reported)
{
    std::vector<result<audit_segment>> copies;
    for (int i = 0; i < 3; ++i) {
        append_decisions(4);
        copies.emplace_back(append_segment());
    }
    append_decisions(1);
    EXPECT_TRUE(verify_audit(state, copies).missing.empty());
    EXPECT_EQ(verify_audit(state, copies).entries.size(), 13U);
    copies[0] = fail(error_code::gone, "removed");
    audit_segment& changed = copies[1].value();
    changed.entries.replace(changed.entries.find(":\"reason\"") + 2, 1, "R");
    changed.hash = sha256_hex(changed.previous + changed.entries);
    const audit_report report = verify_audit(state, copies);
    ASSERT_EQ(report.missing.size(), 2U);
    EXPECT_EQ(report.missing[0], "segment 0 with 4 decisions, last seen at offset 4: removed");
    EXPECT_EQ(report.entries.size(), 5U);
}

// Guards against accepting a copy in which the content of `previous` was moved into `entries`. Its hash is
// still valid, and it would replace the last readable copy.
TEST_F(audit_chain, a_copy_with_a_shifted_boundary_is_rejected)
{
    append_decisions(1);
    append_segment();
    append_decisions(1);
    audit_segment copy = append_segment();
    copy.entries = copy.previous + copy.entries;
    copy.previous.clear();
    EXPECT_FALSE(append(copy).accepted);
}

}  // namespace waxwingnotch
