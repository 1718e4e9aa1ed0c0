/// @file
/// Opens the listening sockets of a node at its start.
#pragma once

#include "waxwingnotch/base/result.hpp"
#include "waxwingnotch/net/http_server.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace waxwingnotch {

/// A server and where it listens.
struct listener {
    http_server* server = nullptr;
    std::string address;  // ip:port
    const char* purpose = "";
};

/// Makes all servers listen, or none. Attempts are repeated, because a node that is started again finds its
/// ports in use until the process before it has ended, and may be started before its address is set up. Call
/// it while the control signals are held.
/// @param limit_ms time for all attempts
/// @return true once all listen; false if SIGTERM or SIGINT came first; `io` with the reason of the last
/// failure
result<bool> listen_with_retries(const std::vector<listener>& listeners, std::int64_t limit_ms);

/// Makes a server listen that the node can do without: attempts are repeated from the event loop until one
/// succeeds.
class optional_listener {
public:
    optional_listener(event_loop& loop, http_server& server) : loop_(loop), server_(server) {}
    void start(const std::string& ip, std::uint16_t port, const char* purpose);

private:
    event_loop& loop_;
    http_server& server_;
    timer retry_;
};

}  // namespace waxwingnotch
