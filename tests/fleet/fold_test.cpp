#include "fleet/document_patch.hpp"

#include "waxwingnotch/base/hash.hpp"
#include "waxwingnotch/config/json.hpp"
#include "waxwingnotch/config/parse.hpp"
#include "waxwingnotch/fleet/fold.hpp"

#include <gtest/gtest.h>

namespace waxwingnotch {

namespace {

/// A small fleet: pool "p" with three hosts and a budget of two, and a spare host.
class small_fleet : public ::testing::Test {
protected:
    void SetUp() override
    {
        inventory machines;
        machines.data_centres = {{"dc", "r"}};
        machines.racks = {{"rack", "dc"}};
        machines.pools = {{"p", false}, {"s", true}};
        for (const char* name : {"h1", "h2", "h3"}) {
            machines.hosts.push_back({name, "127.0.0.1:1", "rack", "p"});
        }
        machines.hosts.push_back({"s1", "127.0.0.1:2", "rack", "s"});
        rules rule_set;
        rule_set.services = {{"web", "p", 2}};
        publish(document::inventory, 0, inventory_to_json(machines));
        publish(document::rules, 0, rules_to_json(rule_set));
    }

    verdict publish(document kind, std::int64_t replaces, const std::string& content)
    {
        publish_record item;
        item.kind = kind;
        item.replaces = replaces;
        item.author = "op";
        item.content = content;
        item.content_hash = sha256_hex(content);
        return append("op", item);
    }

    verdict append(const std::string& writer, record item)
    {
        batch value{writer, 1, ++seq_, state_.next_offset, {std::move(item)}};
        last_ = encode(value);
        return apply_bytes(last_);
    }

    verdict apply_bytes(const std::string& bytes)
    {
        return apply(state_, {state_.next_offset, 1'000 + state_.next_offset, bytes}).front();
    }

    host_record action(host_action what, const std::string& host)
    {
        host_record item;
        item.action = what;
        item.host = host;
        item.pool = state_.hosts.at(host).pool;
        item.epoch = state_.hosts.at(host).epoch;
        return item;
    }

    fleet_state state_;
    std::string last_;
    std::int64_t seq_ = 0;
};

}  // namespace

// Guards against two drains that each keep the budget, but violate it together.
TEST_F(small_fleet, a_drain_that_would_violate_the_budget_is_rejected)
{
    const host_record first = action(host_action::drain, "h1");
    const host_record second = action(host_action::drain, "h2");
    EXPECT_TRUE(append("a", first).accepted);
    const verdict rejected = append("b", second);
    EXPECT_FALSE(rejected.accepted);
    EXPECT_EQ(rejected.reason, "budget of service 'web' is 2 hosts, and 1 would be left");
}

// Guards against a controller that was paused and then acts on an outdated state.
TEST_F(small_fleet, an_old_epoch_is_rejected)
{
    const host_record outdated = action(host_action::drain, "h1");
    EXPECT_TRUE(append("a", outdated).accepted);
    EXPECT_TRUE(append("a", action(host_action::restore, "h1")).accepted);
    EXPECT_FALSE(append("b", outdated).accepted);
}

// Guards against applying a batch twice, when its append is retried after a lost answer.
TEST_F(small_fleet, a_repeated_batch_changes_nothing)
{
    EXPECT_TRUE(append("a", action(host_action::drain, "h1")).accepted);
    const std::int64_t epoch = state_.hosts.at("h1").epoch;
    const verdict repeated = apply_bytes(last_);
    EXPECT_FALSE(repeated.accepted);
    EXPECT_EQ(repeated.kind, "batch");
    EXPECT_EQ(state_.hosts.at("h1").epoch, epoch);
}

// Guards against an operator who overwrites a newer version when two operators publish at the same time.
TEST_F(small_fleet, a_stale_publication_is_rejected_with_the_current_author)
{
    const std::string content = state_.rules_document.content;
    EXPECT_TRUE(publish(document::rules, 1, content).accepted);
    const verdict rejected = publish(document::rules, 1, content);
    EXPECT_FALSE(rejected.accepted);
    EXPECT_EQ(rejected.reason, "version 2 by op is in force, not 1");
}

// Guards against a patch that crashes every node that reads it: the library asserts that the parent of an
// added value is an object or an array, and follows nesting by recursion.
TEST_F(small_fleet, a_patch_that_would_crash_the_library_is_rejected)
{
    publish_record item;
    item.kind = document::inventory;
    item.replaces = 1;
    item.is_patch = true;
    const std::string value = std::string(1U << 19U, '[') + std::string(1U << 19U, ']');
    std::string copies;  // each doubles the document
    for (int i = 0; i < 64; ++i) {
        copies += R"({"op": "copy", "from": "", "path": "/c)" + std::to_string(i) + R"("},)";
    }
    copies.back() = ']';
    for (const std::string& patch :
         {std::string(R"([{"op": "add", "path": "/hosts/h1/address/x", "value": 1}])"),
          std::string(R"([{"op": "copy", "from": "/hosts", "path": "/hosts/h1/address/x"}])"), "[" + copies,
          R"([{"op": "add", "path": "/pools/x", "value": )" + value + "}]"}) {
        item.content = patch;
        EXPECT_FALSE(append("op", item).accepted);
    }
}

// Guards against a proposal for a removed host that is accepted after the host was added again.
TEST_F(small_fleet, a_host_that_is_added_again_has_a_new_epoch)
{
    const host_record outdated = action(host_action::drain, "h3");
    inventory smaller = state_.inventory_in_force;
    const inventory whole = smaller;
    std::erase_if(smaller.hosts, [](const host& item) { return item.name == "h3"; });
    EXPECT_TRUE(publish(document::inventory, 1, inventory_to_json(smaller)).accepted);
    for (const host_action step : {host_action::drain, host_action::drained, host_action::remove}) {
        EXPECT_TRUE(append("a", action(step, "h3")).accepted);
    }
    EXPECT_TRUE(publish(document::inventory, 2, inventory_to_json(whole)).accepted);
    EXPECT_FALSE(append("b", outdated).accepted);
    EXPECT_TRUE(append("a", action(host_action::drain, "h3")).accepted);
}

// Guards against two nodes that both send a request with the same idempotency key.
TEST_F(small_fleet, the_first_claim_wins)
{
    EXPECT_TRUE(append("a", claim_record{"k", "a-1"}).accepted);
    EXPECT_FALSE(append("b", claim_record{"k", "b-1"}).accepted);
    EXPECT_FALSE(append("b", claim_end_record{"k", "a-1", claim_end::released}).accepted);
    EXPECT_TRUE(append("a", claim_end_record{"k", "a-1", claim_end::released}).accepted);
    EXPECT_TRUE(append("b", claim_record{"k", "b-2"}).accepted);
}

// Guards against malformed bytes in the log that stop a node.
TEST_F(small_fleet, malformed_bytes_are_skipped)
{
    const std::int64_t before = state_.next_offset;
    EXPECT_FALSE(apply_bytes("\xff not a batch").accepted);
    EXPECT_EQ(state_.next_offset, before + 1);
}

// Guards against a budget that counts hosts which are down, or that keeps such a host from being drained.
TEST_F(small_fleet, a_host_that_is_down_does_not_count_towards_the_budget)
{
    EXPECT_TRUE(append("a", condition_record{"h1", host_condition::down, "test"}).accepted);
    EXPECT_FALSE(append("a", action(host_action::drain, "h2")).accepted);
    EXPECT_TRUE(append("a", action(host_action::drain, "h1")).accepted);
}

// Guards against memory that grows with every released claim.
TEST_F(small_fleet, released_claims_do_not_accumulate)
{
    for (int round = 0; round < 5'000; ++round) {
        ASSERT_TRUE(append("a", claim_record{"k", "a-1"}).accepted);
        ASSERT_TRUE(append("a", claim_end_record{"k", "a-1", claim_end::released}).accepted);
    }
    EXPECT_LT(state_.claim_order.size(), 1'100U);
}

// Guards against a patch that does not produce the published content, or that is as long as the content.
TEST(patch, produces_the_new_content)
{
    findings problems;
    const std::string file = std::string(WAXWINGNOTCH_EXAMPLES) + "/tokachi/inventory.toml";
    inventory machines = parse_inventory(read_file(file).value(), file, problems);
    const std::string before = inventory_to_json(machines);
    machines.hosts.front().pool = "spare";
    const std::string after = inventory_to_json(machines);
    const std::string patch = make_patch(before, after);
    EXPECT_LT(patch.size(), 200U);
    EXPECT_EQ(patch_document(before, patch).value(), after);
    EXPECT_EQ(inventory_to_json(inventory_from_json(after).value()), after);
}

}  // namespace waxwingnotch
