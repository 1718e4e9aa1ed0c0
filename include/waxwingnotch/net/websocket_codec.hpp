/// @file
/// WebSocket framing without I/O: turns received bytes into messages, and messages into bytes to send.
/// This header must compile as C++17, because websocketpp does not compile as C++20.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace waxwingnotch {

/// Side of the opening handshake.
enum class websocket_role {
    client,  // sends the handshake
    server,  // answers it
};

/// Framing of one connection.
class websocket_codec {
public:
    struct handlers {
        std::function<void(const char* data, std::size_t size)> write;  // bytes to send
        std::function<void()> opened;
        std::function<void(const std::string& message)> message;  // a complete binary message
        std::function<void(const std::string& reason)> closed;    // at most once
    };

    virtual ~websocket_codec() = default;
    websocket_codec(const websocket_codec&) = delete;
    websocket_codec& operator=(const websocket_codec&) = delete;
    websocket_codec(websocket_codec&&) = delete;
    websocket_codec& operator=(websocket_codec&&) = delete;

    virtual void start() = 0;                                   // starts the opening handshake
    virtual void feed(const char* data, std::size_t size) = 0;  // received bytes
    virtual void send(const std::string& message) = 0;          // sends a binary message; dropped unless open
    virtual void close(const std::string& reason) = 0;          // starts the closing handshake
    virtual void end_of_stream() = 0;                           // the socket was closed

protected:
    websocket_codec() = default;
};

/// @param max_message_bytes larger messages close the connection
std::unique_ptr<websocket_codec> make_websocket_codec(websocket_role role, websocket_codec::handlers handlers,
                                                      std::size_t max_message_bytes);

}  // namespace waxwingnotch
