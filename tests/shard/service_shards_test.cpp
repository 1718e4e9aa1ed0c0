/// Tests of service_shards against an in-memory store.
#include "fakes/fake_store.hpp"

#include "waxwingnotch/shard/service_shards.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwingnotch {
namespace {

/// The parts of a node that know the shards of services.
struct shards_of_node {
    explicit shards_of_node(log_store& store, int count = 8) : homes(store), shards(homes, count) {}
    job_homes homes;
    service_shards shards;
};

store_status ensure(event_loop& loop, shards_of_node& node, const std::vector<std::string>& services)
{
    std::optional<store_status> outcome;
    node.shards.ensure(services, [&](store_status status) {
        outcome = status;
        loop.defer([&] { loop.stop(); });
    });
    loop.run();
    return outcome.value_or(store_status::unknown);
}

class service_shards_test : public testing::Test {
protected:
    event_loop loop;
    fake_store store{loop};
};

// A service that was added before the others moved their shards, on each node when it read the version.
TEST_F(service_shards_test, a_service_that_is_added_or_removed_moves_no_other)
{
    shards_of_node first(store);
    EXPECT_EQ(ensure(loop, first, {"b", "c", "d"}), store_status::ok);
    EXPECT_EQ(ensure(loop, first, {"a", "b", "c", "d"}), store_status::ok);
    EXPECT_EQ(ensure(loop, first, {"c", "d"}), store_status::ok);
    shards_of_node restarted(store);
    EXPECT_EQ(ensure(loop, restarted, {"b", "d", "e"}), store_status::ok);
    const std::map<std::string, int> expected{{"a", 3}, {"b", 0}, {"c", 1}, {"d", 2}, {"e", 4}};
    EXPECT_EQ(restarted.homes.services(), expected);
    for (const std::string service : {"b", "d", "e"}) {
        EXPECT_EQ(restarted.shards.find(service), expected.at(service));
    }
    EXPECT_EQ(first.shards.find("c"), 1);
    EXPECT_EQ(first.shards.find("unknown"), service_shards::no_shard);
}

TEST_F(service_shards_test, a_refused_or_unanswered_claim_is_made_again)
{
    shards_of_node node(store);
    store.refuse = true;
    EXPECT_EQ(ensure(loop, node, {"a", "b"}), store_status::refused);
    EXPECT_EQ(node.shards.find("a"), service_shards::no_shard);
    store.refuse = false;
    store.lose_answers = 1;
    EXPECT_EQ(ensure(loop, node, {"a", "b"}), store_status::unknown);
    EXPECT_EQ(ensure(loop, node, {"a", "b"}), store_status::ok);
    EXPECT_EQ(node.shards.find("b"), 1);
    EXPECT_EQ((store.partitions[{homes_topic, 0}].records.size()), 2U);
}

TEST_F(service_shards_test, known_services_cost_no_call)
{
    shards_of_node node(store);
    EXPECT_EQ(ensure(loop, node, {"a", "b"}), store_status::ok);
    store.refuse = true;
    bool answered = false;
    node.shards.ensure({"b", "a"}, [&](store_status status) { answered = status == store_status::ok; });
    EXPECT_TRUE(answered);
}

// Nodes that read different versions at once must not choose two shards for one service.
RC_GTEST_PROP(service_shards, every_node_has_the_same_shard_for_a_service, ())
{
    event_loop loop;
    fake_store store(loop);
    const int count = *rc::gen::inRange(1, 6);
    std::vector<std::unique_ptr<shards_of_node>> nodes;
    const auto node_count = *rc::gen::inRange<std::size_t>(2, 5);
    while (nodes.size() < node_count) {
        nodes.push_back(std::make_unique<shards_of_node>(store, count));
    }
    std::map<std::string, int> used;  // by the first node that could use it
    int open = 0;
    for (int version = *rc::gen::inRange(1, 20); version > 0; --version) {
        const auto names = *rc::gen::container<std::vector<std::string>>(
            rc::gen::container<std::string>(rc::gen::inRange('a', 'd')));
        shards_of_node& node = *nodes[*rc::gen::inRange<std::size_t>(0, nodes.size())];
        store.lose_answers = *rc::gen::inRange(0, 3) == 0 ? 1 : 0;
        ++open;
        node.shards.ensure(names, [&, names](store_status status) {
            --open;
            for (const std::string& name : names) {
                const int shard = node.shards.find(name);
                RC_ASSERT(status != store_status::ok || shard != service_shards::no_shard);
                if (shard != service_shards::no_shard) {
                    RC_ASSERT(shard < count);
                    RC_ASSERT(used.try_emplace(name, shard).first->second == shard);
                }
            }
            if (open == 0) {
                loop.stop();
            }
        });
        const bool wait = *rc::gen::arbitrary<bool>();
        while (wait && open > 0) {
            loop.run();
        }
    }
    while (open > 0) {
        loop.run();
    }
}

}  // namespace
}  // namespace waxwingnotch
