/// @file
/// WebSocket connections over libevent, for traffic between entry nodes.
///
///     websocket_listener listener(loop, [](websocket_link_ptr link) { ... });
///     websocket_link_ptr link = websocket_link::connect(loop, "127.0.0.1:9000", handlers);
#pragma once

#include "waxwingnotch/base/result.hpp"
#include "waxwingnotch/net/event_loop.hpp"
#include "waxwingnotch/net/websocket_codec.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;
struct evconnlistener;

namespace waxwingnotch {

class websocket_link;
using websocket_link_ptr = std::shared_ptr<websocket_link>;

/// Callbacks of a link. All run from the loop.
struct link_handlers {
    std::function<void()> opened;
    std::function<void(const std::string& message)> message;
    std::function<void(const std::string& reason)> closed;  // at most once; the link is unusable then
};

/// One connection. Releasing the last pointer closes it.
class websocket_link : public std::enable_shared_from_this<websocket_link> {
public:
    static constexpr std::size_t max_message_bytes = 32U << 20U;
    static constexpr std::size_t max_backlog_bytes = 16U << 20U;  // send() closes the link above this

    static websocket_link_ptr connect(event_loop& loop, std::string_view address, link_handlers handlers);

    ~websocket_link();
    websocket_link(const websocket_link&) = delete;
    websocket_link& operator=(const websocket_link&) = delete;
    websocket_link(websocket_link&&) = delete;
    websocket_link& operator=(websocket_link&&) = delete;

    void set_handlers(link_handlers handlers) { handlers_ = std::move(handlers); }
    /// Sends one message. Drops it if the link is not open; closes the link if more than
    /// max_backlog_bytes are still unsent.
    void send(const std::string& message);
    /// Starts the closing handshake.
    void close(const std::string& reason);
    bool open() const { return open_; }
    std::uint64_t bytes_out() const { return bytes_out_; }
    std::uint64_t bytes_in() const { return bytes_in_; }

private:
    friend class websocket_listener;
    websocket_link(event_loop& loop, websocket_role role);
    void attach(bufferevent* channel);
    void terminate(const std::string& reason);
    static void on_read(bufferevent* channel, void* self);
    static void on_event(bufferevent* channel, short what, void* self);

    event_loop& loop_;
    websocket_role role_;
    bufferevent* channel_ = nullptr;
    std::unique_ptr<websocket_codec> codec_;
    link_handlers handlers_;
    bool open_ = false;
    bool terminated_ = false;
    std::uint64_t bytes_out_ = 0;
    std::uint64_t bytes_in_ = 0;
};

/// Accepts links on one address.
class websocket_listener {
public:
    websocket_listener(event_loop& loop, std::function<void(websocket_link_ptr)> on_accepted);
    ~websocket_listener();
    websocket_listener(const websocket_listener&) = delete;
    websocket_listener& operator=(const websocket_listener&) = delete;
    websocket_listener(websocket_listener&&) = delete;
    websocket_listener& operator=(websocket_listener&&) = delete;

    /// @return the bound port, or `io`
    result<std::uint16_t> listen(std::string_view address);

private:
    event_loop& loop_;
    evconnlistener* listener_ = nullptr;
    std::function<void(websocket_link_ptr)> on_accepted_;
};

}  // namespace waxwingnotch
