#include "fakes/loopback_listener.hpp"

#include "waxwingnotch/net/http_client.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <gtest/gtest.h>

namespace waxwingnotch {

namespace {

/// A server without an HTTP library: the test chooses the reaction to each request.
class raw_server {
public:
    /// Reaction to request number `count`, counted from 1 over all connections.
    enum class reaction { answer, close, silence, announce_too_much };
    using reaction_function = std::function<reaction(int count)>;

    raw_server(event_loop& loop, reaction_function reaction_to)
        : loop_(loop), reaction_to_(std::move(reaction_to))
    {
        listener_ = listen_on_loopback(loop, accept, this, address_);
    }
    ~raw_server()
    {
        for (bufferevent* channel : channels_) {
            bufferevent_free(channel);
        }
        evconnlistener_free(listener_);
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    const std::string& address() const { return address_; }
    int requests() const { return requests_; }
    int connections() const { return connections_; }

private:
    static void accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* argument)
    {
        auto* self = static_cast<raw_server*>(argument);
        ++self->connections_;
        bufferevent* channel = bufferevent_socket_new(self->loop_.native(), fd, BEV_OPT_CLOSE_ON_FREE);
        self->channels_.insert(channel);
        bufferevent_setcb(channel, read, nullptr, nullptr, self);
        bufferevent_enable(channel, EV_READ | EV_WRITE);
    }

    static void read(bufferevent* channel, void* argument)
    {
        auto* self = static_cast<raw_server*>(argument);
        evbuffer* input = bufferevent_get_input(channel);
        const evbuffer_ptr end = evbuffer_search(input, "\r\n\r\n", 4, nullptr);
        if (end.pos < 0) {
            return;
        }
        evbuffer_drain(input, evbuffer_get_length(input));
        const reaction next = self->reaction_to_(++self->requests_);
        if (next == reaction::answer) {
            const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            bufferevent_write(channel, answer.data(), answer.size());
        }
        else if (next == reaction::announce_too_much) {
            const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\nok";
            bufferevent_write(channel, answer.data(), answer.size());
        }
        else if (next == reaction::close) {
            self->channels_.erase(channel);
            bufferevent_free(channel);
        }
    }

    event_loop& loop_;
    reaction_function reaction_to_;
    evconnlistener* listener_ = nullptr;
    std::string address_;
    std::set<bufferevent*> channels_;
    int requests_ = 0;
    int connections_ = 0;
};

class http_client_test : public ::testing::Test {
protected:
    http_answer call(const std::string& address, bool reuse, std::int64_t timeout_ms = 20'000)
    {
        http_call request;
        request.address = address;
        request.reuse_connection = reuse;
        request.timeout_ms = timeout_ms;
        http_answer result;
        client_.send(request, [&](const http_answer& answer) {
            result = answer;
            loop_.stop();
        });
        loop_.run();
        return result;
    }

    event_loop loop_;
    http_client client_{loop_};
};

}  // namespace

// Guards against an unknown outcome for a request that provably was not sent.
TEST_F(http_client_test, a_refused_connection_sends_no_byte)
{
    std::string address;
    {
        const raw_server stopped(loop_, [](int) { return raw_server::reaction::answer; });
        address = stopped.address();
    }
    const http_answer answer = call(address, false);
    EXPECT_EQ(answer.outcome, call_outcome::failed);
    EXPECT_FALSE(answer.bytes_sent);
}

// Guards against an answer that takes all memory of the process.
TEST_F(http_client_test, an_answer_beyond_the_limit_is_not_read)
{
    const raw_server server(loop_, [](int) { return raw_server::reaction::announce_too_much; });
    EXPECT_EQ(call(server.address(), true).outcome, call_outcome::failed);
}

// Guards against an answer of 20 MB, which takes 294 MB once it is parsed, and against a page of the store or
// an answer to `serve` that is not read because it is long.
TEST_F(http_client_test, the_limit_of_an_answer_is_that_of_the_client)
{
    http_server server(loop_);
    std::size_t length = 0;
    server.handle(
        [&](const http_exchange_ptr& exchange) { exchange->reply(200, {}, std::string(length, '0')); });
    const std::string address = "127.0.0.1:" + std::to_string(server.listen("127.0.0.1", 0).value());
    length = http_client::default_answer_bytes;
    EXPECT_EQ(call(address, false).body.size(), length);
    ++length;
    EXPECT_EQ(call(address, false).outcome, call_outcome::failed);
    http_client client(loop_, length);
    http_answer answer;
    client.send({.address = address}, [&](const http_answer& received) {
        answer = received;
        loop_.stop();
    });
    loop_.run();
    EXPECT_EQ(answer.body.size(), length);
}

// Guards against reporting a request as not run although the server read it before closing, and against
// evhttp retrying it by itself.
TEST_F(http_client_test, a_request_is_not_retried_when_the_server_closes)
{
    const raw_server server(loop_, [](int) { return raw_server::reaction::close; });
    const http_answer answer = call(server.address(), false);
    EXPECT_EQ(answer.outcome, call_outcome::failed);
    EXPECT_TRUE(answer.bytes_sent);
    EXPECT_EQ(server.requests(), 1);
    EXPECT_EQ(server.connections(), 1);
}

// Guards against evhttp retrying a request on a new connection after a kept-alive one was closed.
TEST_F(http_client_test, a_request_is_not_retried_when_a_reused_connection_closes)
{
    const raw_server server(loop_, [](int count) {
        return count == 1 ? raw_server::reaction::answer : raw_server::reaction::close;
    });
    EXPECT_EQ(call(server.address(), true).status, 200);
    const http_answer second = call(server.address(), true);
    EXPECT_EQ(second.outcome, call_outcome::failed);
    EXPECT_TRUE(second.reused);
    EXPECT_TRUE(second.bytes_sent);
    EXPECT_EQ(server.requests(), 2);
}

// Guards against a call that waits forever on a connection without answers, and against reusing that
// connection.
TEST_F(http_client_test, a_silent_connection_times_out_and_is_not_reused)
{
    const raw_server server(loop_, [](int count) {
        return count == 2 ? raw_server::reaction::silence : raw_server::reaction::answer;
    });
    EXPECT_EQ(call(server.address(), true).status, 200);
    const http_answer second = call(server.address(), true, 50);
    EXPECT_EQ(second.outcome, call_outcome::timed_out);
    EXPECT_TRUE(second.bytes_sent);
    EXPECT_EQ(call(server.address(), true).status, 200);
    EXPECT_EQ(server.connections(), 2);
}

// Guards against connections that stay open for good after a burst of calls, and take the descriptors of
// callers.
TEST_F(http_client_test, a_burst_of_calls_leaves_few_idle_connections)
{
    constexpr int burst = 20;
    const raw_server server(loop_, [](int) { return raw_server::reaction::answer; });
    int answers = 0;
    for (int number = 0; number < burst; ++number) {
        http_call request;
        request.address = server.address();
        request.reuse_connection = true;
        client_.send(request, [&](const http_answer& answer) {
            EXPECT_EQ(answer.status, 200);
            if (++answers == burst) {
                loop_.stop();
            }
        });
    }
    loop_.run();
    EXPECT_EQ(server.connections(), burst);
    EXPECT_EQ(client_.open_connections(server.address()), 8U);
    EXPECT_EQ(call(server.address(), true).status, 200);
    EXPECT_EQ(server.connections(), burst);
}

// Guards against reusing a connection for a call that does not allow it.
TEST_F(http_client_test, a_call_without_reuse_opens_a_new_connection)
{
    const raw_server server(loop_, [](int) { return raw_server::reaction::answer; });
    EXPECT_EQ(call(server.address(), true).status, 200);
    const http_answer second = call(server.address(), false);
    EXPECT_FALSE(second.reused);
    EXPECT_EQ(server.connections(), 2);
}

// Guards against a cancelled call whose handler never runs, or runs twice.
TEST_F(http_client_test, cancel_calls_the_handler_once)
{
    const raw_server server(loop_, [](int) { return raw_server::reaction::silence; });
    http_call request;
    request.address = server.address();
    int handler_calls = 0;
    const call_id id = client_.send(request, [&](const http_answer& answer) {
        EXPECT_EQ(answer.outcome, call_outcome::cancelled);
        ++handler_calls;
        loop_.stop();
    });
    client_.cancel(id);
    client_.cancel(id);
    loop_.run();
    EXPECT_EQ(handler_calls, 1);
}

// Guards against not noticing that a caller has disconnected, and against a reply that uses freed memory.
TEST_F(http_client_test, the_server_notices_a_caller_that_disconnects)
{
    http_server server(loop_);
    http_exchange_ptr held;
    bool closed = false;
    server.handle([&](const http_exchange_ptr& exchange) {
        held = exchange;
        exchange->on_closed([&] {
            closed = true;
            loop_.stop();
        });
    });
    const auto port = server.listen("127.0.0.1", 0);
    http_call request;
    request.address = "127.0.0.1:" + std::to_string(port.value());
    request.timeout_ms = 50;
    client_.send(request, [](const http_answer&) {});
    loop_.run();
    EXPECT_TRUE(closed);
    held->reply(200, {}, "late");
    held.reset();
    EXPECT_EQ(server.open_exchanges(), 0U);
}

// Guards against an exchange that uses freed memory after its server is destroyed.
TEST_F(http_client_test, an_exchange_may_outlive_its_server)
{
    http_exchange_ptr held;
    {
        http_server server(loop_);
        server.handle([&](const http_exchange_ptr& exchange) {
            held = exchange;
            loop_.stop();
        });
        const auto port = server.listen("127.0.0.1", 0);
        http_call request;
        request.address = "127.0.0.1:" + std::to_string(port.value());
        client_.send(request, [](const http_answer&) {});
        loop_.run();
    }
    held->reply(200, {}, "late");
    EXPECT_TRUE(held->replied());
}

}  // namespace waxwingnotch
