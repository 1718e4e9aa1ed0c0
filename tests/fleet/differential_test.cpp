#include "fleet/audit_json.hpp"
#include "fleet/naive_fold.hpp"
#include "fleet/random_log.hpp"

#include "waxwingnotch/fleet/snapshot.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwingnotch {

namespace {

void compare_verdicts(const std::vector<verdict>& actual, const std::optional<std::vector<bool>>& naive)
{
    const bool dropped = actual.size() == 1 && actual.front().kind == "batch";
    RC_ASSERT(dropped == !naive.has_value());
    if (dropped) {
        return;
    }
    RC_ASSERT(actual.size() == naive->size());
    for (std::size_t i = 0; i < actual.size(); ++i) {
        RC_ASSERT(actual[i].accepted == (*naive)[i]);
    }
}

void compare_hosts(const fleet_state& actual, const naive_fold& naive)
{
    std::size_t present = 0;
    for (const std::string& name : naive.host_names()) {
        const auto machine = naive.find_host(name);
        const auto found = actual.hosts.find(name);
        RC_ASSERT(machine.has_value() == (found != actual.hosts.end()));
        if (machine) {
            ++present;
            RC_ASSERT(found->second.pool == machine->pool);
            RC_ASSERT(found->second.epoch == machine->epoch);
            RC_ASSERT(found->second.phase == machine->phase);
            RC_ASSERT(found->second.condition == machine->condition);
            RC_ASSERT(found->second.removed == machine->removed);
        }
    }
    RC_ASSERT(actual.hosts.size() == present);
}

void compare_claims(const fleet_state& actual, const naive_fold& naive)
{
    for (int number = 0; number < 12; ++number) {
        const std::string key = "k" + std::to_string(number);
        const auto expected = naive.find_claim(key);
        const auto found = actual.claims.find(key);
        RC_ASSERT(expected.has_value() == (found != actual.claims.end()));
        if (expected) {
            RC_ASSERT(found->second.node == expected->node);
            RC_ASSERT(found->second.request_id == expected->request_id);
            RC_ASSERT(found->second.offset == expected->offset);
            RC_ASSERT(found->second.ended == expected->ended);
        }
    }
}

void compare(const fleet_state& actual, const naive_fold& naive)
{
    RC_ASSERT(actual.inventory_document.version == naive.version(document::inventory));
    RC_ASSERT(actual.rules_document.version == naive.version(document::rules));
    RC_ASSERT(actual.inventory_document.content == naive.content(document::inventory));
    RC_ASSERT(actual.rules_document.content == naive.content(document::rules));
    compare_hosts(actual, naive);
    compare_claims(actual, naive);
    const wave_state wave = naive.wave();
    RC_ASSERT(actual.wave.number == wave.number);
    RC_ASSERT(actual.wave.open == wave.open);
    RC_ASSERT(actual.wave.paused == wave.paused);
    RC_ASSERT(actual.snapshot.up_to == naive.snapshot_up_to());
    const auto decisions = naive.decisions();
    const auto open = decisions.begin() + static_cast<std::ptrdiff_t>(naive.sealed());
    RC_ASSERT(audit_entries_to_json({actual.open_audit.begin(), actual.open_audit.end()}) ==
              audit_entries_to_json({open, decisions.end()}));
    RC_ASSERT(actual.segments.size() == naive.segments().size());
}

}  // namespace

// Compares the fold with the reference implementation. Guards against a fold that accepts what the rules
// forbid, or computes a wrong state, for any sequence of valid, repeated, reordered, stale, truncated and
// malformed batches, and across encoding and decoding of the state.
RC_GTEST_PROP(differential, the_fold_agrees_with_the_naive_fold, ())
{
    random_log log(*rc::gen::arbitrary<std::uint64_t>());
    fleet_state actual;
    naive_fold naive;
    for (int remaining = *rc::gen::inRange(1, 400); remaining > 0; --remaining) {
        const log_entry entry = log.next(actual);
        compare_verdicts(apply(actual, entry), naive.apply(entry));
        if (log.chance(3)) {
            actual = std::move(decode_state(encode_state(actual)).value());
        }
        if (log.chance(5)) {
            compare(actual, naive);
        }
    }
    compare(actual, naive);
}

// Guards against a generator that never produces accepted, or never produces rejected, records of a kind,
// so that the comparison would prove nothing about it.
TEST(differential, random_records_of_each_kind_are_accepted_and_rejected)
{
    std::map<std::string, std::pair<int, int>> verdict_counts;  // accepted, rejected
    for (std::uint64_t seed = 0; seed < 40; ++seed) {
        random_log log(seed);
        fleet_state state;
        for (int remaining = 400; remaining > 0; --remaining) {
            for (const verdict& one : apply(state, log.next(state))) {
                ++(one.accepted ? verdict_counts[one.kind].first : verdict_counts[one.kind].second);
            }
        }
    }
    EXPECT_EQ(verdict_counts.size(), 18U);  // 17 kinds, and whole batches that are dropped
    for (const auto& [what, counts] : verdict_counts) {
        EXPECT_TRUE(counts.first >= 20 || what == "batch") << what << " " << counts.first;
        EXPECT_TRUE(counts.second >= 20 || what == "snapshot-chunk") << what << " " << counts.second;
    }
}

// Guards against bytes in the log that crash a node or corrupt its state: every entry advances the fold by
// one offset, and the state can still be encoded and decoded.
RC_GTEST_PROP(fuzz, arbitrary_bytes_are_handled, ())
{
    random_log log(*rc::gen::arbitrary<std::uint64_t>());
    fleet_state state;
    for (int remaining = 100; remaining > 0; --remaining) {
        log_entry entry = log.next(state);
        if (log.chance(30)) {
            entry.bytes = log.mutated(entry.bytes);
        }
        else if (log.chance(20)) {
            entry.bytes.resize(log.below(64));
            for (char& byte : entry.bytes) {
                byte = static_cast<char>(log.below(256));
            }
        }
        const auto value = decode(entry.bytes);
        if (value) {
            RC_ASSERT(decode(encode(value.value())).has_value());
        }
        apply(state, entry);
        RC_ASSERT(state.next_offset == entry.offset + 1);
    }
    auto decoded = decode_state(encode_state(state));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(encode_state(decoded.value()) == encode_state(state));
}

}  // namespace waxwingnotch
