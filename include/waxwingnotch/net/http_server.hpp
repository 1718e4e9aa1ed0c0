/// @file
/// HTTP server over evhttp. The handler gets each request as an exchange and replies to it once,
/// immediately or later.
///
///     http_server server(loop);
///     server.handle([](http_exchange_ptr exchange) { exchange->reply(200, {}, "ok"); });
///     result<std::uint16_t> port = server.listen("127.0.0.1", 0);
#pragma once

#include "waxwingnotch/base/result.hpp"
#include "waxwingnotch/net/event_loop.hpp"
#include "waxwingnotch/net/link_budget.hpp"
#include "waxwingnotch/net/traffic.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct bufferevent;
struct event_base;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace waxwingnotch {

/// Name and value of a header, in order.
using http_headers = std::vector<std::pair<std::string, std::string>>;

class http_server;

/// One request and its reply.
class http_exchange {
public:
    http_exchange(http_server* server, evhttp_request* request);
    ~http_exchange();  // replies 500 if there was no reply yet
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    http_exchange(http_exchange&&) = delete;
    http_exchange& operator=(http_exchange&&) = delete;

    // Request
    const std::string& method() const { return method_; }  // upper case
    const std::string& path() const { return path_; }      // URI-decoded, without the query
    const std::string& body() const { return body_; }
    std::optional<std::string> query(std::string_view name) const;
    std::optional<std::string> header(std::string_view name) const;

    // Reply
    /// Sends the reply. Later calls do nothing; the reply is discarded if the caller has disconnected.
    void reply(int status, const http_headers& headers, std::string_view body);
    bool replied() const { return replied_; }
    /// Closes the connection without a reply; to the caller this looks like a lost reply.
    void close_without_reply();
    /// Calls @p action, from the loop, if the caller closes the connection before the reply.
    void on_closed(std::function<void()> action);

private:
    friend class http_server;
    void connection_closed();
    void detach();

    http_server* server_;      // null after the reply, or once the server is destroyed
    evhttp_request* request_;  // null after the reply, or once the server is destroyed
    std::string method_;
    std::string path_;
    std::string query_;
    std::string body_;
    http_headers headers_;
    bool replied_ = false;
    std::function<void()> on_closed_;
    timer close_watch_;
};

using http_exchange_ptr = std::shared_ptr<http_exchange>;

/// HTTP server on one address.
class http_server {
public:
    explicit http_server(event_loop& loop);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// Sets the request handler. Call before listen().
    void handle(std::function<void(http_exchange_ptr)> handler) { handler_ = std::move(handler); }
    /// @param ip numeric address @param port 0: any free one
    /// @return the bound port, or `io`
    result<std::uint16_t> listen(const std::string& ip, std::uint16_t port);
    /// Closes the listening socket; open connections stay open.
    void stop_accepting();
    /// Pauses or resumes accepting; clients meanwhile wait in the queue of the socket. A server that is
    /// paused stays so, also when it has paused itself after a failed accept.
    void set_accepting(bool accepting);
    /// Answers longer bodies with 413 without reading them. Applies to connections that are accepted later.
    void limit_body(std::size_t max_bytes);
    /// Closes connections without traffic for this long. Applies to connections that are accepted later.
    void set_idle_timeout(std::int64_t timeout_ms);
    /// Counts the bytes of all connections that are accepted later.
    void count_traffic(traffic_meter& meter, traffic_class what);
    /// Counts them with @p budget too. A budget without a limit has no effect.
    void share_link(link_budget& budget) { budget_ = budget.limited() ? &budget : nullptr; }
    /// @return number of requests without a reply yet
    std::size_t open_exchanges() const { return open_exchanges_.size(); }

private:
    friend class http_exchange;
    static void dispatch(evhttp_request* request, void* self);
    static bufferevent* new_counted_connection(event_base* base, void* self);
    void count(const traffic_bytes& bytes);
    void pause_after_failed_accept();
    void update_listener();

    evhttp* http_;
    evhttp_bound_socket* socket_ = nullptr;
    std::function<void(http_exchange_ptr)> handler_;
    event_loop& loop_;
    std::set<http_exchange*> open_exchanges_;
    traffic_meter* meter_ = nullptr;  // null: bytes are not counted
    link_budget* budget_ = nullptr;   // null: there is none
    traffic_class traffic_ = traffic_class::other;
    timer accept_pause_;
    // The reasons not to accept; accepts with neither.
    bool accept_failed_ = false;    // less than a short pause ago
    bool paused_by_owner_ = false;  // by set_accepting()
};

}  // namespace waxwingnotch
