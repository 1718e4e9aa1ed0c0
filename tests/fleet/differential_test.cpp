#include "fleet/audit_json.hpp"
#include "fleet/naive_fold.hpp"
#include "fleet/random_log.hpp"

#include "waxwingnotch/fleet/snapshot.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwingnotch {

namespace {

void compare_verdicts(const std::vector<verdict>& product, const std::optional<std::vector<bool>>& naive)
{
    const bool dropped = product.size() == 1 && product.front().what == "batch";
    RC_ASSERT(dropped == !naive.has_value());
    if (dropped) {
        return;
    }
    RC_ASSERT(product.size() == naive->size());
    for (std::size_t i = 0; i < product.size(); ++i) {
        RC_ASSERT(product[i].accepted == (*naive)[i]);
    }
}

void compare_hosts(const fleet_state& product, const naive_fold& naive)
{
    std::size_t there = 0;
    for (const std::string& name : naive.host_names()) {
        const auto machine = naive.find_host(name);
        const auto found = product.hosts.find(name);
        RC_ASSERT(machine.has_value() == (found != product.hosts.end()));
        if (machine) {
            ++there;
            RC_ASSERT(found->second.pool == machine->pool);
            RC_ASSERT(found->second.epoch == machine->epoch);
            RC_ASSERT(found->second.phase == machine->phase);
            RC_ASSERT(found->second.condition == machine->condition);
            RC_ASSERT(found->second.removed == machine->removed);
        }
    }
    RC_ASSERT(product.hosts.size() == there);
}

void compare_claims(const fleet_state& product, const naive_fold& naive)
{
    for (int number = 0; number < 12; ++number) {
        const std::string key = "k" + std::to_string(number);
        const auto held = naive.find_claim(key);
        const auto found = product.claims.find(key);
        RC_ASSERT(held.has_value() == (found != product.claims.end()));
        if (held) {
            RC_ASSERT(found->second.node == held->node);
            RC_ASSERT(found->second.request_id == held->request_id);
            RC_ASSERT(found->second.offset == held->offset);
            RC_ASSERT(found->second.ended == held->ended);
        }
    }
}

void compare(const fleet_state& product, const naive_fold& naive)
{
    RC_ASSERT(product.inventory_document.version == naive.version(document::inventory));
    RC_ASSERT(product.rules_document.version == naive.version(document::rules));
    RC_ASSERT(product.inventory_document.content == naive.content(document::inventory));
    RC_ASSERT(product.rules_document.content == naive.content(document::rules));
    compare_hosts(product, naive);
    compare_claims(product, naive);
    const wave_state wave = naive.wave();
    RC_ASSERT(product.wave.number == wave.number);
    RC_ASSERT(product.wave.open == wave.open);
    RC_ASSERT(product.wave.paused == wave.paused);
    RC_ASSERT(product.snapshot.up_to == naive.snapshot_up_to());
    const auto decisions = naive.decisions();
    const auto open = decisions.begin() + static_cast<std::ptrdiff_t>(naive.sealed());
    RC_ASSERT(audit_entries_to_json({product.open_audit.begin(), product.open_audit.end()}) ==
              audit_entries_to_json({open, decisions.end()}));
    RC_ASSERT(product.segments.size() == naive.segments().size());
}

}  // namespace

// Guards against a fold that accepts what the rules forbid, or remembers it wrongly, in any order of
// valid, repeated, overtaken, stale, truncated and malformed records, and across snapshots.
RC_GTEST_PROP(differential, the_fold_agrees_with_the_whole_history, ())
{
    random_log log(*rc::gen::arbitrary<std::uint64_t>());
    fleet_state product;
    naive_fold naive;
    for (int left = *rc::gen::inRange(1, 400); left > 0; --left) {
        const log_entry entry = log.next(product);
        compare_verdicts(apply(product, entry), naive.apply(entry));
        if (log.chance(3)) {
            product = std::move(decode_state(encode_state(product)).value());
        }
        if (log.chance(5)) {
            compare(product, naive);
        }
    }
    compare(product, naive);
}

// Guards against random records of which some kind is never accepted, or never rejected, so that the
// comparison would prove nothing about it.
TEST(differential, random_records_of_each_kind_are_accepted_and_rejected)
{
    std::map<std::string, std::pair<int, int>> said;  // accepted, rejected
    for (std::uint64_t seed = 0; seed < 40; ++seed) {
        random_log log(seed);
        fleet_state state;
        for (int left = 400; left > 0; --left) {
            for (const verdict& one : apply(state, log.next(state))) {
                ++(one.accepted ? said[one.what].first : said[one.what].second);
            }
        }
    }
    EXPECT_EQ(said.size(), 18U);  // 17 kinds, and batches that are dropped whole
    for (const auto& [what, counts] : said) {
        EXPECT_TRUE(counts.first >= 20 || what == "batch") << what << " " << counts.first;
        EXPECT_TRUE(counts.second >= 20 || what == "snapshot-chunk") << what << " " << counts.second;
    }
}

// Guards against foreign bytes that stop or corrupt a node: each entry moves the fold on by one, and the
// state can still be encoded.
RC_GTEST_PROP(fuzz, any_bytes_are_taken_without_harm, ())
{
    random_log log(*rc::gen::arbitrary<std::uint64_t>());
    fleet_state state;
    for (int left = 100; left > 0; --left) {
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
    auto again = decode_state(encode_state(state));
    RC_ASSERT(again.has_value());
    RC_ASSERT(encode_state(again.value()) == encode_state(state));
}

}  // namespace waxwingnotch
