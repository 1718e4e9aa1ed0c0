#include "waxwingnotch/net/http_client.hpp"

#include "waxwingnotch/base/address.hpp"
#include "waxwingnotch/base/clock.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>

#include <algorithm>
#include <cstring>

namespace waxwingnotch {

namespace {

// Same as the limit of http_server; longer headers fail the call.
constexpr ev_ssize_t max_header_bytes = 64L << 10U;
// Per address. A burst of parallel calls, as at the takeover of several shards, would leave its connections
// open for good, and with them the descriptors that callers need.
constexpr std::size_t max_idle_connections = 8;
constexpr std::size_t head_bytes = 150;  // of a call, beside its path and body
// By which an answer without its first byte may be late because of the link. A server that is silent has to
// be noticed.
constexpr std::int64_t max_link_extension_ms = 1'000;

evhttp_cmd_type to_command(std::string_view method)
{
    if (method == "POST") {
        return EVHTTP_REQ_POST;
    }
    if (method == "PUT") {
        return EVHTTP_REQ_PUT;
    }
    if (method == "DELETE") {
        return EVHTTP_REQ_DELETE;
    }
    return EVHTTP_REQ_GET;
}

/// Copies a response, if there is one, to @p answer.
/// @param request null if the call failed
/// @return whether the connection can be used again
bool read_response(evhttp_request* request, http_answer& answer)
{
    const int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
    if (status == 0) {
        return false;
    }
    answer.outcome = call_outcome::answered;
    answer.status = status;
    const evkeyvalq* headers = evhttp_request_get_input_headers(request);
    for (const evkeyval* it = headers->tqh_first; it != nullptr; it = it->next.tqe_next) {
        answer.headers.emplace_back(it->key, it->value);
    }
    evbuffer* input = evhttp_request_get_input_buffer(request);
    answer.body.resize(evbuffer_get_length(input));
    evbuffer_copyout(input, answer.body.data(), answer.body.size());
    const auto connection_header = answer.header("Connection");
    return !connection_header || strcasecmp(connection_header->c_str(), "close") != 0;
}

}  // namespace

std::optional<std::string> find_header(const http_headers& headers, std::string_view name)
{
    const std::string wanted(name);
    for (const auto& [key, value] : headers) {
        if (strcasecmp(key.c_str(), wanted.c_str()) == 0) {
            return value;
        }
    }
    return std::nullopt;
}

std::optional<std::string> http_answer::header(std::string_view name) const
{
    return find_header(headers, name);
}

/// A connection; it carries one call at a time.
struct http_client::connection {
    http_client* client = nullptr;
    evhttp_connection* handle = nullptr;
    std::string address;
    bool bytes_sent = false;                       // of the current call
    traffic_class traffic = traffic_class::other;  // of the current call
    std::size_t received = 0;                      // bytes of its answer
    std::size_t expected = 0;  // of these, that the budget of the link has counted already
    std::size_t unsent = 0;    // bytes of the call that it has counted before their sending

    connection() = default;
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;
    ~connection()
    {
        if (handle != nullptr) {
            evhttp_connection_set_closecb(handle, nullptr, nullptr);
            evhttp_connection_free(handle);
        }
    }
};

/// A call in flight.
struct http_client::pending_call {
    http_client* client = nullptr;  // null: the request callback does nothing
    call_id id = 0;
    std::shared_ptr<connection> link;
    evhttp_request* request = nullptr;
    bool reused = false;
    answer_handler done;
    timer timeout;
    std::int64_t timeout_ms = 0;
    std::int64_t extension_left_ms = 0;
    bool link_extended = false;       // because of what the link had to carry
    std::size_t received_before = 0;  // bytes of the answer when the timer was started
};

http_client::http_client(event_loop& loop, std::size_t max_answer_bytes)
    : loop_(loop), max_answer_bytes_(max_answer_bytes), alive_(std::make_shared<bool>(true))
{
}

http_client::~http_client()
{
    *alive_ = false;
    for (auto& [id, call] : pending_) {
        // Freeing the connection runs the callback of its request; it returns at once if the client is null.
        call->client = nullptr;
        if (call->request != nullptr) {
            evhttp_cancel_request(call->request);
        }
    }
    pending_.clear();
    idle_.clear();
}

std::shared_ptr<http_client::connection> http_client::idle_connection(const std::string& address)
{
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return nullptr;
    }
    std::shared_ptr<connection> link = found->second;
    idle_.erase(found);
    return link;
}

std::shared_ptr<http_client::connection> http_client::new_connection(const std::string& address)
{
    const endpoint target = parse_endpoint(address).value_or(endpoint{});
    auto link = std::make_shared<connection>();
    link->client = this;
    link->address = address;
    link->handle = evhttp_connection_base_new(loop_.native(), nullptr, target.ip.c_str(), target.port);
    // evhttp must not reconnect by itself.
    evhttp_connection_set_retries(link->handle, 0);
    evhttp_connection_set_max_body_size(link->handle, static_cast<ev_ssize_t>(max_answer_bytes_));
    evhttp_connection_set_max_headers_size(link->handle, max_header_bytes);
    // evhttp fills the output buffer only after it has connected, so bytes that leave the buffer were
    // written to the socket. When it resets a failed connection, it drains the unsent bytes after closing
    // the descriptor; those are not counted.
    evbuffer* output = bufferevent_get_output(evhttp_connection_get_bufferevent(link->handle));
    evbuffer_add_cb(
        output,
        [](evbuffer*, const evbuffer_cb_info* info, void* argument) {
            auto* self = static_cast<connection*>(argument);
            const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(self->handle));
            if (info->n_deleted == 0 || fd < 0) {
                return;
            }
            self->bytes_sent = true;
            if (self->client->meter_ != nullptr) {
                self->client->meter_->add(self->traffic, {.sent = info->n_deleted, .received = 0});
            }
            if (self->client->budget_ != nullptr) {
                const std::size_t counted = std::min(self->unsent, info->n_deleted);
                self->unsent -= counted;
                self->client->budget_->add(self->traffic, {.sent = info->n_deleted - counted, .received = 0},
                                           monotonic_ms());
            }
        },
        link.get());
    evbuffer_add_cb(
        bufferevent_get_input(evhttp_connection_get_bufferevent(link->handle)),
        [](evbuffer*, const evbuffer_cb_info* info, void* argument) {
            auto* self = static_cast<connection*>(argument);
            if (info->n_added == 0) {
                return;
            }
            const std::size_t unexpected_before = self->received - std::min(self->received, self->expected);
            self->received += info->n_added;
            const std::size_t unexpected = self->received - std::min(self->received, self->expected);
            if (self->client->meter_ != nullptr) {
                self->client->meter_->add(self->traffic, {.sent = 0, .received = info->n_added});
            }
            if (self->client->budget_ != nullptr) {
                self->client->budget_->add(
                    self->traffic, {.sent = 0, .received = unexpected - unexpected_before}, monotonic_ms());
            }
        },
        link.get());
    ++open_counts_[address];
    return link;
}

void http_client::close_later(std::shared_ptr<connection> link)
{
    const auto count = open_counts_.find(link->address);
    if (count != open_counts_.end() && --count->second == 0) {
        open_counts_.erase(count);
    }
    // A callback of this connection may be running: free it from the loop.
    loop_.defer([link = std::move(link)]() mutable { link.reset(); });
}

std::size_t http_client::received(call_id id) const
{
    const auto found = pending_.find(id);
    return found == pending_.end() ? 0 : found->second->link->received;
}

void http_client::dispatch(call_id id, const http_call& call, answer_handler done)
{
    auto item = std::make_shared<pending_call>();
    item->client = this;
    item->id = id;
    item->timeout_ms = call.timeout_ms;
    item->extension_left_ms = call.max_extension_ms;
    item->done = std::move(done);
    item->link = call.reuse_connection ? idle_connection(call.address) : nullptr;
    item->reused = item->link != nullptr;
    if (!item->link) {
        item->link = new_connection(call.address);
    }
    connection& link = *item->link;
    link.bytes_sent = false;
    link.traffic = call.traffic;
    link.received = 0;
    link.unsent = 0;
    if (budget_ != nullptr) {
        // Counted now, as calls of the same turn are sent before the first byte of them leaves.
        link.unsent = call.body.size() + call.path.size() + head_bytes;
        budget_->add(call.traffic, {.sent = link.unsent, .received = 0}, monotonic_ms());
    }
    link.expected = budget_ == nullptr ? 0 : budget_->expect_answer(call.traffic, monotonic_ms());
    evhttp_connection_set_closecb(link.handle, nullptr, nullptr);
    constexpr std::int64_t margin_s = 2;  // evhttp's timeout comes after the call's own timer
    evhttp_connection_set_timeout(link.handle, static_cast<int>(call.timeout_ms / 1000 + margin_s));

    item->request = evhttp_request_new(
        [](evhttp_request* request, void* argument) {
            auto* self = static_cast<pending_call*>(argument);
            self->request = nullptr;
            if (self->client == nullptr) {
                return;
            }
            http_answer answer;
            answer.bytes_sent = self->link->bytes_sent;
            answer.reused = self->reused;
            const bool keep_alive = read_response(request, answer);
            self->client->finish(self->id, std::move(answer), keep_alive);
        },
        item.get());

    evkeyvalq* headers = evhttp_request_get_output_headers(item->request);
    evhttp_add_header(headers, "Host", call.address.c_str());
    if (!call.reuse_connection) {
        evhttp_add_header(headers, "Connection", "close");
    }
    for (const auto& [name, value] : call.headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(item->request), call.body.data(), call.body.size());

    pending_[id] = item;
    item->timeout = loop_.after(call.timeout_ms, [this, id] { on_timeout(id); });
    if (evhttp_make_request(link.handle, item->request, to_command(call.method), call.path.c_str()) != 0) {
        // evhttp has freed the request already.
        item->request = nullptr;
        loop_.defer([this, id, alive = alive_] {
            if (*alive) {
                finish(id, {}, false);
            }
        });
    }
}

/// Ends a call, unless its answer may take longer: it is arriving, or the link has more to carry.
void http_client::on_timeout(call_id id)
{
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
        return;
    }
    pending_call& call = *found->second;
    if (call.link->received > call.received_before && call.extension_left_ms > 0) {
        call.received_before = call.link->received;
        const std::int64_t longer_ms = std::min(call.timeout_ms, call.extension_left_ms);
        call.extension_left_ms -= longer_ms;
        call.timeout = loop_.after(longer_ms, [this, id] { on_timeout(id); });
        return;
    }
    const std::int64_t link_ms = std::min({link_delay_ms(), max_link_extension_ms, call.extension_left_ms});
    if (link_ms > 0 && !call.link_extended) {
        call.link_extended = true;
        call.extension_left_ms -= link_ms;
        call.timeout = loop_.after(link_ms, [this, id] { on_timeout(id); });
        return;
    }
    http_answer answer;
    answer.outcome = call_outcome::timed_out;
    answer.bytes_sent = call.link->bytes_sent;
    answer.reused = call.reused;
    finish(id, std::move(answer), false);
}

void http_client::finish(call_id id, http_answer answer, bool keep_alive)
{
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
        return;
    }
    const std::shared_ptr<pending_call> item = found->second;
    pending_.erase(found);
    item->timeout.cancel();
    if (budget_ != nullptr && answer.outcome == call_outcome::answered) {
        budget_->on_answer(item->link->traffic, item->link->expected, item->link->received, monotonic_ms());
    }
    if (budget_ != nullptr && answer.outcome == call_outcome::failed && item->link->received == 0) {
        budget_->on_refused(item->link->traffic, item->link->expected, monotonic_ms());
    }
    if (item->request != nullptr) {
        item->client = nullptr;
        evhttp_cancel_request(item->request);
        item->request = nullptr;
    }
    if (keep_alive && idle_.count(item->link->address) < max_idle_connections) {
        connection* link = item->link.get();
        evhttp_connection_set_closecb(
            link->handle,
            [](evhttp_connection*, void* argument) {
                auto* self = static_cast<connection*>(argument);
                self->client->loop_.defer([client = self->client, alive = self->client->alive_, self] {
                    if (!*alive) {
                        return;
                    }
                    for (auto it = client->idle_.begin(); it != client->idle_.end(); ++it) {
                        if (it->second.get() == self) {
                            client->close_later(it->second);
                            client->idle_.erase(it);
                            return;
                        }
                    }
                });
            },
            link);
        idle_.emplace(link->address, item->link);
    }
    else {
        close_later(item->link);
    }
    item->link.reset();
    // The handler may destroy the client: it runs from the loop, and nothing uses the client after it.
    loop_.defer([done = std::move(item->done), answer = std::move(answer), alive = alive_, item] {
        if (*alive) {
            done(answer);
        }
    });
}

void http_client::cancel(call_id id)
{
    if (cancel_waiting(id)) {
        return;
    }
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
        return;
    }
    http_answer answer;
    answer.outcome = call_outcome::cancelled;
    answer.bytes_sent = found->second->link->bytes_sent;
    answer.reused = found->second->reused;
    finish(id, std::move(answer), false);
}

void http_client::close_idle_connections(std::string_view address)
{
    const auto [begin, end] = idle_.equal_range(address);
    for (auto it = begin; it != end; ++it) {
        close_later(it->second);
    }
    idle_.erase(begin, end);
}

std::size_t http_client::open_connections(std::string_view address) const
{
    const auto found = open_counts_.find(address);
    return found == open_counts_.end() ? 0 : found->second;
}

}  // namespace waxwingnotch
