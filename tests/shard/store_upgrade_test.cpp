/// Tests of store_upgrade against an in-memory store that an earlier version has written to.
#include "fakes/fake_store.hpp"

#include "waxwingnotch/shard/shard_owner.hpp"
#include "waxwingnotch/shard/store_upgrade.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace waxwingnotch {
namespace {

constexpr int shard_count = 8;
constexpr std::int64_t test_timeout_ms = 20'000;

/// The parts of a node that find out what is stored.
struct upgrading_node {
    upgrading_node(event_loop& loop, log_store& store)
        : homes(store, shard_count), services(loop, homes, shard_count),
          upgrade(loop, store, homes, services, shard_count)
    {
    }
    job_homes homes;
    service_shards services;
    store_upgrade upgrade;
};

std::shared_ptr<const cluster_config> config_of(std::vector<queue_config> queues)
{
    auto config = std::make_shared<cluster_config>();
    config->version = 1;
    config->queues = std::move(queues);
    config->services = {{"a"}, {"b"}};
    return config;
}

queue_config queue(const std::string& name, const std::string& service)
{
    return {.name = name, .host = "h", .path_prefix = "/q/", .service = service};
}

class store_upgrade_test : public testing::Test {
protected:
    /// @return the format that the node refuses, or nothing once all homes are known
    std::optional<int> run(upgrading_node& node, std::shared_ptr<const cluster_config> config)
    {
        std::optional<int> refused;
        node.upgrade.run(std::move(config), {.done = [this] { loop.defer([this] { loop.stop(); }); },
                                             .unsupported =
                                                 [&](int format) {
                                                     refused = format;
                                                     loop.stop();
                                                 }});
        wait();
        return refused;
    }
    void wait()
    {
        const timer limit = loop.after(test_timeout_ms, [this] {
            ADD_FAILURE() << "the test timed out";
            loop.stop();
        });
        loop.run();
    }
    /// Stores a job as a version did that knew no homes.
    void store_job(int shard, const std::string& id, const std::string& queue_name,
                   const std::string& service)
    {
        job_spec job{.id = id, .queue = queue_name, .service = service};
        job.steps.emplace_back();
        store.partitions[{jobs_topic, shard}].records.push_back({.key = id, .value = encode_job(job)});
    }

    event_loop loop;
    fake_store store{loop};
    const std::string path = job_homes::key_of("h", "/q/");
    const std::string first = "f000000000000001";
    const std::string second = "f000000000000002";
};

// review/3 after an upgrade from 9d714c0: the first request after a move of the route claimed the path for
// the new service, so jobs at work were answered 410 and started again.
TEST_F(store_upgrade_test, a_path_with_stored_jobs_gets_its_home_before_its_route_moves)
{
    store_job(3, first, "r-1", "a");
    upgrading_node node(loop, store);
    EXPECT_FALSE(node.upgrade.complete());
    run(node, config_of({queue("r-1", "a")}));
    EXPECT_TRUE(node.upgrade.complete());
    EXPECT_EQ(*node.homes.find(path), (job_home{"a", 3}));
    EXPECT_EQ(node.services.find("a"), 3);
    EXPECT_EQ(node.homes.find(job_homes::job_key(first)), nullptr);
    upgrading_node later(loop, store);
    run(later, config_of({queue("r-2", "b")}));
    EXPECT_EQ(*later.homes.find(path), (job_home{"a", 3}));
}

// The same with a route that had moved before the upgrade.
TEST_F(store_upgrade_test, jobs_of_a_route_that_is_gone_are_found_by_their_ids)
{
    store_job(0, first, "r-1", "a");
    upgrading_node node(loop, store);
    run(node, config_of({queue("r-2", "b")}));
    EXPECT_EQ(*node.homes.find(job_homes::job_key(first)), (job_home{"a", 0}));
    EXPECT_EQ(node.homes.find(path)->service, "b");
}

TEST_F(store_upgrade_test, tells_which_jobs_are_to_be_handed_over)
{
    store_job(0, first, "r-1", "a");
    store_job(0, "f000000000000003", "r-1", "a");
    store_job(1, second, "r-1", "a");
    upgrading_node node(loop, store);
    run(node, config_of({queue("r-1", "a")}));
    EXPECT_EQ(node.services.find("a"), 0);
    EXPECT_EQ(node.upgrade.jobs_to_hand_over(0), (std::set<std::string>{second}));
    EXPECT_EQ(node.upgrade.jobs_to_hand_over(1), std::set<std::string>());
}

// All nodes start at once; they read and claim the same things.
TEST_F(store_upgrade_test, nodes_that_upgrade_at_once_agree)
{
    store.page_size = 1;
    store_job(0, first, "r-1", "a");
    store_job(1, second, "r-1", "a");
    upgrading_node one(loop, store);
    upgrading_node two(loop, store);
    int open = 2;
    const auto done = [&] {
        if (--open == 0) {
            loop.stop();
        }
    };
    one.upgrade.run(config_of({queue("r-1", "a")}), {.done = done, .unsupported = nullptr});
    two.upgrade.run(config_of({queue("r-2", "b")}), {.done = done, .unsupported = nullptr});
    wait();
    for (const std::string& key : {path, job_homes::job_key(first), job_homes::job_key(second)}) {
        ASSERT_EQ(one.homes.find(key) == nullptr, two.homes.find(key) == nullptr) << key;
        EXPECT_TRUE(one.homes.find(key) == nullptr || *one.homes.find(key) == *two.homes.find(key)) << key;
    }
    EXPECT_EQ(one.homes.services(), two.homes.services());
}

TEST_F(store_upgrade_test, refused_and_unanswered_calls_are_repeated)
{
    store_job(0, first, "r-1", "a");
    store.refuse = true;
    store.lose_answers = 2;
    upgrading_node node(loop, store);
    const timer later = loop.after(50, [&] { store.refuse = false; });
    run(node, config_of({queue("r-2", "b")}));
    EXPECT_EQ(*node.homes.find(job_homes::job_key(first)), (job_home{"a", 0}));
}

// The jobs are read once for each store, not at each start of a node.
TEST_F(store_upgrade_test, an_empty_store_gets_its_format_and_no_homes)
{
    upgrading_node node(loop, store);
    run(node, config_of({queue("r-1", "a")}));
    EXPECT_EQ(node.homes.find(path), nullptr);
    EXPECT_EQ(node.homes.find(job_homes::format_key())->shard, store_format);
    store_job(0, first, "gone", "a");
    upgrading_node restarted(loop, store);
    run(restarted, config_of({queue("r-1", "a")}));
    EXPECT_EQ(restarted.homes.find(job_homes::job_key(first)), nullptr);
}

// A node of the earlier version goes on accepting while the others are replaced.
TEST_F(store_upgrade_test, a_job_that_an_earlier_version_accepts_later_gets_a_home)
{
    upgrading_node node(loop, store);
    run(node, config_of({queue("r-1", "a")}));
    node.upgrade.add_late({.id = first, .queue = "gone", .service = "b", .shard = 5});
    upgrading_node other(loop, store);
    const timer check = loop.every(5, [&] {
        if (node.homes.find(job_homes::job_key(first)) != nullptr) {
            loop.stop();
        }
    });
    wait();
    run(other, config_of({queue("r-1", "a")}));
    EXPECT_EQ(*other.homes.find(job_homes::job_key(first)), (job_home{"b", 5}));
}

// A return to an earlier version read what it did not know as if it were not there.
TEST_F(store_upgrade_test, a_store_of_a_later_version_is_refused)
{
    upgrading_node newer(loop, store);
    newer.homes.claim(job_homes::format_key(), {"", store_format + 1},
                      [this](store_status) { loop.defer([this] { loop.stop(); }); });
    wait();
    upgrading_node node(loop, store);
    EXPECT_EQ(run(node, config_of({queue("r-1", "a")})), store_format + 1);
    EXPECT_FALSE(node.upgrade.complete());
}

}  // namespace
}  // namespace waxwingnotch
