#include "waxwingnotch/net/websocket_link.hpp"

#include "waxwingnotch/base/address.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace waxwingnotch {

namespace {

/// A socket address with its size.
struct socket_address {
    sockaddr_storage storage{};
    int size = 0;

    sockaddr* native() { return reinterpret_cast<sockaddr*>(&storage); }
};

result<socket_address> resolve(std::string_view address)
{
    // evutil_parse_sockaddr_port() rejects port 0, which stands for any free port.
    const std::optional<endpoint> parsed = parse_endpoint(address);
    const endpoint target = parsed.value_or(endpoint{});
    socket_address resolved;
    auto* v4 = reinterpret_cast<sockaddr_in*>(&resolved.storage);
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&resolved.storage);
    if (inet_pton(AF_INET, target.ip.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(target.port);
        resolved.size = sizeof *v4;
        return resolved;
    }
    if (inet_pton(AF_INET6, target.ip.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(target.port);
        resolved.size = sizeof *v6;
        return resolved;
    }
    return fail(error_code::invalid_argument, "not a numeric address: " + std::string(address));
}

}  // namespace

websocket_link::websocket_link(event_loop& loop, websocket_role role) : loop_(loop), role_(role) {}

websocket_link::~websocket_link()
{
    terminated_ = true;
    if (channel_ != nullptr) {
        bufferevent_free(channel_);
    }
}

websocket_link_ptr websocket_link::connect(event_loop& loop, std::string_view address, link_handlers handlers)
{
    websocket_link_ptr link(new websocket_link(loop, websocket_role::client));
    link->handlers_ = std::move(handlers);
    auto target = resolve(address);
    if (!target) {
        link->loop_.defer([link, reason = target.error().message] { link->terminate(reason); });
        return link;
    }
    link->attach(bufferevent_socket_new(loop.native(), -1, BEV_OPT_CLOSE_ON_FREE));
    if (bufferevent_socket_connect(link->channel_, target.value().native(), target.value().size) != 0) {
        link->loop_.defer([link] { link->terminate("cannot connect"); });
    }
    return link;
}

void websocket_link::attach(bufferevent* channel)
{
    channel_ = channel;
    bufferevent_setcb(channel, on_read, nullptr, on_event, this);
    bufferevent_enable(channel, EV_READ | EV_WRITE);
    websocket_codec::handlers callbacks;
    callbacks.write = [this](const char* data, std::size_t size) {
        if (channel_ != nullptr) {
            bytes_out_ += size;
            bufferevent_write(channel_, data, size);
        }
    };
    callbacks.opened = [this] {
        open_ = true;
        if (handlers_.opened) {
            handlers_.opened();
        }
    };
    callbacks.message = [this](const std::string& message) {
        if (handlers_.message) {
            handlers_.message(message);
        }
    };
    callbacks.closed = [this](const std::string& reason) {
        terminate(reason);
    };
    codec_ = make_websocket_codec(role_, std::move(callbacks), max_message_bytes);
}

void websocket_link::terminate(const std::string& reason)
{
    if (terminated_) {
        return;
    }
    terminated_ = true;
    open_ = false;
    // The codec may be calling this function: report and free from the loop.
    loop_.defer([self = shared_from_this(), reason] {
        if (self->channel_ != nullptr) {
            bufferevent_free(self->channel_);
            self->channel_ = nullptr;
        }
        const link_handlers handlers = std::move(self->handlers_);
        self->handlers_ = {};
        if (handlers.closed) {
            handlers.closed(reason);
        }
    });
}

void websocket_link::on_read(bufferevent* channel, void* self)
{
    const websocket_link_ptr link = static_cast<websocket_link*>(self)->shared_from_this();
    evbuffer* input = bufferevent_get_input(channel);
    std::array<char, 16'384> chunk{};
    while (!link->terminated_) {
        const int size = evbuffer_remove(input, chunk.data(), chunk.size());
        if (size <= 0) {
            return;
        }
        link->bytes_in_ += static_cast<std::uint64_t>(size);
        link->codec_->feed(chunk.data(), static_cast<std::size_t>(size));
    }
}

void websocket_link::on_event(bufferevent* channel, short what, void* self)
{
    const websocket_link_ptr link = static_cast<websocket_link*>(self)->shared_from_this();
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        const int on = 1;
        setsockopt(bufferevent_getfd(channel), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        link->codec_->start();
        return;
    }
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        link->codec_->end_of_stream();
        link->terminate("connection closed");
    }
}

void websocket_link::send(const std::string& message)
{
    if (!open_ || terminated_) {
        return;
    }
    if (evbuffer_get_length(bufferevent_get_output(channel_)) > max_backlog_bytes) {
        terminate("send backlog is full: the peer does not read");
        return;
    }
    codec_->send(message);
}

void websocket_link::close(const std::string& reason)
{
    if (!terminated_ && codec_) {
        codec_->close(reason);
    }
}

websocket_listener::websocket_listener(event_loop& loop, std::function<void(websocket_link_ptr)> on_accepted)
    : loop_(loop), on_accepted_(std::move(on_accepted))
{
}

websocket_listener::~websocket_listener()
{
    if (listener_ != nullptr) {
        evconnlistener_free(listener_);
    }
}

result<std::uint16_t> websocket_listener::listen(std::string_view address)
{
    auto target = resolve(address);
    if (!target) {
        return target.error();
    }
    const auto on_accept = [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* argument) {
        auto* self = static_cast<websocket_listener*>(argument);
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        websocket_link_ptr link(new websocket_link(self->loop_, websocket_role::server));
        link->attach(bufferevent_socket_new(self->loop_.native(), fd, BEV_OPT_CLOSE_ON_FREE));
        self->on_accepted_(link);
        link->codec_->start();
    };
    listener_ =
        evconnlistener_new_bind(loop_.native(), on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                -1, target.value().native(), target.value().size);
    if (listener_ == nullptr) {
        return fail(error_code::io, "cannot listen on " + std::string(address) + ": " + std::strerror(errno));
    }
    socket_address bound;
    socklen_t size = sizeof bound.storage;
    if (getsockname(evconnlistener_get_fd(listener_), bound.native(), &size) != 0) {
        return fail(error_code::io, std::string("cannot read the bound port: ") + std::strerror(errno));
    }
    const bool v6 = bound.storage.ss_family == AF_INET6;
    return ntohs(v6 ? reinterpret_cast<const sockaddr_in6*>(&bound.storage)->sin6_port
                    : reinterpret_cast<const sockaddr_in*>(&bound.storage)->sin_port);
}

}  // namespace waxwingnotch
