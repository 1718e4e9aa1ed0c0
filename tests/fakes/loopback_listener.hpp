/// @file
/// Listens on a free port of the loopback address, for servers without an HTTP library.
#pragma once

#include "waxwingnotch/net/event_loop.hpp"

#include <event2/listener.h>
#include <netinet/in.h>

#include <string>

namespace waxwingnotch {

/// @param accept called with @p argument for each connection
/// @param address receives ip:port
/// @return to be freed by the caller
inline evconnlistener* listen_on_loopback(event_loop& loop, evconnlistener_cb accept, void* argument,
                                          std::string& address)
{
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    evconnlistener* listener = evconnlistener_new_bind(loop.native(), accept, argument, LEV_OPT_CLOSE_ON_FREE,
                                                       -1, reinterpret_cast<sockaddr*>(&bound), sizeof bound);
    socklen_t size = sizeof bound;
    getsockname(evconnlistener_get_fd(listener), reinterpret_cast<sockaddr*>(&bound), &size);
    address = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
    return listener;
}

}  // namespace waxwingnotch
