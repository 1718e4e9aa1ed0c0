/// Which calls wait for a full link, and in which order they go.
#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/net/http_client.hpp"
#include "waxwingnotch/net/http_server.hpp"
#include "waxwingnotch/net/link_budget.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace waxwingnotch {
namespace {

constexpr std::int64_t narrow_kbps = 2'000;  // 250 bytes a millisecond

}  // namespace

TEST(link_budget, admits_all_calls_of_a_link_whose_rate_is_not_known)
{
    link_budget budget(0);
    budget.add(traffic_class::orders, {.sent = 1'000'000'000, .received = 1'000'000'000}, 1'000);
    EXPECT_FALSE(budget.limited());
    EXPECT_TRUE(budget.admits(traffic_class::hosts, 0, 1'000));
}

// In a turn of demand the orders of an owner fill the link; a join that waits behind them comes too late.
TEST(link_budget, ownership_does_not_wait_behind_a_load_peak)
{
    link_budget budget(narrow_kbps);
    budget.add(traffic_class::orders, {.sent = 200'000, .received = 0}, 1'000);  // 0.9 s of the link
    EXPECT_TRUE(budget.admits(traffic_class::ownership, 0, 1'000));
    EXPECT_FALSE(budget.admits(traffic_class::orders, 0, 1'000));
    EXPECT_FALSE(budget.admits(traffic_class::hosts, 10'000, 1'000));
    EXPECT_TRUE(budget.admits(traffic_class::orders, 0, 1'800));
    EXPECT_TRUE(budget.admits(traffic_class::hosts, 0, 2'000));
}

TEST(link_budget, expects_answers_as_long_as_earlier_ones_of_their_class)
{
    link_budget budget(narrow_kbps);
    for (int call = 0; call < 100; ++call) {
        budget.on_answer(traffic_class::polls, 0, 10'000, 1'000);
    }
    const std::size_t expected = budget.expect_answer(traffic_class::polls, 1'000);
    EXPECT_NEAR(static_cast<double>(expected), 10'000, 10);
    EXPECT_EQ(budget.expect_answer(traffic_class::orders, 1'000), 0U);
    const std::int64_t before_ms = budget.backlog_ms(1'000);
    budget.on_answer(traffic_class::polls, expected, 1'000, 1'000);
    EXPECT_LT(budget.backlog_ms(1'000), before_ms);
}

// An answer that has not come in time may still cross the link. If its bytes counted as free, the repeated
// call would add to a queue that is full already.
TEST(link_budget, an_answer_that_has_not_come_keeps_its_room)
{
    link_budget budget(narrow_kbps);
    for (int call = 0; call < 100; ++call) {
        budget.on_answer(traffic_class::polls, 0, 100'000, 1'000);
    }
    const std::size_t expected = budget.expect_answer(traffic_class::polls, 1'000);
    const std::int64_t before_ms = budget.backlog_ms(1'000);
    budget.on_answer(traffic_class::polls, expected, 0, 1'000);
    EXPECT_EQ(budget.backlog_ms(1'000), before_ms);
}

// A configuration of 290 KB takes 1.2 s of the link. Lists that waited for it left the leases of all workers
// to lapse while versions followed each other; orders that did not were answered too late and started again.
TEST(link_budget, lists_do_not_wait_for_an_answer_in_bulk_and_orders_do)
{
    link_budget budget(narrow_kbps);
    for (int call = 0; call < 100; ++call) {
        budget.on_answer(traffic_class::configuration, 0, 290'000, 1'000);
    }
    EXPECT_NEAR(static_cast<double>(budget.expect_answer(traffic_class::configuration, 1'000)), 290'000, 100);
    EXPECT_TRUE(budget.admits(traffic_class::polls, 0, 1'000));
    EXPECT_TRUE(budget.admits(traffic_class::journal, 0, 1'000));
    EXPECT_FALSE(budget.admits(traffic_class::orders, 0, 1'000));
    EXPECT_TRUE(budget.admits(traffic_class::orders, 0, 2'300));
    EXPECT_FALSE(budget.admits(traffic_class::hosts, 0, 1'000));
    EXPECT_FALSE(budget.admits(traffic_class::registrations, 0, 1'000));
    EXPECT_TRUE(budget.admits(traffic_class::registrations, 0, 2'300));
}

// What is admitted must stay below the rate of the link over any longer time, whatever is asked for; else
// the queue of the link grows until every answer is late.
RC_GTEST_PROP(link_budget, what_is_admitted_fits_the_link, ())
{
    link_budget budget(narrow_kbps);
    std::uint64_t sent = 0;
    constexpr std::int64_t length_ms = 10'000;
    const auto call_bytes = *rc::gen::inRange<std::uint64_t>(100, 20'000);
    for (std::int64_t now = 0; now < length_ms; now += 2) {
        const auto what = static_cast<traffic_class>(*rc::gen::inRange<std::size_t>(1, traffic_class_count));
        for (int call = 0; call < 5 && budget.admits(what, now, now); ++call) {
            budget.add(traffic_class::orders, {.sent = call_bytes, .received = 0}, now);
            sent += call_bytes;
        }
    }
    constexpr std::int64_t bytes_per_ms = 250;
    constexpr std::int64_t most_backlog_ms = 300;
    RC_ASSERT(sent <= static_cast<std::uint64_t>((length_ms + most_backlog_ms) * bytes_per_ms) + call_bytes);
}

namespace {

/// A client on a narrow link whose backlog is filled by hand.
struct narrow_client {
    event_loop loop;
    link_budget budget{narrow_kbps};
    http_server server{loop};
    http_client client{loop};
    std::string address;
    std::vector<std::string> order;  // paths as they arrived

    narrow_client()
    {
        client.share_link(budget);
        server.handle([this](const http_exchange_ptr& exchange) {
            order.push_back(exchange->path());
            exchange->reply(200, {}, "");
        });
        address = "127.0.0.1:" + std::to_string(server.listen("127.0.0.1", 0).value());
    }
    void fill(std::int64_t ms)
    {
        budget.add(traffic_class::orders, {.sent = static_cast<std::uint64_t>(ms * 225), .received = 0},
                   monotonic_ms());
    }
    call_id send(traffic_class what, const std::string& path, answer_handler done,
                 std::int64_t max_wait_ms = 0)
    {
        return client.send(
            {.method = "GET", .address = address, .path = path, .traffic = what, .max_wait_ms = max_wait_ms},
            std::move(done));
    }
};

}  // namespace

TEST(waiting_calls, go_by_urgency_and_not_by_arrival)
{
    narrow_client node;
    node.fill(400);
    int open = 3;
    const auto done = [&](const http_answer& answer) {
        EXPECT_EQ(answer.outcome, call_outcome::answered);
        if (--open == 0) {
            node.loop.stop();
        }
    };
    node.send(traffic_class::hosts, "/hosts", done);
    node.send(traffic_class::orders, "/order", done);
    node.send(traffic_class::ownership, "/join", done);
    EXPECT_EQ(node.client.waiting(), 2U);
    node.loop.run();
    EXPECT_EQ(node.order, (std::vector<std::string>{"/join", "/order", "/hosts"}));
    EXPECT_EQ(node.client.waiting(), 0U);
}

// An order that leaves later than its owner has allowed for could start a task on a worker that has begun to
// drain since.
TEST(waiting_calls, an_order_that_cannot_be_sent_in_time_is_not_sent_at_all)
{
    narrow_client node;
    node.fill(2'000);
    http_answer result;
    node.send(
        traffic_class::orders, "/order",
        [&](const http_answer& answer) {
            result = answer;
            node.loop.stop();
        },
        50);
    node.loop.run();
    EXPECT_EQ(result.outcome, call_outcome::not_sent);
    EXPECT_FALSE(result.bytes_sent);
    EXPECT_TRUE(node.order.empty());
}

TEST(waiting_calls, a_waiting_call_can_be_cancelled)
{
    narrow_client node;
    node.fill(2'000);
    http_answer result;
    const call_id id = node.send(traffic_class::polls, "/list", [&](const http_answer& answer) {
        result = answer;
        node.loop.stop();
    });
    EXPECT_TRUE(node.client.is_waiting(id));
    node.client.cancel(id);
    node.loop.run();
    EXPECT_EQ(result.outcome, call_outcome::cancelled);
    EXPECT_EQ(node.client.waiting(), 0U);
    EXPECT_TRUE(node.order.empty());
}

// 300 orders of one turn of the loop were all admitted, as none of their bytes had left yet: 2.3 s of the
// link.
TEST(waiting_calls, a_burst_of_one_turn_does_not_fill_the_link)
{
    narrow_client node;
    const std::string body(4'000, 'x');
    for (int call = 0; call < 300; ++call) {
        node.client.send({.method = "POST",
                          .address = node.address,
                          .path = "/order",
                          .body = body,
                          .traffic = traffic_class::orders,
                          .max_wait_ms = 150},
                         [](const http_answer&) {});
    }
    EXPECT_GT(node.client.waiting(), 250U);
    std::int64_t most_ms = 0;
    const timer look =
        node.loop.every(2, [&] { most_ms = std::max(most_ms, node.budget.backlog_ms(monotonic_ms())); });
    const timer stop = node.loop.after(300, [&] { node.loop.stop(); });
    node.loop.run();
    EXPECT_LE(most_ms, 300);
}

// A question whose caller had given up after 300 ms left 2.9 s later and took its room on the link.
TEST(waiting_calls, a_call_that_waits_longer_than_its_timeout_is_not_sent)
{
    narrow_client node;
    node.fill(3'000);
    http_answer result;
    node.client.send(
        {.method = "POST", .address = node.address, .timeout_ms = 300, .traffic = traffic_class::peers},
        [&](const http_answer& answer) {
            result = answer;
            node.loop.stop();
        });
    node.loop.run();
    EXPECT_EQ(result.outcome, call_outcome::not_sent);
    EXPECT_TRUE(node.order.empty());
}

// With orders always ready, registrations and lists of hosts were never read.
TEST(waiting_calls, a_class_is_not_held_up_for_ever_by_a_more_urgent_one)
{
    narrow_client node;
    const timer load = node.loop.every(2, [&] {
        while (node.budget.admits(traffic_class::journal, 0, monotonic_ms())) {
            node.budget.add(traffic_class::journal, {.sent = 500, .received = 0}, monotonic_ms());
        }
    });
    http_answer result;
    const timer send = node.loop.after(50, [&] {
        node.send(traffic_class::registrations, "/registrations", [&](const http_answer& answer) {
            result = answer;
            node.loop.stop();
        });
    });
    const timer stop = node.loop.after(5'000, [&] { node.loop.stop(); });
    node.loop.run();
    EXPECT_EQ(result.outcome, call_outcome::answered);
}

// A reader that was refused at once and tried again kept 193 ms of an idle link taken.
TEST(waiting_calls, what_a_refused_call_would_have_brought_does_not_count)
{
    narrow_client node;
    for (int call = 0; call < 100; ++call) {
        node.budget.on_answer(traffic_class::registrations, 0, 30'000, monotonic_ms());
    }
    node.client.send({.address = "127.0.0.1:1", .traffic = traffic_class::registrations},
                     [&](const http_answer& answer) {
                         EXPECT_EQ(answer.outcome, call_outcome::failed);
                         node.loop.stop();
                     });
    node.loop.run();
    EXPECT_LT(node.budget.full_backlog_ms(monotonic_ms()), 20);
}

// Lists, appends and jobs wait without a limit of time; on a link that stays full they took memory without
// end.
TEST(waiting_calls, are_bounded_in_number_and_bytes)
{
    narrow_client node;
    node.fill(60'000);
    int not_sent = 0;
    const auto done = [&](const http_answer& answer) {
        not_sent += answer.outcome == call_outcome::not_sent ? 1 : 0;
    };
    constexpr int calls = 20'000;
    for (int call = 0; call < calls; ++call) {
        node.send(traffic_class::polls, "/list", done);
    }
    constexpr std::size_t body_bytes = 1U << 20U;
    for (int call = 0; call < 100; ++call) {
        node.client.send({.method = "POST",
                          .address = node.address,
                          .body = std::string(body_bytes, 'x'),
                          .traffic = traffic_class::jobs},
                         done);
    }
    EXPECT_LT(node.client.waiting(), 5'000U);
    const timer stop = node.loop.after(100, [&] { node.loop.stop(); });
    node.loop.run();
    EXPECT_GT(not_sent, calls - 5'000 + 80);
    // A class that is full must not keep out the calls of another one, nor a call without others of its
    // class.
    const std::size_t before = node.client.waiting();
    node.client.send({.method = "POST",
                      .address = node.address,
                      .body = std::string(8 * body_bytes, 'x'),
                      .traffic = traffic_class::journal},
                     done);
    EXPECT_EQ(node.client.waiting(), before + 1);
}

}  // namespace waxwingnotch
