#include "standin.hpp"

#include "waxwingnotch/base/address.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <array>
#include <list>
#include <map>

namespace standin {

namespace {

using nlohmann::json;
using waxwingnotch::timer;

/// A side of a relayed connection. Received bytes stay in its input buffer until they are forwarded.
struct connection_side {
    bufferevent* channel = nullptr;
    bool ended = false;
    timer forward_timer;
};

struct link;

/// One relayed connection. Side 0 opened it, side 1 is the target.
struct relayed_connection {
    link* parent = nullptr;
    bool silent = false;  // permanently: forwards nothing any more
    std::array<connection_side, 2> sides;
    timer close_timer;
};

/// A listener that relays its connections to a target. Faults are off by default.
struct link {
    waxwingnotch::event_loop& loop;
    std::string target;
    bool cut = false;  // open connections are closed, new ones too when they are accepted
    std::array<bool, 2> muted{false, false};  // bytes are held back: towards the target, from the target
    std::int64_t delay_ms = 0;                // of bytes in both directions
    std::list<relayed_connection> open;
};

void close(relayed_connection& item)
{
    bufferevent_free(item.sides[0].channel);
    bufferevent_free(item.sides[1].channel);
    item.parent->open.remove_if([&](const relayed_connection& other) { return &other == &item; });
}

/// Forwards the bytes that side @p from has sent. Closes the connection after that side has ended.
void forward(relayed_connection& item, std::size_t from)
{
    connection_side& side = item.sides.at(from);
    if (item.silent || item.parent->muted.at(from)) {
        return;
    }
    bufferevent_write_buffer(item.sides.at(1 - from).channel, bufferevent_get_input(side.channel));
    if (side.ended) {
        constexpr std::int64_t flush_ms = 20;
        item.close_timer = item.parent->loop.after(flush_ms, [&item] { close(item); });
    }
}

/// Schedules the forwarding of what side @p From has sent, or of its end, after the delay of the link.
template <std::size_t From>
void schedule_forward(void* argument, bool ended)
{
    auto& item = *static_cast<relayed_connection*>(argument);
    item.sides.at(From).ended = item.sides.at(From).ended || ended;
    item.sides.at(From).forward_timer =
        item.parent->loop.after(item.parent->delay_ms, [&item] { forward(item, From); });
}

template <std::size_t From>
void attach_socket(relayed_connection& item, evutil_socket_t socket)
{
    constexpr short end_events = BEV_EVENT_EOF | BEV_EVENT_ERROR;
    bufferevent* channel = bufferevent_socket_new(item.parent->loop.native(), socket, BEV_OPT_CLOSE_ON_FREE);
    item.sides.at(From).channel = channel;
    bufferevent_setcb(
        channel, [](bufferevent*, void* self) { schedule_forward<From>(self, false); }, nullptr,
        [](bufferevent*, short what, void* self) { schedule_forward<From>(self, (what & end_events) != 0); },
        &item);
    bufferevent_enable(channel, EV_READ | EV_WRITE);
}

void accept_connection(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* argument)
{
    auto& parent = *static_cast<link*>(argument);
    if (parent.cut) {
        evutil_closesocket(socket);
        return;
    }
    relayed_connection& item = parent.open.emplace_back();
    item.parent = &parent;
    attach_socket<0>(item, socket);
    attach_socket<1>(item, -1);
    const waxwingnotch::endpoint to =
        waxwingnotch::parse_endpoint(parent.target).value_or(waxwingnotch::endpoint{});
    bufferevent_socket_connect_hostname(item.sides[1].channel, nullptr, AF_INET, to.ip.c_str(), to.port);
}

class relay_role {
public:
    explicit relay_role(waxwingnotch::event_loop& loop) : loop_(loop) {}

    /// `POST /links/NAME` with the target as body opens a link and replies with its port. `POST /fault` sets
    /// the faults of the link that "link" names.
    void handle(const waxwingnotch::http_exchange_ptr& exchange)
    {
        const std::string prefix = "/links/";
        if (exchange->path().rfind(prefix, 0) == 0) {
            const std::string name = exchange->path().substr(prefix.size());
            exchange->reply(200, {}, std::to_string(open(name, exchange->body())));
            return;
        }
        const json body = json::parse(exchange->body(), nullptr, false);
        const auto found = links_.find(body.is_object() ? body.value("link", "") : "");
        if (found != links_.end()) {
            set_faults(found->second, body);
        }
        exchange->reply(found != links_.end() ? 200 : 404, {}, "{}");
    }

private:
    int open(const std::string& name, const std::string& target)
    {
        link& item = links_.try_emplace(name, link{loop_, target, false, {}, 0, {}}).first->second;
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto* native = reinterpret_cast<sockaddr*>(&address);
        evconnlistener* listener = evconnlistener_new_bind(loop_.native(), accept_connection, &item,
                                                           LEV_OPT_CLOSE_ON_FREE, -1, native, sizeof address);
        getsockname(evconnlistener_get_fd(listener), native, &size);
        return ntohs(address.sin_port);
    }

    /// "silence_open" silences the connections that are open now, permanently.
    static void set_faults(link& item, const json& body)
    {
        item.cut = body.value("cut", item.cut);
        item.muted = {body.value("mute_there", item.muted[0]), body.value("mute_back", item.muted[1])};
        item.delay_ms = body.value("delay_ms", item.delay_ms);
        while (item.cut && !item.open.empty()) {
            close(item.open.front());
        }
        for (relayed_connection& connection : item.open) {
            connection.silent = connection.silent || body.value("silence_open", false);
            forward(connection, 0);
            forward(connection, 1);
        }
    }

    waxwingnotch::event_loop& loop_;
    std::map<std::string, link> links_;
};

}  // namespace

role make_relay(waxwingnotch::event_loop& loop)
{
    return [self = std::make_shared<relay_role>(loop)](const waxwingnotch::http_exchange_ptr& exchange) {
        self->handle(exchange);
    };
}

}  // namespace standin
