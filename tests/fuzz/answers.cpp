#include "answers.hpp"

#include "store_client.hpp"
#include "worker_client.hpp"

#include "waxwingnotch/net/event_loop.hpp"
#include "waxwingnotch/net/http_client.hpp"
#include "waxwingnotch/net/http_server.hpp"
#include "waxwingnotch/store/transport.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include <array>
#include <cstdlib>
#include <functional>

namespace waxwingnotch::fuzz {

namespace {

constexpr std::int64_t call_limit_ms = 2'000;  // a call without an outcome counts as an endless loop
// Answered with the input; later ones are empty, since a page that names itself as the next one is refused.
constexpr int max_pages = 1;

/// Runs the loop until @p start has called the function that it receives.
/// @return false if it has not within the limit
bool run_until_done(event_loop& loop, const std::function<void(std::function<void()>)>& start)
{
    bool done = false;
    start([&] {
        done = true;
        loop.stop();
    });
    if (!done) {
        const timer limit = loop.after(call_limit_ms, [&] { loop.stop(); });
        loop.run();
    }
    return done;
}

/// A server whose answers are the inputs, with the clients that call it.
struct answering_server {
    event_loop loop;
    http_server server{loop};
    http_client client{loop};
    store_transport transport{client};
    std::string address;
    int status = 200;
    std::string body;
    int answers = 0;

    answering_server()
    {
        server.handle([this](const http_exchange_ptr& exchange) {
            const bool over = ++answers > max_pages;
            exchange->reply(over ? 200 : status, {{"Content-Type", "application/json"}},
                            over ? R"({"machines":[]})" : body);
        });
        address = "127.0.0.1:" + std::to_string(server.listen("127.0.0.1", 0).value());
        transport.set_address(address);
    }
};

template <class Answer>
auto finish(const std::function<void()>& done, bool& ok, std::function<bool(const Answer&)> accepted)
{
    return [done, &ok, accepted = std::move(accepted)](const Answer& answer) {
        ok = accepted(answer);
        done();
    };
}

void call_worker(answering_server& world, unsigned which, bool& ok, const std::function<void()>& done)
{
    static adapter::worker_client worker(world.client);
    const worker_target target{"w", world.address};
    const auto ordered = finish<order_answer>(
        done, ok, [](const order_answer& answer) { return answer.outcome == order_result::ok; });
    switch (which) {
    case 0:
        worker.start(target, {.task = "0000000000000000.0.0.0", .run = 1, .payload = "x"}, ordered);
        return;
    case 1:
        worker.stop(target, {"0000000000000000.0.0.0", 1, 1}, ordered);
        return;
    default:
        worker.poll(target, {.fencing_token = 1},
                    finish<poll_answer>(done, ok, [](const poll_answer& answer) {
                        return answer.outcome == order_result::ok;
                    }));
    }
}

void call_services(answering_server& world, unsigned which, bool& ok, const std::function<void()>& done)
{
    static adapter::advice_client policy(world.client, world.address);
    static adapter::host_client hosts(world.client, world.address);
    switch (which) {
    case 3:
        policy.ask({.step = "0000000000000000.0.0", .workers = {"w"}, .timeout_ms = 2'000},
                   finish<advice_answer>(done, ok, [](const advice_answer& answer) { return answer.ok; }));
        return;
    case 4:
        hosts.list(finish<host_listing>(done, ok, [](const host_listing& answer) { return answer.ok; }));
        return;
    default:
        hosts.move({"node", 1}, "host", "pool", [done, &ok](host_result outcome) {
            ok = outcome == host_result::ok;
            done();
        });
    }
}

void call_store(answering_server& world, unsigned which, bool& ok, const std::function<void()>& done)
{
    static adapter::store_client store(world.transport);
    switch (which) {
    case 6:
        store.append({.topic = "t", .records = {{.key = "k", .value = "v"}}},
                     finish<append_result>(done, ok, [](const append_result& answer) {
                         return answer.status == store_status::ok;
                     }));
        return;
    case 7:
        store.read({.topic = "t"}, finish<read_result>(done, ok, [](const read_result& answer) {
                       return answer.status == store_status::ok;
                   }));
        return;
    case 8:
        store.read_newest("t", 0, "", finish<newest_page>(done, ok, [](const newest_page& answer) {
                              return answer.status == store_status::ok;
                          }));
        return;
    case 9:
        store.join({.group = "g", .member = "m", .topic = "t"},
                   finish<join_result>(done, ok, [](const join_result& answer) {
                       return answer.status == store_status::ok;
                   }));
        return;
    default:
        store.owners("g", finish<owners_result>(done, ok, [](const owners_result& answer) {
                         return answer.status == store_status::ok;
                     }));
    }
}

/// A raw TCP connection to a port of the loopback interface.
struct raw_connection {
    bufferevent* channel = nullptr;
    std::string received;
    bool closed = false;
    std::function<void()> on_change;

    raw_connection(event_loop& loop, std::uint16_t port)
        : channel(bufferevent_socket_new(loop.native(), -1, BEV_OPT_CLOSE_ON_FREE))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bufferevent_setcb(channel, on_read, nullptr, on_event, this);
        bufferevent_enable(channel, EV_READ | EV_WRITE);
        bufferevent_socket_connect(channel, reinterpret_cast<sockaddr*>(&address), sizeof address);
    }
    ~raw_connection() { bufferevent_free(channel); }
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;
    raw_connection(raw_connection&&) = delete;
    raw_connection& operator=(raw_connection&&) = delete;

    static void on_read(bufferevent* from, void* self)
    {
        auto* connection = static_cast<raw_connection*>(self);
        std::array<char, 4'096> chunk{};
        for (std::size_t size = bufferevent_read(from, chunk.data(), chunk.size()); size > 0;
             size = bufferevent_read(from, chunk.data(), chunk.size())) {
            connection->received.append(chunk.data(), size);
        }
        connection->on_change();
    }
    static void on_event(bufferevent*, short what, void* self)
    {
        auto* connection = static_cast<raw_connection*>(self);
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            connection->closed = true;
            connection->on_change();
        }
    }
};

/// Answers each connection with fixed bytes and then closes it.
class raw_answerer {
public:
    explicit raw_answerer(event_loop& loop) : loop_(loop)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        listener_ = evconnlistener_new_bind(loop.native(), accept, this, LEV_OPT_CLOSE_ON_FREE, -1,
                                            reinterpret_cast<sockaddr*>(&address), sizeof address);
        getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&address), &size);
        address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    }
    ~raw_answerer() { evconnlistener_free(listener_); }
    raw_answerer(const raw_answerer&) = delete;
    raw_answerer& operator=(const raw_answerer&) = delete;
    raw_answerer(raw_answerer&&) = delete;
    raw_answerer& operator=(raw_answerer&&) = delete;

    std::string bytes;
    const std::string& address() const { return address_; }

private:
    static void accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* argument)
    {
        auto* self = static_cast<raw_answerer*>(argument);
        bufferevent* channel = bufferevent_socket_new(self->loop_.native(), fd, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(channel, answer, nullptr, end, self);
        bufferevent_enable(channel, EV_READ | EV_WRITE);
    }
    static void answer(bufferevent* channel, void* argument)
    {
        auto* self = static_cast<raw_answerer*>(argument);
        evbuffer* input = bufferevent_get_input(channel);
        evbuffer_drain(input, evbuffer_get_length(input));
        bufferevent_setcb(channel, answer, written, end, self);
        bufferevent_write(channel, self->bytes.data(), self->bytes.size());
        if (self->bytes.empty()) {
            bufferevent_free(channel);
        }
    }
    static void written(bufferevent* channel, void*) { bufferevent_free(channel); }
    static void end(bufferevent* channel, short, void*) { bufferevent_free(channel); }

    event_loop& loop_;
    evconnlistener* listener_ = nullptr;
    std::string address_;
};

}  // namespace

bool read_answer(std::string_view input)
{
    static answering_server world;
    constexpr unsigned calls = 11;
    constexpr std::array statuses = {200, 200, 200, 200, 409, 410, 412, 421, 429, 503};
    if (input.size() < 2) {
        return false;
    }
    const unsigned which = static_cast<unsigned char>(input[0]) % calls;
    world.status = statuses[static_cast<unsigned char>(input[1]) % statuses.size()];
    world.body = std::string(input.substr(2));
    world.answers = 0;
    bool ok = false;
    const bool done = run_until_done(world.loop, [&](const std::function<void()>& finished) {
        if (which < 3) {
            call_worker(world, which, ok, finished);
        }
        else if (which < 6) {
            call_services(world, which, ok, finished);
        }
        else {
            call_store(world, which, ok, finished);
        }
    });
    return done && ok;
}

bool read_http_request(std::string_view input)
{
    static event_loop loop;
    static http_server server(loop);
    static std::uint16_t port = 0;
    static int handled = 0;
    if (port == 0) {
        server.handle([](const http_exchange_ptr& exchange) {
            ++handled;
            (void)exchange->query("shard");
            (void)exchange->header("Host");
            exchange->reply(200, {{"Content-Type", "text/plain"}}, exchange->path());
        });
        port = server.listen("127.0.0.1", 0).value();
    }
    handled = 0;
    raw_connection connection(loop, port);
    run_until_done(loop, [&](const std::function<void()>& finished) {
        // The closed half makes the server drop an incomplete request.
        connection.on_change = [&connection, finished] {
            if (connection.closed || connection.received.find("\r\n\r\n") != std::string::npos) {
                finished();
            }
        };
        bufferevent_setcb(
            connection.channel, raw_connection::on_read,
            [](bufferevent* channel, void*) { shutdown(bufferevent_getfd(channel), SHUT_WR); },
            raw_connection::on_event, &connection);
        bufferevent_write(connection.channel, input.data(), input.size());
    });
    return handled > 0;
}

bool read_http_answer(std::string_view input)
{
    static event_loop loop;
    static raw_answerer server(loop);
    http_client client(loop);  // one that lives longer would use a connection that the server has closed
    server.bytes = std::string(input);
    http_answer received;
    run_until_done(loop, [&](const std::function<void()>& finished) {
        client.send({.method = "GET",
                     .address = server.address(),
                     .path = "/",
                     .headers = {},
                     .body = {},
                     .timeout_ms = call_limit_ms / 2,
                     .reuse_connection = true},
                    [&received, finished](const http_answer& answer) {
                        received = answer;
                        finished();
                    });
    });
    return received.outcome == call_outcome::answered;
}

}  // namespace waxwingnotch::fuzz
