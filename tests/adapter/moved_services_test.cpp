/// Tests of the clients of the policy and host services while the address of the service changes.
#include "worker_client.hpp"

#include "waxwingnotch/net/http_server.hpp"
#include "waxwingnotch/shard/advice_queue.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace waxwingnotch::adapter {
namespace {

constexpr std::int64_t test_limit_ms = 20'000;
constexpr std::int64_t question_ms = 30'000;  // longer than a test may take

/// A service that notes the calls to it and answers each at once, or none.
struct service {
    explicit service(event_loop& loop) : server(loop)
    {
        server.handle([this](const http_exchange_ptr& exchange) {
            calls.push_back(exchange->path());
            tokens.push_back(exchange->header("Fencing-Token").value_or(""));
            if (!silent) {
                exchange->reply(200, {}, body);
                return;
            }
            held.push_back(exchange);
        });
        address = "127.0.0.1:" + std::to_string(server.listen("127.0.0.1", 0).value());
    }
    http_server server;
    std::string address;
    std::string body = "{}";
    bool silent = false;
    std::vector<std::string> calls;
    std::vector<std::string> tokens;
    std::vector<http_exchange_ptr> held;
};

class moved_services : public testing::Test {
protected:
    /// Runs the loop until the condition holds.
    bool wait_for(const std::function<bool()>& condition)
    {
        constexpr std::int64_t check_ms = 5;
        bool held = false;
        const timer check = loop.every(check_ms, [&] {
            held = condition();
            if (held) {
                loop.stop();
            }
        });
        const timer limit = loop.after(test_limit_ms, [this] { loop.stop(); });
        loop.run();
        return held;
    }
    event_loop loop;
    http_client client{loop};
    service before{loop};
    service after{loop};
};

// Jobs of queues with `advice` never started after the policy service had moved.
TEST_F(moved_services, questions_go_to_the_new_address)
{
    advice_client policy(client, before.address);
    after.body = R"({"allowedWorkers":[["w","t"]],"validityMs":7})";
    policy.set_address(after.address);
    advice_answer got;
    policy.ask({.step = "a.0.0", .workers = {"w"}, .timeout_ms = question_ms},
               [&](const advice_answer& answer) { got = answer; });
    EXPECT_TRUE(wait_for([&] { return got.ok; }));
    EXPECT_EQ(before.calls.size(), 0U);
}

// The queue has three places. A service that had gone silent before it moved held them for up to a minute.
TEST_F(moved_services, questions_to_the_old_address_leave_their_places)
{
    advice_client policy(client, before.address);
    advice_queue queue(policy);
    before.silent = true;
    after.body = R"({"allowedWorkers":[]})";
    std::vector<advice_answer> answers;
    const auto ask = [&] {
        queue.ask({.step = "a.0.0", .workers = {"w"}, .expected_ms = question_ms},
                  [&](const advice_answer& answer) { answers.push_back(answer); });
    };
    for (std::size_t i = 0; i <= advice_queue::max_open_calls; ++i) {
        ask();
    }
    ASSERT_TRUE(wait_for([&] { return before.calls.size() == advice_queue::max_open_calls; }));
    policy.set_address(after.address);
    ASSERT_TRUE(wait_for([&] { return answers.size() == advice_queue::max_open_calls + 1; }));
    for (std::size_t i = 0; i < advice_queue::max_open_calls; ++i) {
        EXPECT_FALSE(answers[i].ok);
        EXPECT_FALSE(answers[i].late);  // it says nothing about the time that the new service takes
    }
    EXPECT_TRUE(answers.back().ok);
    EXPECT_EQ(after.calls.size(), 1U);
}

TEST_F(moved_services, the_same_address_disturbs_nothing)
{
    advice_client policy(client, before.address);
    host_client hosts(client, before.address);
    before.silent = true;
    int answers = 0;
    policy.ask({.step = "a.0.0", .workers = {"w"}, .timeout_ms = question_ms},
               [&](const advice_answer& answer) { answers += answer.ok ? 1 : 0; });
    hosts.list([&](const host_listing& list) { answers += list.ok ? 1 : 0; });
    ASSERT_TRUE(wait_for([&] { return before.held.size() == 2; }));
    policy.set_address(before.address);
    hosts.set_address(before.address);
    for (const http_exchange_ptr& exchange : before.held) {
        exchange->reply(200, {}, R"({"allowedWorkers":[],"machines":[]})");
    }
    EXPECT_TRUE(wait_for([&] { return answers == 2; }));
}

TEST_F(moved_services, without_an_address_a_question_ends_without_a_usable_answer)
{
    advice_client policy(client, "");
    bool answered = false;
    policy.ask({.step = "a.0.0", .workers = {"w"}, .timeout_ms = question_ms},
               [&](const advice_answer& answer) { answered = !answer.ok; });
    EXPECT_TRUE(wait_for([&] { return answered; }));
}

// Pages of two services would make up a list that neither has given.
TEST_F(moved_services, a_list_of_the_old_address_fails)
{
    host_client hosts(client, before.address);
    before.silent = true;
    after.body = R"({"machines":[{"machine":"b","capacity":{}}]})";
    std::vector<host_listing> lists;
    const auto list = [&] {
        hosts.list([&](const host_listing& got) { lists.push_back(got); });
    };
    list();
    ASSERT_TRUE(wait_for([&] { return before.held.size() == 1; }));
    hosts.set_address(after.address);
    list();
    ASSERT_TRUE(wait_for([&] { return lists.size() == 2; }));
    EXPECT_FALSE(lists[0].ok);
    ASSERT_TRUE(lists[1].ok);
    EXPECT_EQ(lists[1].hosts.size(), 1U);
}

// Two orders for a host by two ways may arrive in the other order; the token is the same.
TEST_F(moved_services, orders_wait_until_those_to_the_old_address_have_ended)
{
    host_client hosts(client, before.address);
    const host_authority authority{.holder = "n1", .fencing_token = 42};
    before.silent = true;
    std::vector<host_result> results;
    const auto order = [&](const char* pool) {
        hosts.move(authority, "h1", pool, [&](host_result outcome) { results.push_back(outcome); });
    };
    order("a");
    ASSERT_TRUE(wait_for([&] { return before.held.size() == 1; }));
    hosts.set_address(after.address);
    order("b");
    ASSERT_TRUE(wait_for([&] { return results.size() == 1; }));
    EXPECT_EQ(results[0], host_result::refused);
    EXPECT_EQ(after.calls.size(), 0U);
    before.held[0]->reply(200, {}, "{}");
    ASSERT_TRUE(wait_for([&] { return results.size() == 2; }));
    EXPECT_EQ(results[1], host_result::ok);
    order("b");
    ASSERT_TRUE(wait_for([&] { return results.size() == 3; }));
    EXPECT_EQ(results[2], host_result::ok);
    EXPECT_EQ(after.tokens, std::vector<std::string>{"42"});
}

// An order without an answer must not keep the host duty from its work.
TEST_F(moved_services, an_order_without_an_answer_holds_the_next_ones_until_its_timeout)
{
    host_client hosts(client, before.address);
    before.silent = true;
    std::vector<host_result> results;
    const auto order = [&] {
        hosts.maintain({.holder = "n1", .fencing_token = 42}, "h1", 3,
                       [&](host_result outcome) { results.push_back(outcome); });
    };
    order();
    ASSERT_TRUE(wait_for([&] { return before.held.size() == 1; }));
    hosts.set_address(after.address);
    ASSERT_TRUE(wait_for([&] { return results.size() == 1; }));
    EXPECT_EQ(results[0], host_result::no_answer);
    order();
    ASSERT_TRUE(wait_for([&] { return results.size() == 2; }));
    EXPECT_EQ(results[1], host_result::ok);
}

}  // namespace
}  // namespace waxwingnotch::adapter
