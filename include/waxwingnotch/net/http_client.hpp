/// @file
/// HTTP client over evhttp. It sends each call at most once, without automatic retries, and reports
/// whether any byte of the request can have reached the server.
///
///     http_call call{.address = "127.0.0.1:80", .path = "/tasks", .body = "..."};
///     client.send(call, [](const http_answer& answer) { ... });
#pragma once

#include "waxwingnotch/net/event_loop.hpp"
#include "waxwingnotch/net/http_server.hpp"
#include "waxwingnotch/net/link_budget.hpp"
#include "waxwingnotch/net/traffic.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingnotch {

/// A request to send.
struct http_call {
    std::string method = "GET";  // GET, POST, PUT or DELETE
    std::string address;         // ip:port
    std::string path = "/";      // including the query
    http_headers headers;
    std::string body;
    std::int64_t timeout_ms = 5'000;  // from the sending
    // An answer that is arriving may take so much longer, and by what the link carries at the timeout, a
    // second at most, if its first byte has not come. Given up, it would cross the link a second time.
    std::int64_t max_extension_ms = 0;
    bool reuse_connection = false;  // may use a kept-alive connection; otherwise sends Connection: close
    traffic_class traffic = traffic_class::other;  // what its bytes count as
    // Longest wait for room on the link; it is part of the timeout. 0: as long as it takes for lists, the
    // progress and jobs of shards, registrations and the configuration, else as long as the timeout.
    std::int64_t max_wait_ms = 0;
};

/// How a call ended.
enum class call_outcome {
    answered,   // status, headers and body are valid
    failed,     // connection refused, reset or closed
    timed_out,  // no complete answer within the timeout
    not_sent,   // there was no room on the link within the longest wait, or too many calls waited
    cancelled,  // ended by cancel()
};

/// Result of a call.
struct http_answer {
    call_outcome outcome = call_outcome::failed;
    int status = 0;
    http_headers headers;
    std::string body;
    bool bytes_sent = false;  // false: no byte of the request has left this process
    bool reused = false;      // was sent over a kept-alive connection

    std::optional<std::string> header(std::string_view name) const;  // ignores case
};

/// Finds a header by its name, ignoring case.
std::optional<std::string> find_header(const http_headers& headers, std::string_view name);

using call_id = std::uint64_t;
using answer_handler = std::function<void(const http_answer&)>;

/// Sends calls and keeps idle connections per address.
class http_client {
public:
    /// Limit of a body unless the client has another. The longest answers that a node needs are pages of the
    /// store: 1 MB of records, 1.4 MB in base64. Parsed JSON takes up to 15 times its length in memory.
    static constexpr std::size_t default_answer_bytes = 4U << 20U;
    /// For `serve` and its commands: bodies of workers' answers, which are passed on as they are, and the
    /// log.
    static constexpr std::size_t long_answer_bytes = 64U << 20U;

    /// @param max_answer_bytes a call fails if the body of its answer is longer
    explicit http_client(event_loop& loop, std::size_t max_answer_bytes = default_answer_bytes);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    event_loop& loop() const { return loop_; }
    /// Counts the bytes of all calls with @p meter, also of those that fail.
    void count_traffic(traffic_meter& meter) { meter_ = &meter; }

    /// Lets calls wait while @p budget does not admit them. It also counts the bytes of all calls. A budget
    /// without a limit has no effect.
    void share_link(link_budget& budget) { budget_ = budget.limited() ? &budget : nullptr; }
    /// @return how late an answer to a call that is sent now may be because of this host's link, in ms
    std::int64_t link_delay_ms() const;
    /// @return how long a link like this host's needs for @p bytes, in ms; 0 if its rate is not known
    std::int64_t transfer_ms(std::size_t bytes) const;
    /// @return number of calls that wait for room on the link
    std::size_t waiting() const;
    /// Whether the call waits for room on the link.
    bool is_waiting(call_id id) const { return waiting_ids_.contains(id); }
    /// @return bytes of the answer so far; 0 for a call that has ended
    std::size_t received(call_id id) const;

    /// Sends @p call, or lets it wait for room on the link. It ends as `not_sent` at once if 2,000 calls of
    /// its class wait, or others with 4 MB of bodies. Calls @p done once, from the loop, unless the client is
    /// destroyed first.
    call_id send(const http_call& call, answer_handler done);
    /// Cancels a call; its handler is called with `cancelled`. Unknown ids are ignored.
    void cancel(call_id id);
    /// Closes the idle connections to @p address.
    void close_idle_connections(std::string_view address);
    /// @return number of open connections to @p address, idle ones included
    std::size_t open_connections(std::string_view address) const;

private:
    struct connection;
    struct pending_call;
    /// A call that waits for room on the link.
    struct waiting_call {
        call_id id = 0;
        std::int64_t since_ms = 0;
        http_call call;
        answer_handler done;
    };

    void dispatch(call_id id, const http_call& call, answer_handler done);
    void send_waiting();
    bool cancel_waiting(call_id id);
    void end_unsent(answer_handler done, call_outcome outcome);
    void on_timeout(call_id id);
    std::shared_ptr<connection> idle_connection(const std::string& address);
    std::shared_ptr<connection> new_connection(const std::string& address);
    void finish(call_id id, http_answer answer, bool keep_alive);
    void close_later(std::shared_ptr<connection> link);

    event_loop& loop_;
    std::size_t max_answer_bytes_;
    traffic_meter* meter_ = nullptr;  // null: bytes are not counted
    link_budget* budget_ = nullptr;   // null: no call waits
    std::array<std::deque<waiting_call>, traffic_class_count> waiting_;
    std::array<std::size_t, traffic_class_count> waiting_bytes_{};  // of their bodies
    std::set<call_id> waiting_ids_;
    // By class: when a call went in spite of the backlog.
    std::array<std::int64_t, traffic_class_count> long_wait_ended_ms_{};
    timer waiting_timer_;
    call_id next_id_ = 1;
    std::map<call_id, std::shared_ptr<pending_call>> pending_;
    std::multimap<std::string, std::shared_ptr<connection>, std::less<>> idle_;
    std::map<std::string, std::size_t, std::less<>> open_counts_;
    std::shared_ptr<bool> alive_;  // set to false by the destructor; deferred actions check it
};

}  // namespace waxwingnotch
