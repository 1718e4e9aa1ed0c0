/// @file
/// WebSocket framing without I/O: bytes in, bytes and messages out. This header stays within
/// C++17, because the library behind it does not compile as C++20.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace waxwingnotch {

/// Which side of the handshake a codec plays.
enum class websocket_role {
    client,  // sends the handshake
    server,  // answers it
};

/// One connection's framing.
class websocket_codec {
public:
    struct handlers {
        std::function<void(const char* data, std::size_t size)> write;  // bytes for the socket
        std::function<void()> opened;
        std::function<void(const std::string& message)> message;  // one whole binary message
        std::function<void(const std::string& reason)> closed;    // at most once
    };

    virtual ~websocket_codec() = default;
    websocket_codec(const websocket_codec&) = delete;
    websocket_codec& operator=(const websocket_codec&) = delete;
    websocket_codec(websocket_codec&&) = delete;
    websocket_codec& operator=(websocket_codec&&) = delete;

    virtual void start() = 0;                                   // begins the handshake
    virtual void feed(const char* data, std::size_t size) = 0;  // bytes from the socket
    virtual void send(const std::string& message) = 0;          // one binary message
    virtual void close(const std::string& reason) = 0;          // begins the closing handshake
    virtual void end_of_stream() = 0;                           // the socket is gone

protected:
    websocket_codec() = default;
};

/// @param max_message_bytes larger messages close the connection
std::unique_ptr<websocket_codec> make_websocket_codec(websocket_role role, websocket_codec::handlers handlers,
                                                      std::size_t max_message_bytes);

}  // namespace waxwingnotch
