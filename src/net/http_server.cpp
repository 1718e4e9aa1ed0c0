#include "waxwingnotch/net/http_server.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"
#include "waxwingnotch/net/http_client.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <map>

namespace waxwingnotch {

namespace {

constexpr ev_ssize_t max_body_bytes = 64L << 20U;
constexpr ev_ssize_t max_header_bytes = 64L << 10U;
constexpr int idle_timeout_s = 600;
constexpr std::int64_t accept_pause_ms = 100;  // after a failed accept, mostly for want of descriptors

/// Servers by the handle that libevent passes to the callback of a failed accept.
std::map<void*, http_server*>& servers_by_handle()
{
    static std::map<void*, http_server*> servers;
    return servers;
}

std::string method_name(evhttp_cmd_type type)
{
    switch (type) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    default:
        return "OTHER";
    }
}

std::string decode_path(const char* path)
{
    size_t size = 0;
    char* decoded = evhttp_uridecode(path, 0, &size);
    std::string text = decoded == nullptr ? std::string() : std::string(decoded, size);
    std::free(decoded);  // NOLINT(cppcoreguidelines-no-malloc): libevent allocates with malloc
    return text;
}

}  // namespace

http_exchange::http_exchange(http_server* server, evhttp_request* request)
    : server_(server), request_(request), method_(method_name(evhttp_request_get_command(request)))
{
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
    const char* path = evhttp_uri_get_path(uri);
    path_ = decode_path(path == nullptr ? "/" : path);
    const char* query = evhttp_uri_get_query(uri);
    query_ = query == nullptr ? "" : query;
    evbuffer* input = evhttp_request_get_input_buffer(request);
    body_.resize(evbuffer_get_length(input));
    evbuffer_copyout(input, body_.data(), body_.size());
    const evkeyvalq* headers = evhttp_request_get_input_headers(request);
    for (const evkeyval* item = headers->tqh_first; item != nullptr; item = item->next.tqe_next) {
        headers_.emplace_back(item->key, item->value);
    }
    server->open_exchanges_.insert(this);
}

http_exchange::~http_exchange()
{
    if (!replied_) {
        reply(500, {}, "no answer");
    }
}

std::optional<std::string> http_exchange::query(std::string_view name) const
{
    evkeyvalq parameters{};
    if (evhttp_parse_query_str(query_.c_str(), &parameters) != 0) {
        return std::nullopt;
    }
    const char* value = evhttp_find_header(&parameters, std::string(name).c_str());
    std::optional<std::string> found;
    if (value != nullptr) {
        found = value;
    }
    evhttp_clear_headers(&parameters);
    return found;
}

std::optional<std::string> http_exchange::header(std::string_view name) const
{
    return find_header(headers_, name);
}

void http_exchange::detach()
{
    if (server_ != nullptr) {
        server_->open_exchanges_.erase(this);
        server_ = nullptr;
    }
    request_ = nullptr;
    replied_ = true;
    on_closed_ = nullptr;
    close_watch_.cancel();
}

void http_exchange::reply(int status, const http_headers& headers, std::string_view body)
{
    if (replied_) {
        return;
    }
    evhttp_request* request = request_;
    detach();
    if (request == nullptr) {
        return;
    }
    evkeyvalq* out = evhttp_request_get_output_headers(request);
    for (const auto& [name, value] : headers) {
        evhttp_add_header(out, name.c_str(), value.c_str());
    }
    evbuffer* content = evbuffer_new();
    evbuffer_add(content, body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, content);
    evbuffer_free(content);
}

void http_exchange::close_without_reply()
{
    if (replied_) {
        return;
    }
    evhttp_request* request = request_;
    detach();
    evhttp_connection* connection = request == nullptr ? nullptr : evhttp_request_get_connection(request);
    if (connection != nullptr) {
        evhttp_connection_free(connection);
    }
}

void http_exchange::on_closed(std::function<void()> action)
{
    evhttp_connection* connection = request_ == nullptr ? nullptr : evhttp_request_get_connection(request_);
    if (connection == nullptr) {
        return;
    }
    on_closed_ = std::move(action);
    // evhttp does not read while a request is being handled, so it does not notice the close. Enabling
    // reads would abort the process on a pipelined request.
    const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    close_watch_ = server_->loop_.on_close(fd, [this] { connection_closed(); });
}

void http_exchange::connection_closed()
{
    const std::function<void()> action = std::move(on_closed_);
    on_closed_ = nullptr;
    if (action) {
        action();
    }
}

http_server::http_server(event_loop& loop) : http_(evhttp_new(loop.native())), loop_(loop)
{
    evhttp_set_max_body_size(http_, max_body_bytes);
    evhttp_set_max_headers_size(http_, max_header_bytes);
    evhttp_set_timeout(http_, idle_timeout_s);
    evhttp_set_allowed_methods(http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
    evhttp_set_gencb(http_, dispatch, this);
    servers_by_handle()[http_] = this;
}

http_server::~http_server()
{
    // evhttp_free() frees the requests of open connections, so their exchanges must not use them any more.
    for (http_exchange* exchange : std::set<http_exchange*>(open_exchanges_)) {
        exchange->detach();
    }
    servers_by_handle().erase(http_);
    evhttp_free(http_);
}

void http_server::dispatch(evhttp_request* request, void* self)
{
    auto* server = static_cast<http_server*>(self);
    auto exchange = std::make_shared<http_exchange>(server, request);
    server->handler_(exchange);
}

result<std::uint16_t> http_server::listen(const std::string& ip, std::uint16_t port)
{
    socket_ = evhttp_bind_socket_with_handle(http_, ip.c_str(), port);
    if (socket_ == nullptr) {
        return fail(error_code::io,
                    "cannot listen on " + ip + ":" + std::to_string(port) + ": " + std::strerror(errno));
    }
    // Without this callback, libevent tries again at once and writes a message for each failure.
    evconnlistener_set_error_cb(evhttp_bound_socket_get_listener(socket_), [](evconnlistener*, void* handle) {
        servers_by_handle().at(handle)->pause_after_failed_accept();
    });
    update_listener();
    sockaddr_storage bound{};
    socklen_t size = sizeof bound;
    auto* address = reinterpret_cast<sockaddr*>(&bound);
    if (getsockname(evhttp_bound_socket_get_fd(socket_), address, &size) != 0) {
        return fail(error_code::io, std::string("cannot read the bound port: ") + std::strerror(errno));
    }
    const in_port_t network_port = bound.ss_family == AF_INET6
                                       ? reinterpret_cast<const sockaddr_in6*>(&bound)->sin6_port
                                       : reinterpret_cast<const sockaddr_in*>(&bound)->sin_port;
    return ntohs(network_port);
}

void http_server::pause_after_failed_accept()
{
    log_event(log_level::warning, "accept_failed", {{"reason", std::strerror(errno)}});
    accept_failed_ = true;
    update_listener();
    accept_pause_ = loop_.after(accept_pause_ms, [this] {
        accept_failed_ = false;
        update_listener();
    });
}

void http_server::set_accepting(bool accepting)
{
    paused_by_owner_ = !accepting;
    update_listener();
}

void http_server::update_listener()
{
    if (socket_ == nullptr) {
        return;
    }
    evconnlistener* listener = evhttp_bound_socket_get_listener(socket_);
    accept_failed_ || paused_by_owner_ ? evconnlistener_disable(listener) : evconnlistener_enable(listener);
}

void http_server::limit_body(std::size_t max_bytes)
{
    evhttp_set_max_body_size(http_, static_cast<ev_ssize_t>(max_bytes));
}

void http_server::set_idle_timeout(std::int64_t timeout_ms)
{
    constexpr std::int64_t us_per_ms = 1'000;
    constexpr std::int64_t ms_per_s = 1'000;
    const timeval timeout{timeout_ms / ms_per_s, timeout_ms % ms_per_s * us_per_ms};
    evhttp_set_timeout_tv(http_, &timeout);
}

bufferevent* http_server::new_counted_connection(event_base* base, void* self)
{
    bufferevent* connection = bufferevent_socket_new(base, -1, 0);  // evhttp sets the descriptor and options
    if (connection == nullptr) {
        return nullptr;
    }
    evbuffer_add_cb(
        bufferevent_get_input(connection),
        [](evbuffer*, const evbuffer_cb_info* info, void* argument) {
            static_cast<http_server*>(argument)->count({.sent = 0, .received = info->n_added});
        },
        self);
    evbuffer_add_cb(
        bufferevent_get_output(connection),
        [](evbuffer*, const evbuffer_cb_info* info, void* argument) {
            static_cast<http_server*>(argument)->count({.sent = info->n_deleted, .received = 0});
        },
        self);
    return connection;
}

void http_server::count(const traffic_bytes& bytes)
{
    if (bytes.sent == 0 && bytes.received == 0) {
        return;  // the other end of the buffer has changed
    }
    meter_->add(traffic_, bytes);
    if (budget_ != nullptr) {
        budget_->add(traffic_, bytes, monotonic_ms());
    }
}

void http_server::count_traffic(traffic_meter& meter, traffic_class what)
{
    meter_ = &meter;
    traffic_ = what;
    evhttp_set_bevcb(http_, new_counted_connection, this);
}

void http_server::stop_accepting()
{
    accept_pause_.cancel();
    accept_failed_ = false;
    if (socket_ != nullptr) {
        evhttp_del_accept_socket(http_, socket_);
        socket_ = nullptr;
    }
}

}  // namespace waxwingnotch
