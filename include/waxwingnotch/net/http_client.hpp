/// @file
/// HTTP client over evhttp. It sends each call at most once: it never repeats one by itself,
/// and it tells whether any byte can have reached the other side.
///
///     http_call call{.address = "127.0.0.1:80", .path = "/tasks", .body = "..."};
///     client.send(call, [](const http_answer& answer) { ... });
#pragma once

#include "waxwingnotch/net/event_loop.hpp"
#include "waxwingnotch/net/http_server.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingnotch {

/// One call.
struct http_call {
    std::string method = "GET";  // GET, POST, PUT or DELETE
    std::string address;         // ip:port
    std::string path = "/";      // with the query
    http_headers headers;
    std::string body;
    std::int64_t timeout_ms = 5'000;
    bool reuse = false;  // may use a connection that was kept open
};

/// How a call ended.
enum class call_outcome {
    answered,   // status, headers and body are valid
    failed,     // connection refused, reset or closed
    timed_out,  // no whole answer within the timeout
    cancelled,  // by cancel()
};

/// What came of a call.
struct http_answer {
    call_outcome outcome = call_outcome::failed;
    int status = 0;
    http_headers headers;
    std::string body;
    bool bytes_sent = false;  // false: no byte of the request has left this process
    bool reused = false;      // went out over a connection that was kept open

    std::optional<std::string> header(std::string_view name) const;  // case does not matter
};

/// Finds a header without regard to case.
std::optional<std::string> find_header(const http_headers& headers, std::string_view name);

using call_id = std::uint64_t;
using answer_handler = std::function<void(const http_answer&)>;

/// Sends calls and keeps idle connections per address.
class http_client {
public:
    explicit http_client(event_loop& loop);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    /// Sends @p call. @p done runs once, from the loop, unless the client is destroyed before.
    call_id send(const http_call& call, answer_handler done);
    /// Gives up a call; its handler runs with `cancelled`. Unknown ids are ignored.
    void cancel(call_id id);
    /// Closes the idle connections to @p address.
    void forget(std::string_view address);
    /// Connections that are open to @p address, idle ones included.
    std::size_t connections(std::string_view address) const;

private:
    struct connection;
    struct pending;

    std::shared_ptr<connection> idle_connection(const std::string& address);
    std::shared_ptr<connection> new_connection(const std::string& address);
    void finish(call_id id, http_answer answer, bool keep);
    void retire(std::shared_ptr<connection> link);

    event_loop& loop_;
    call_id next_id_ = 1;
    std::map<call_id, std::shared_ptr<pending>> pending_;
    std::multimap<std::string, std::shared_ptr<connection>, std::less<>> idle_;
    std::map<std::string, std::size_t, std::less<>> open_;
    std::shared_ptr<bool> alive_;
};

}  // namespace waxwingnotch
