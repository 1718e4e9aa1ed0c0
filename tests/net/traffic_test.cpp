#include "waxwingnotch/net/http_client.hpp"
#include "waxwingnotch/net/http_server.hpp"
#include "waxwingnotch/net/traffic.hpp"

#include <gtest/gtest.h>

namespace waxwingnotch {

namespace {

struct served_calls {
    event_loop loop;
    traffic_meter meter;
    http_server server{loop};
    http_client client{loop};
    std::string address;

    served_calls()
    {
        server.count_traffic(meter, traffic_class::peers);
        client.count_traffic(meter);
        server.handle(
            [](const http_exchange_ptr& exchange) { exchange->reply(200, {}, std::string(50'000, 'x')); });
        address = "127.0.0.1:" + std::to_string(server.listen("127.0.0.1", 0).value());
    }
    void call(traffic_class what, std::size_t bytes)
    {
        http_call out{.method = "POST", .address = address, .reuse_connection = true, .traffic = what};
        out.body = std::string(bytes, 'y');
        client.send(out, [this](const http_answer&) { loop.stop(); });
        loop.run();
    }
};

}  // namespace

// Without the bytes by purpose, nothing in a record of a full link tells what has filled it.
TEST(traffic, bytes_count_by_purpose_also_on_a_connection_that_is_used_again)
{
    served_calls calls;
    calls.call(traffic_class::polls, 10);
    const traffic_bytes polls = calls.meter.bytes(traffic_class::polls);
    EXPECT_GT(polls.received, 50'000U);
    EXPECT_LT(polls.received, 51'000U);
    EXPECT_LT(polls.sent, 1'000U);
    calls.call(traffic_class::orders, 20'000);
    EXPECT_EQ(calls.meter.bytes(traffic_class::polls).received, polls.received);
    EXPECT_GT(calls.meter.bytes(traffic_class::orders).sent, 20'000U);
    // The server of the same process has sent and received what its client has received and sent.
    EXPECT_EQ(calls.meter.total().sent, calls.meter.total().received);
    EXPECT_GT(calls.meter.bytes(traffic_class::peers).sent, 100'000U);
}

TEST(link_usage, tells_the_share_of_the_fuller_direction)
{
    link_usage usage(2'000);  // 250,000 bytes a second
    usage.update({.sent = 1'000, .received = 5'000}, 10'000);
    EXPECT_EQ(usage.percent(), 0);
    usage.update({.sent = 26'000, .received = 130'000}, 11'000);
    EXPECT_EQ(usage.percent(), 50);
    usage.update({.sent = 26'000, .received = 130'000}, 11'500);  // too soon for another reading
    EXPECT_EQ(usage.percent(), 50);
    usage.update({.sent = 526'000, .received = 130'000}, 13'000);
    EXPECT_EQ(usage.percent(), 100);
}

TEST(link_usage, is_unknown_without_the_rate_of_the_link)
{
    link_usage usage(0);
    usage.update({.sent = 0, .received = 0}, 1'000);
    usage.update({.sent = 1'000'000, .received = 1'000'000}, 2'000);
    EXPECT_EQ(usage.percent(), 0);
}

}  // namespace waxwingnotch
