// The HTTP interface of an entry node: callers, operators, the balancer's check.
#include "entry/entry_parts.hpp"

#include "waxwingnotch/base/clock.hpp"

namespace waxwingnotch {

namespace {

http_headers json_type()
{
    return {{"Content-Type", "application/json"}};
}

}  // namespace

void entry_node::parts::handle(const http_exchange_ptr& exchange)
{
    if (handle_operator(exchange)) {
        return;
    }
    if (exchange->method() == "POST" && exchange->path().rfind(service_prefix, 0) == 0) {
        handle_caller(exchange);
    }
    else if (exchange->method() == "DELETE" && exchange->path().rfind("/v1/requests/", 0) == 0) {
        handle_cancel(exchange);
    }
    else {
        exchange->reply(404, json_type(), "{\"reason\": \"no such path\"}\n");
    }
}

bool entry_node::parts::handle_operator(const http_exchange_ptr& exchange)
{
    const std::string& path = exchange->path();
    const std::string explain = "/v1/explain/";
    if (path == "/healthz") {
        exchange->reply(phase == node_phase::serving ? 200 : 503, {}, std::string(to_string(phase)) + "\n");
    }
    else if (path == "/metrics") {
        refresh_gauges();
        exchange->reply(200, {{"Content-Type", "text/plain; version=0.0.4"}}, counters.render());
    }
    else if (path == "/v1/status") {
        exchange->reply(200, json_type(), status_page(status(), view.state(), mesh.members()));
    }
    else if (path == "/v1/log-info") {
        exchange->reply(200, json_type(), log_info_page(status(), view.state()));
    }
    else if (path.rfind(explain, 0) == 0) {
        handle_explain(exchange, path.substr(explain.size()));
    }
    else if (path == "/v1/drain" && exchange->method() == "POST") {
        stop_soon("drain request");
        exchange->reply(202, json_type(), "{\"phase\": \"draining\"}\n");
    }
    else {
        return false;
    }
    return true;
}

void entry_node::parts::refresh_gauges()
{
    const fleet_state& state = view.state();
    const auto set = [this](const char* name, const char* help, auto value) {
        counters.make_gauge(name, help).set(static_cast<std::int64_t>(value));
    };
    set("waxwingnotch_serving", "1 if the node takes new requests.", phase == node_phase::serving);
    set("waxwingnotch_in_flight", "Requests that are not answered yet.", requests.in_flight());
    set("waxwingnotch_offset", "Next log offset of the fold.", state.next_offset);
    set("waxwingnotch_log_end", "The log's next offset at the last answered read.", follower.log_end());
    set("waxwingnotch_log_reachable", "1 if the last read of the log was answered.", follower.reachable());
    set("waxwingnotch_log_appends", "Appends sent, repeats included.", appender.appends());
    set("waxwingnotch_log_append_bytes", "Bytes of those appends.", appender.bytes());
    set("waxwingnotch_log_waiting", "Records that wait for an append.", appender.waiting());
    set("waxwingnotch_peers_alive", "Entry nodes that are alive, this one included.",
        mesh.members().alive_nodes(monotonic_ms()).size());
    set("waxwingnotch_peer_bytes_out", "Bytes sent to other entry nodes.", mesh.bytes_out());
    set("waxwingnotch_inventory_version", "Inventory in force.", state.inventory_document.version);
    set("waxwingnotch_rules_version", "Rules in force.", state.rules_document.version);
    set("waxwingnotch_hosts", "Hosts on record.", state.hosts.size());
    set("waxwingnotch_claims", "Idempotency keys on record.", state.claims.size());
    set("waxwingnotch_audit_open", "Audit entries that are not sealed yet.", state.open_audit.size());
    set("waxwingnotch_audit_segments", "Sealed audit segments.", state.segments.size());
}

void entry_node::parts::handle_explain(const http_exchange_ptr& exchange, const std::string& rest)
{
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    std::string page;
    if (kind == "host") {
        page = explain_host(view.state(), name);
    }
    else if (kind == "pool") {
        page = explain_pool(view.state(), name);
    }
    else if (kind == "request") {
        page = explain_request(requests.traces(), name);
    }
    if (page.empty()) {
        exchange->reply(404, json_type(), "{\"reason\": \"this node knows no such " + kind + "\"}\n");
        return;
    }
    exchange->reply(200, json_type(), page);
}

void entry_node::parts::handle_caller(const http_exchange_ptr& exchange)
{
    auto request = read_request(*exchange);
    if (!request) {
        const bool path = request.error().code == error_code::not_found;
        caller_answer answer = make_refusal(outcome::never, request.error().message);
        answer.status = path ? 404 : 400;
        send_answer(*exchange, "", answer);
        return;
    }
    const bool pause_unnoticed = monotonic_ms() - last_tick > pause_ms;
    if (phase == node_phase::catching_up || pause_unnoticed) {
        send_answer(*exchange, "", make_refusal(outcome::not_run, "this entry node is catching up", 1'000));
        return;
    }
    requests.submit(exchange, std::move(request.value()));
}

void entry_node::parts::handle_cancel(const http_exchange_ptr& exchange)
{
    const std::string id = exchange->path().substr(std::string("/v1/requests/").size());
    if (!requests.cancel(id, "cancelled by the caller")) {
        exchange->reply(404, json_type(), "{\"reason\": \"no such request is open on this node\"}\n");
        return;
    }
    exchange->reply(202, json_type(), "{\"cancelled\": true}\n");
}

}  // namespace waxwingnotch
