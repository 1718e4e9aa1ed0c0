/// Calls to the store while this host's link has more to carry than a call usually takes: a copy would cross
/// the same link and come later still.
#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/net/http_client.hpp"
#include "waxwingnotch/net/http_server.hpp"
#include "waxwingnotch/store/transport.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace waxwingnotch {
namespace {

constexpr std::int64_t narrow_kbps = 2'000;
constexpr std::int64_t usable_bytes_per_ms = 225;

/// Answers each call after a time.
class late_server {
public:
    late_server(event_loop& loop, std::int64_t answer_ms) : loop_(loop), server_(loop)
    {
        server_.handle([this, answer_ms](const http_exchange_ptr& exchange) {
            ++calls_;
            timers_.push_back(loop_.after(answer_ms, [exchange] { exchange->reply(200, {}, "body"); }));
        });
        address_ = "127.0.0.1:" + std::to_string(server_.listen("127.0.0.1", 0).value());
    }
    const std::string& address() const { return address_; }
    int calls() const { return calls_; }

private:
    event_loop& loop_;
    http_server server_;
    std::string address_;
    std::vector<timer> timers_;
    int calls_ = 0;
};

constexpr std::int64_t never_ms = 60'000;

class full_link : public testing::Test {
protected:
    full_link() { client_.share_link(budget_); }

    /// Adds load that the link carries in @p ms.
    void fill(std::int64_t ms)
    {
        budget_.add(traffic_class::orders,
                    {.sent = static_cast<std::uint64_t>(ms * usable_bytes_per_ms), .received = 0},
                    monotonic_ms());
    }
    /// Sends a call, with @p load_ms of load at the same time, and runs the loop until it ends.
    http_answer send(const store_call& call, std::int64_t load_ms)
    {
        http_answer result;
        transport_.send(call, [&](const http_answer& answer) {
            result = answer;
            loop_.stop();
        });
        fill(load_ms);
        const timer guard = loop_.after(20'000, [&] { loop_.stop(); });
        loop_.run();
        return result;
    }

    event_loop loop_;
    link_budget budget_{narrow_kbps};
    http_client client_{loop_};
    store_transport transport_{client_};
};

store_call read_call()
{
    return {.method = "GET", .path = "/r", .timeout_ms = 600, .traffic = traffic_class::registrations};
}

}  // namespace

// Each copy asked for the whole answer again, and the read was given up while the first one was on its way.
TEST_F(full_link, a_read_whose_first_byte_is_late_is_sent_once)
{
    late_server store(loop_, 900);
    late_server peer(loop_, never_ms);
    transport_.set_address(store.address());
    transport_.set_peers({peer.address()});
    EXPECT_EQ(send(read_call(), 1'200).outcome, call_outcome::answered);
    EXPECT_EQ(store.calls(), 1);
    EXPECT_EQ(peer.calls(), 0);
    EXPECT_TRUE(transport_.direct_path_usable());
}

// The records of an append crossed the link up to three times.
TEST_F(full_link, an_append_that_is_on_its_way_is_sent_once)
{
    late_server store(loop_, 400);
    late_server peer_a(loop_, never_ms);
    late_server peer_b(loop_, never_ms);
    transport_.set_address(store.address());
    transport_.set_peers({peer_a.address(), peer_b.address()});
    const store_call append{.method = "POST",
                            .path = "/append",
                            .body = std::string(20'000, 'x'),
                            .timeout_ms = 600,
                            .traffic = traffic_class::journal};
    EXPECT_EQ(send(append, 500).outcome, call_outcome::answered);
    EXPECT_EQ(store.calls(), 1);
    EXPECT_EQ(peer_a.calls() + peer_b.calls(), 0);
    EXPECT_TRUE(transport_.direct_path_usable());
}

// A host whose link stays in use must still notice that the store is silent for it.
TEST_F(full_link, a_silent_store_is_noticed)
{
    late_server store(loop_, never_ms);
    late_server peer(loop_, 1);
    transport_.set_address(store.address());
    transport_.set_peers({peer.address()});
    const timer load = loop_.every(5, [this] {
        if (budget_.backlog_ms(monotonic_ms()) < 40) {
            fill(20);
        }
    });
    EXPECT_EQ(send(read_call(), 0).outcome, call_outcome::answered);
    EXPECT_GE(peer.calls(), 1);
}

// An owner loses its shards 1.5 s after its latest join; a copy of a join is small.
TEST_F(full_link, a_join_is_sent_over_a_peer_in_spite_of_it)
{
    late_server store(loop_, never_ms);
    late_server peer(loop_, 1);
    transport_.set_address(store.address());
    transport_.set_peers({peer.address()});
    const store_call join{.method = "POST",
                          .path = "/join",
                          .body = "{}",
                          .timeout_ms = 600,
                          .traffic = traffic_class::ownership};
    const std::int64_t sent_ms = monotonic_ms();
    EXPECT_EQ(send(join, 5'000).outcome, call_outcome::answered);
    EXPECT_GT(budget_.backlog_ms(monotonic_ms()), 2'000) << "after " << monotonic_ms() - sent_ms << " ms";
}

// A read that found no room on this host's link made the store count as silent, so that joins went over peers
// and calls of other nodes were refused.
TEST_F(full_link, a_call_that_was_not_sent_says_nothing_about_its_route)
{
    late_server store(loop_, 1);
    transport_.set_address(store.address());
    fill(4'000);
    http_answer result;
    transport_.send_direct(
        {.method = "GET", .path = "/r", .timeout_ms = 200, .traffic = traffic_class::relays},
        [&](const http_answer& answer) {
            result = answer;
            loop_.stop();
        });
    const timer guard = loop_.after(20'000, [&] { loop_.stop(); });
    loop_.run();
    EXPECT_EQ(result.outcome, call_outcome::not_sent);
    EXPECT_EQ(store.calls(), 0);
    EXPECT_TRUE(transport_.direct_path_usable());
}

// A peer passes an answer on once it has all of it: after more than its timeout the read was given up, and
// had been sent over each route by then.
TEST_F(full_link, a_read_over_a_relay_waits_until_the_peer_has_the_answer)
{
    late_server peer_a(loop_, 1'000);
    late_server peer_b(loop_, never_ms);
    transport_.set_address("127.0.0.1:1");
    transport_.set_peers({peer_a.address(), peer_b.address()});
    store_call call = read_call();
    call.max_answer_bytes = 300'000;  // 1.3 s of the link
    EXPECT_EQ(send(call, 0).outcome, call_outcome::answered);
    EXPECT_EQ(peer_a.calls(), 1);
    EXPECT_EQ(peer_b.calls(), 0);
}

}  // namespace waxwingnotch
