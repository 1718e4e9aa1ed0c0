/// Tests of service_shards against an in-memory store.
#include "fakes/fake_store.hpp"

#include "waxwingnotch/shard/service_shards.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace waxwingnotch {
namespace {

/// The parts of a node that know the shards of services.
struct shards_of_node {
    explicit shards_of_node(event_loop& loop, log_store& store, int count = 8)
        : homes(store, count), shards(loop, homes, count)
    {
    }
    job_homes homes;
    service_shards shards;
};

class service_shards_test : public testing::Test {
protected:
    /// Waits until the node knows the shards of all @p services.
    void ensure(shards_of_node& node, const std::vector<std::string>& services)
    {
        bool known = false;
        node.shards.ensure(services, [&] {
            known = true;
            loop.defer([this] { loop.stop(); });
        });
        loop.run();
        ASSERT_TRUE(known);
    }

    event_loop loop;
    fake_store store{loop};
};

// A service that was added before the others moved their shards, on each node when it read the version.
TEST_F(service_shards_test, a_service_that_is_added_or_removed_moves_no_other)
{
    shards_of_node first(loop, store);
    ensure(first, {"b", "c", "d"});
    ensure(first, {"a", "b", "c", "d"});
    ensure(first, {"c", "d"});
    shards_of_node restarted(loop, store);
    ensure(restarted, {"b", "d", "e"});
    const std::map<std::string, int> expected{{"a", 3}, {"b", 0}, {"c", 1}, {"d", 2}, {"e", 4}};
    EXPECT_EQ(restarted.homes.services(), expected);
    for (const std::string service : {"b", "d", "e"}) {
        EXPECT_EQ(restarted.shards.find(service), expected.at(service));
    }
    EXPECT_EQ(first.shards.find("c"), 1);
    EXPECT_EQ(first.shards.find("unknown"), service_shards::no_shard);
}

// A node that started after a service was removed left its workers and jobs without an owner.
TEST_F(service_shards_test, a_removed_service_is_known_to_a_node_that_starts_later)
{
    shards_of_node first(loop, store);
    ensure(first, {"a", "b"});
    shards_of_node later(loop, store);
    ensure(later, {"b"});
    EXPECT_EQ(later.shards.find("a"), 0);
}

TEST_F(service_shards_test, a_refused_or_unanswered_claim_is_made_again)
{
    shards_of_node node(loop, store);
    store.refuse = true;
    store.lose_answers = 1;
    const timer later = loop.after(50, [&] {
        EXPECT_EQ(node.shards.find("a"), service_shards::no_shard);
        store.refuse = false;
    });
    ensure(node, {"a", "b"});
    EXPECT_EQ(node.shards.find("b"), 1);
    EXPECT_EQ((store.partitions[{homes_topic, 0}].records.size()), 2U);
}

// A list that is replaced while the store is away must not be reported as known.
TEST_F(service_shards_test, a_later_list_replaces_one_that_waits)
{
    shards_of_node node(loop, store);
    store.refuse = true;
    node.shards.ensure({"a"}, [] { FAIL(); });
    const timer later = loop.after(50, [&] { store.refuse = false; });
    ensure(node, {"b"});
    EXPECT_EQ(node.shards.find("b"), 0);
}

// Two nodes that chose before they read each other's claims put two services into one shard beside free ones.
TEST_F(service_shards_test, claims_at_once_share_no_shard_while_others_are_free)
{
    shards_of_node first(loop, store);
    shards_of_node second(loop, store);
    int open = 2;
    const auto known = [&] {
        if (--open == 0) {
            loop.stop();
        }
    };
    first.shards.ensure({"b", "c", "d"}, known);
    second.shards.ensure({"a", "b", "c", "d", "e"}, known);
    loop.run();
    shards_of_node reader(loop, store);
    ensure(reader, {"a", "b", "c", "d", "e"});
    std::set<int> shards;
    for (const auto& [service, shard] : reader.homes.services()) {
        shards.insert(shard);
    }
    EXPECT_EQ(shards.size(), 5U);
}

// The jobs that an earlier version has stored lie in the homes of their paths.
TEST_F(service_shards_test, a_service_gets_the_shard_where_its_jobs_are)
{
    job_homes earlier(store);
    earlier.claim(job_homes::key_of("h", "/q/"), {"b", 5}, [this](store_status) { loop.stop(); });
    loop.run();
    shards_of_node node(loop, store);
    ensure(node, {"a", "b"});
    EXPECT_EQ(node.shards.find("b"), 5);
    EXPECT_EQ(node.shards.find("a"), 0);
}

// The jobs of a shard that nobody owns would wait for good, without a word.
TEST_F(service_shards_test, a_stored_shard_beyond_their_number_is_not_used)
{
    shards_of_node many(loop, store, 8);
    ensure(many, {"a", "b"});
    shards_of_node few(loop, store, 1);
    ensure(few, {"a", "b"});
    EXPECT_EQ(few.shards.find("a"), 0);
    EXPECT_EQ(few.shards.find("b"), service_shards::no_shard);
}

TEST_F(service_shards_test, the_store_may_forget_its_history)
{
    shards_of_node node(loop, store);
    shards_of_node other(loop, store);
    ensure(node, {"a"});
    ensure(other, {"b"});
    store.drop_history(homes_topic, 0);
    ensure(node, {"b", "c"});
    EXPECT_EQ(node.shards.find("b"), 1);
    EXPECT_EQ(node.shards.find("c"), 2);
}

TEST_F(service_shards_test, known_services_cost_no_call)
{
    shards_of_node node(loop, store);
    ensure(node, {"a", "b"});
    store.refuse = true;
    bool known = false;
    node.shards.ensure({"b", "a"}, [&] { known = true; });
    EXPECT_TRUE(known);
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
        nodes.push_back(std::make_unique<shards_of_node>(loop, store, count));
    }
    std::map<std::string, int> used;  // by the first node that could use it
    int rounds = *rc::gen::inRange(1, 8);
    for (; rounds > 0; --rounds) {
        // The nodes ask at once; each answer of the store may be lost.
        store.lose_answers = *rc::gen::inRange(0, 3) == 0 ? 1 : 0;
        std::size_t open = nodes.size();
        for (const auto& node : nodes) {
            const auto names = *rc::gen::container<std::vector<std::string>>(
                rc::gen::container<std::string>(rc::gen::inRange('a', 'd')));
            node->shards.ensure(names, [&, names] {
                for (const std::string& name : names) {
                    const int shard = node->shards.find(name);
                    RC_ASSERT(shard >= 0 && shard < count);
                    RC_ASSERT(used.try_emplace(name, shard).first->second == shard);
                }
                if (--open == 0) {
                    loop.stop();
                }
            });
        }
        while (open > 0) {
            loop.run();
        }
    }
}

}  // namespace
}  // namespace waxwingnotch
