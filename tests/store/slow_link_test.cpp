/// Reads of the store over a link that carries a large answer for longer than a call's timeout.
#include "fakes/loopback_listener.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/net/http_client.hpp"
#include "waxwingnotch/store/transport.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace waxwingnotch {
namespace {

constexpr std::int64_t piece_interval_ms = 20;

/// Answers each request with a body of which only a piece is sent at a time, as over a full link.
class slow_server {
public:
    slow_server(event_loop& loop, std::size_t body_bytes, std::size_t piece_bytes)
        : loop_(loop), body_bytes_(body_bytes), piece_bytes_(piece_bytes)
    {
        listener_ = listen_on_loopback(loop, accept, this, address_);
    }
    ~slow_server()
    {
        for (auto& link : links_) {
            bufferevent_free(link->channel);
        }
        evconnlistener_free(listener_);
    }
    slow_server(const slow_server&) = delete;
    slow_server& operator=(const slow_server&) = delete;
    slow_server(slow_server&&) = delete;
    slow_server& operator=(slow_server&&) = delete;

    const std::string& address() const { return address_; }
    int requests() const { return requests_; }

private:
    struct link {
        slow_server* server = nullptr;
        bufferevent* channel = nullptr;
        std::size_t left = 0;
        timer pieces;
    };

    static void accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* argument)
    {
        auto* self = static_cast<slow_server*>(argument);
        auto added = std::make_unique<link>();
        added->server = self;
        added->channel = bufferevent_socket_new(self->loop_.native(), fd, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(added->channel, read, nullptr, nullptr, added.get());
        bufferevent_enable(added->channel, EV_READ | EV_WRITE);
        self->links_.push_back(std::move(added));
    }
    static void read(bufferevent* channel, void* argument)
    {
        auto* self = static_cast<link*>(argument);
        evbuffer* input = bufferevent_get_input(channel);
        if (evbuffer_search(input, "\r\n\r\n", 4, nullptr).pos < 0) {
            return;
        }
        evbuffer_drain(input, evbuffer_get_length(input));
        ++self->server->requests_;
        self->left = self->server->body_bytes_;
        const std::string head =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(self->left) + "\r\n\r\n";
        bufferevent_write(channel, head.data(), head.size());
        self->pieces = self->server->loop_.every(piece_interval_ms, [self] {
            const std::size_t size = std::min(self->left, self->server->piece_bytes_);
            const std::string piece(size, 'x');
            bufferevent_write(self->channel, piece.data(), piece.size());
            self->left -= size;
            if (self->left == 0) {
                self->pieces.cancel();
            }
        });
    }

    event_loop& loop_;
    std::size_t body_bytes_;
    std::size_t piece_bytes_;
    evconnlistener* listener_ = nullptr;
    std::string address_;
    int requests_ = 0;
    std::vector<std::unique_ptr<link>> links_;
};

}  // namespace

// Each copy of an answer takes as much of a full link as the first, so that no copy arrives in time.
TEST(slow_link, an_answer_that_is_arriving_is_not_requested_again)
{
    event_loop loop;
    http_client client(loop);
    store_transport transport(client);
    slow_server store(loop, 150'000, 2'500);  // 1.2 s
    slow_server peer(loop, 150'000, 2'500);
    transport.set_address(store.address());
    transport.set_peers({peer.address()});
    http_answer result;
    transport.send({.method = "GET", .path = "/large", .timeout_ms = 600}, [&](const http_answer& answer) {
        result = answer;
        loop.stop();
    });
    const timer guard = loop.after(20'000, [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(result.outcome, call_outcome::answered);
    EXPECT_EQ(result.body.size(), 150'000U);
    EXPECT_EQ(store.requests(), 1);
    EXPECT_EQ(peer.requests(), 0);
}

// A peer or store that stops in the middle of an answer must not hold a read for ever.
TEST(slow_link, an_answer_that_stops_arriving_ends_the_read)
{
    event_loop loop;
    http_client client(loop);
    store_transport transport(client);
    slow_server store(loop, 150'000, 0);
    transport.set_address(store.address());
    http_answer result;
    transport.send({.method = "GET", .path = "/large", .timeout_ms = 300}, [&](const http_answer& answer) {
        result = answer;
        loop.stop();
    });
    const timer guard = loop.after(20'000, [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(result.outcome, call_outcome::timed_out);
}

namespace {

constexpr std::int64_t narrow_kbps = 2'000;

/// A transport on a narrow link.
struct narrow_transport {
    event_loop loop;
    link_budget budget{narrow_kbps};
    http_client client{loop};
    store_transport transport{client};

    narrow_transport() { client.share_link(budget); }
};

}  // namespace

// The copy took its room on the link after the read had been answered, so an overload went on.
TEST(slow_link, a_copy_that_waits_is_not_sent_once_the_read_is_answered)
{
    narrow_transport node;
    slow_server store(node.loop, 1'000, 50);  // 0.4 s
    slow_server peer(node.loop, 1'000, 1'000);
    node.transport.set_address(store.address());
    node.transport.set_peers({peer.address()});
    http_answer result;
    node.transport.send(
        {.method = "GET", .path = "/r", .timeout_ms = 600, .traffic = traffic_class::registrations},
        [&](const http_answer& answer) { result = answer; });
    node.budget.add(traffic_class::orders, {.sent = 225'000, .received = 0}, monotonic_ms());
    const timer stop = node.loop.after(1'800, [&] { node.loop.stop(); });
    node.loop.run();
    EXPECT_EQ(result.outcome, call_outcome::answered);
    EXPECT_EQ(peer.requests(), 0);
}

// A join that went through a peer waited with reads in bulk and had not left after 8 s: the owner lost its
// shards though its link worked.
TEST(slow_link, a_join_over_a_peer_does_not_wait_behind_orders)
{
    narrow_transport node;
    slow_server peer(node.loop, 100, 100);
    node.transport.set_address("127.0.0.1:1");
    node.transport.set_peers({peer.address()});
    const timer load = node.loop.every(2, [&] {
        while (node.budget.admits(traffic_class::orders, 0, monotonic_ms())) {
            node.budget.add(traffic_class::orders, {.sent = 500, .received = 0}, monotonic_ms());
        }
    });
    http_answer result;
    const timer send = node.loop.after(50, [&] {
        node.transport.send({.method = "POST",
                             .path = "/join",
                             .body = "{}",
                             .timeout_ms = 600,
                             .traffic = traffic_class::ownership},
                            [&](const http_answer& answer) {
                                result = answer;
                                node.loop.stop();
                            });
    });
    const timer stop = node.loop.after(1'500, [&] { node.loop.stop(); });
    node.loop.run();
    EXPECT_EQ(result.outcome, call_outcome::answered);
}

}  // namespace waxwingnotch
