/// Tests of job_homes against an in-memory store.
#include "fakes/fake_store.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/shard/job_homes.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwingnotch {
namespace {

constexpr std::int64_t test_timeout_ms = 20'000;

class job_homes_test : public testing::Test {
protected:
    void run()
    {
        timeout_ = loop.after(test_timeout_ms, [this] {
            ADD_FAILURE() << "the test timed out";
            loop.stop();
        });
        loop.run();
        timeout_.cancel();
    }
    store_status claim(job_homes& homes, const std::string& key, const job_home& home)
    {
        store_status outcome = store_status::unknown;
        homes.claim(key, home, [&](store_status status) {
            outcome = status;
            loop.defer([this] { loop.stop(); });
        });
        run();
        return outcome;
    }
    store_status look_up(job_homes& homes, const std::string& key)
    {
        store_status outcome = store_status::unknown;
        homes.look_up(key, monotonic_ms(), [&](store_status status) {
            outcome = status;
            loop.defer([this] { loop.stop(); });
        });
        run();
        return outcome;
    }

    event_loop loop;
    fake_store store{loop};
    const std::string key = job_homes::key_of("h", "/q/");

private:
    timer timeout_;
};

TEST_F(job_homes_test, the_first_claim_of_a_path_is_its_home)
{
    job_homes first(store);
    job_homes second(store);
    EXPECT_EQ(claim(first, key, {"a", 1}), store_status::ok);
    EXPECT_EQ(claim(second, key, {"b", 2}), store_status::ok);
    EXPECT_EQ(*second.find(key), (job_home{"a", 1}));
    job_homes restarted(store);
    EXPECT_EQ(look_up(restarted, key), store_status::ok);
    EXPECT_EQ(*restarted.find(key), (job_home{"a", 1}));
}

// Two nodes with different configurations that claim a path at once stored two homes, and each used its own.
TEST_F(job_homes_test, claims_at_once_lead_to_one_home)
{
    job_homes first(store);
    job_homes second(store);
    int answers = 0;
    const auto answered = [&](store_status status) {
        EXPECT_EQ(status, store_status::ok);
        if (++answers == 3) {
            loop.stop();
        }
    };
    first.claim(key, {"a", 1}, answered);
    second.claim(key, {"b", 2}, answered);
    second.claim(job_homes::key_of("h", "/r/"), {"b", 2}, answered);
    run();
    ASSERT_NE(first.find(key), nullptr);
    EXPECT_EQ(*first.find(key), *second.find(key));
    EXPECT_EQ((store.partitions[{homes_topic, 0}].records.size()), 2U);
}

TEST_F(job_homes_test, a_claim_whose_answer_was_lost_is_read_back)
{
    job_homes homes(store);
    store.lose_answers = 1;
    EXPECT_EQ(claim(homes, key, {"a", 1}), store_status::unknown);
    EXPECT_EQ(homes.find(key), nullptr);
    EXPECT_EQ(claim(homes, key, {"b", 2}), store_status::ok);
    EXPECT_EQ(*homes.find(key), (job_home{"a", 1}));
}

TEST_F(job_homes_test, reports_a_store_that_refuses)
{
    job_homes homes(store);
    store.refuse = true;
    EXPECT_EQ(claim(homes, key, {"a", 1}), store_status::refused);
    EXPECT_EQ(look_up(homes, key), store_status::refused);
    store.refuse = false;
    EXPECT_EQ(claim(homes, key, {"a", 1}), store_status::ok);
}

TEST_F(job_homes_test, a_known_home_costs_no_call)
{
    job_homes homes(store);
    EXPECT_EQ(claim(homes, key, {"a", 1}), store_status::ok);
    const int appends = store.appends;
    store.refuse = true;
    bool answered = false;
    homes.claim(key, {"b", 2}, [&](store_status status) { answered = status == store_status::ok; });
    EXPECT_TRUE(answered);
    EXPECT_EQ(store.appends, appends);
}

// A node that had read shortly before that a path has no home answered 410 for a job that another node
// accepted meanwhile.
TEST_F(job_homes_test, an_absence_that_was_read_earlier_is_read_again)
{
    job_homes asked(store);
    job_homes accepting(store);
    EXPECT_EQ(look_up(asked, key), store_status::ok);
    EXPECT_EQ(claim(accepting, key, {"a", 1}), store_status::ok);
    EXPECT_EQ(look_up(asked, key), store_status::ok);
    ASSERT_NE(asked.find(key), nullptr);
    EXPECT_EQ(*asked.find(key), (job_home{"a", 1}));
}

TEST_F(job_homes_test, reads_all_pages_and_survives_a_store_that_forgets_its_history)
{
    store.page_size = 2;
    job_homes writer(store);
    for (int number = 0; number < 7; ++number) {
        EXPECT_EQ(claim(writer, job_homes::key_of("h", std::to_string(number)), {"a", number}),
                  store_status::ok);
    }
    job_homes reader(store);
    EXPECT_EQ(look_up(reader, key), store_status::ok);
    EXPECT_EQ(claim(writer, key, {"late", 3}), store_status::ok);
    store.drop_history(homes_topic, 0);
    EXPECT_EQ(claim(reader, key, {"other", 4}), store_status::ok);
    EXPECT_EQ(*reader.find(key), (job_home{"late", 3}));
    for (int number = 0; number < 7; ++number) {
        EXPECT_EQ(reader.find(job_homes::key_of("h", std::to_string(number)))->shard, number);
    }
}

RC_GTEST_PROP(job_homes, every_node_has_the_same_home_for_a_path, ())
{
    event_loop loop;
    fake_store store(loop);
    std::vector<std::unique_ptr<job_homes>> nodes;
    const auto node_count = *rc::gen::inRange<std::size_t>(2, 5);
    while (nodes.size() < node_count) {
        nodes.push_back(std::make_unique<job_homes>(store));
    }
    std::map<std::string, job_home> used;  // by the first node that could use it
    const auto claims = *rc::gen::inRange(1, 30);
    int open = 0;
    for (int number = 0; number < claims; ++number) {
        const std::string key = job_homes::key_of("h", std::to_string(*rc::gen::inRange(0, 3)));
        job_homes& node = *nodes[*rc::gen::inRange<std::size_t>(0, nodes.size())];
        store.lose_answers = *rc::gen::inRange(0, 3) == 0 ? 1 : 0;
        ++open;
        node.claim(key, {"s", number}, [&, key](store_status status) {
            --open;
            const job_home* home = node.find(key);
            RC_ASSERT((status == store_status::ok) == (home != nullptr));
            if (home != nullptr) {
                RC_ASSERT(used.try_emplace(key, *home).first->second == *home);
            }
            if (open == 0) {
                loop.stop();
            }
        });
        // A claim that was answered at once may have stopped the loop before it runs.
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
