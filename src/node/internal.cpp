/// HTTP interface between entry nodes: queries about shards, and a relay to the store for nodes that cannot
/// reach it.
#include "documents.hpp"
#include "node/node_state.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/json_fields.hpp"
#include "waxwingnotch/base/log.hpp"
#include "waxwingnotch/base/rejected_input.hpp"

#include <algorithm>
#include <charconv>
#include <limits>

namespace waxwingnotch {

namespace {

constexpr int status_bad_gateway = 502;
constexpr std::int64_t max_relay_ms = 5'000;

std::int64_t parse_integer(std::string_view text, std::int64_t fallback)
{
    std::int64_t value = fallback;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// @return the value of @p name in the query of @p path, without percent-decoding: ids and queue names need
///         none
std::string query_value(std::string_view path, std::string_view name)
{
    std::size_t at = path.find('?');
    while (at != std::string_view::npos) {
        const std::string_view rest = path.substr(at + 1);
        const std::string_view pair = rest.substr(0, rest.find('&'));
        if (pair.starts_with(name) && pair.size() > name.size() && pair[name.size()] == '=') {
            return std::string(pair.substr(name.size() + 1));
        }
        at = path.find('&', at + 1);
    }
    return {};
}

/// Answers a query that needs no other call.
owner_reply answer_from_books(const shard_owner& owner, const std::string& path,
                              const std::function<std::string(std::string_view)>& query)
{
    if (path == "/shard/job") {
        const std::string id = query("id");
        if (const std::optional<int> other = owner.core().forwarded_to(id)) {
            return {true, status_other_shard, std::to_string(*other)};
        }
        const std::optional<job_state> state = owner.core().state_of(id);
        if (state) {
            return {true, 200, adapter::encode_job_state(*state)};
        }
        // From the age of this node's knowledge, the querying node sees whether the job may have been stored
        // since.
        return {true, 404, std::to_string(monotonic_ms() - owner.complete_until_ms())};
    }
    if (path == "/shard/pending") {
        if (!owner.up_to_date()) {
            return {true, status_not_owner, {}};
        }
        return {true, 200, std::to_string(owner.core().pending(query("queue")))};
    }
    if (path == "/shard/load") {
        const service_demand demand = owner.core().demand_of(query("service"));
        const nlohmann::json body{{"epoch", owner.epoch()},
                                  {"waiting_cpu_ms", demand.waiting_cpu_ms},
                                  {"running_cpu_milli", demand.running_cpu_milli},
                                  {"running_memory_mb", demand.running_memory_mb},
                                  {"min_workers", demand.min_workers},
                                  {"busy", demand.busy}};
        return {true, 200, write_json(body)};
    }
    return {true, 404, {}};
}

owner_reply encode_drain_state(const shard_owner& owner, const drain_state& state)
{
    const nlohmann::json body{{"epoch", owner.epoch()},     {"known", state.known},
                              {"runs", state.runs},         {"serving", state.serving},
                              {"unstored", state.unstored}, {"stopping_ms", state.stopping_ms}};
    return {true, 200, write_json(body)};
}

/// Confirms by the store that this node owns the shard, for a worker that cannot be asked.
void confirm_by_store(node_state& node, int shard, std::function<void(bool)> done)
{
    node.store->owners(
        shard_group::options().group, [&node, shard, done = std::move(done)](const owners_result& answer) {
            done(answer.status == store_status::ok &&
                 std::any_of(answer.rows.begin(), answer.rows.end(), [&](const owner_row& row) {
                     return row.partition == shard &&
                            row.member.substr(0, row.member.find('/')) == node.settings.internal_address;
                 }));
        });
}

/// Answers what is left on a worker. Its host may be taken on this answer, so the ownership is confirmed
/// first, by a call that is sent after the question arrived: an owner that has been replaced knows nothing of
/// the runs of the next one.
void answer_drain_query(node_state& node, int shard, const std::string& worker,
                        std::function<void(const owner_reply&)> done)
{
    const shard_owner& owner = *node.loaded_shard(shard);
    const drain_state state = owner.core().drain_of(worker, monotonic_ms());
    if (!may_take_host(state) && !state.empty()) {
        done(encode_drain_state(owner, state));
        return;
    }
    const auto answer = [&node, shard, worker, epoch = owner.epoch(),
                         done = std::move(done)](bool confirmed, std::size_t listed_runs) {
        const shard_owner* present = node.loaded_shard(shard);
        if (!confirmed || present == nullptr || present->epoch() != epoch) {
            log_event(log_level::info, "drain_unconfirmed",
                      {{"shard", shard}, {"epoch", epoch}, {"worker", worker}});
            done({true, status_not_owner, {}});
            return;
        }
        drain_state confirmed_state = present->core().drain_of(worker, monotonic_ms());
        confirmed_state.runs = std::max(confirmed_state.runs, listed_runs);
        done(encode_drain_state(*present, confirmed_state));
    };
    const std::optional<poll_effect> check = owner.core().ownership_check(worker);
    if (!check) {
        confirm_by_store(node, shard, [answer](bool confirmed) { answer(confirmed, 0); });
        return;
    }
    node.workers->poll(check->worker, check->order, [answer](const poll_answer& list) {
        answer(list.outcome == order_result::ok, list.running.size());
    });
}

}  // namespace

node_state::node_state(node_settings settings_in)
    : settings(std::move(settings_in)), link(settings.link_kbps), budget(budgeted_kbps(settings)),
      client(loop), transport(client)
{
    client.count_traffic(traffic);
    client.share_link(budget);
    transport.set_address(settings.store_address);
}

batch_appender& node_state::job_appender(int shard)
{
    auto& slot = job_appenders[shard];
    if (!slot) {
        slot = std::make_unique<batch_appender>(*store, jobs_topic, shard);
    }
    return *slot;
}

shard_owner* node_state::loaded_shard(int partition) const
{
    const auto found = shards.find(partition);
    return found != shards.end() && found->second->loaded() ? found->second.get() : nullptr;
}

void answer_shard_query(node_state& node, int shard, const std::string& path,
                        const std::function<std::string(std::string_view)>& query,
                        std::function<void(const owner_reply&)> done)
{
    shard_owner* owner = node.loaded_shard(shard);
    if (owner == nullptr) {
        done({true, status_not_owner, {}});
        return;
    }
    if (path != "/shard/close") {
        done(answer_from_books(*owner, path, query));
        return;
    }
    const std::string worker = query("worker");
    if (const std::int64_t for_ms = parse_integer(query("ms"), 0); for_ms > 0) {
        owner->drain_worker(worker, for_ms, query("stop") == "1" ? leftover_runs::stop : leftover_runs::keep);
    }
    answer_drain_query(node, shard, worker, std::move(done));
}

void query_owner(node_state& node, const std::string& method, int shard, const std::string& path,
                 std::int64_t timeout_ms, std::function<void(const owner_reply&)> done)
{
    if (node.shards.contains(shard)) {
        const std::string path_only = path.substr(0, path.find('?'));
        answer_shard_query(
            node, shard, path_only, [&](std::string_view name) { return query_value(path, name); },
            std::move(done));
        return;
    }
    const std::string address = node.group ? node.group->owner_of(shard) : std::string();
    if (address.empty()) {
        if (node.group) {
            node.group->refresh_owners();
        }
        done({});
        return;
    }
    const http_call call{.method = method,
                         .address = address,
                         .path = path + (path.find('?') == std::string::npos ? "?" : "&") +
                                 "shard=" + std::to_string(shard),
                         .headers = {},
                         .body = {},
                         .timeout_ms = timeout_ms,
                         .reuse_connection = true,
                         .traffic = traffic_class::peers};
    call_owner(node, call, [done = std::move(done)](const http_answer& answer) {
        done({answer.outcome == call_outcome::answered, answer.status, answer.body});
    });
}

void query_job(node_state& node, int shard, const std::string& id, std::int64_t timeout_ms,
               std::function<void(const job_answer&)> done)
{
    query_owner(node, "GET", shard, "/shard/job?id=" + id, timeout_ms,
                [done = std::move(done)](const owner_reply& reply) {
                    const std::int64_t now = monotonic_ms();
                    job_answer answer;
                    if (reply.answered && reply.status == 200) {
                        answer = {.answered = true, .known = true, .state = reply.body};
                    }
                    else if (reply.answered && reply.status == status_other_shard) {
                        const std::int64_t other = parse_integer(reply.body, -1);
                        answer.answered = answer.known = other >= 0;
                        answer.moved_to = static_cast<int>(other);
                    }
                    else if (reply.answered && reply.status == 404) {
                        answer = {.answered = true,
                                  .complete_until_ms = now - parse_integer(reply.body, now)};
                    }
                    done(answer);
                });
}

void call_owner(node_state& node, const http_call& call, answer_handler done)
{
    node.client.send(call,
                     [&node, address = call.address, done = std::move(done)](const http_answer& answer) {
                         const bool answered = answer.outcome == call_outcome::answered;
                         if (!answered) {
                             node.client.close_idle_connections(address);
                         }
                         if (!answered || answer.status == status_not_owner) {
                             node.group->refresh_owners();
                         }
                         done(answer);
                     });
}

void post_to_peer(node_state& node, const std::string& address, const std::string& path, std::string body,
                  std::function<void(bool)> done)
{
    const http_call call{.method = "POST",
                         .address = address,
                         .path = path,
                         .headers = {},
                         .body = std::move(body),
                         .timeout_ms = peer_timeout_ms,
                         .reuse_connection = true,
                         .traffic = traffic_class::peers};
    node.client.send(call, [done = std::move(done)](const http_answer& answer) {
        done(answer.outcome == call_outcome::answered && answer.status == 200);
    });
}

void internal_api::handle(const http_exchange_ptr& exchange)
{
    const std::string& path = exchange->path();
    if (path == store_transport::relay_path) {
        relay(exchange);
        return;
    }
    if (path == "/group/join") {
        node_.group->join_now();
        exchange->reply(200, {}, "");
        return;
    }
    if (path.starts_with("/shard/")) {
        handle_shard(exchange);
        return;
    }
    if (path == relayed_starts_path) {
        node_.starts.pass_on(exchange);
        return;
    }
    if (path == relayed_poll_path || path == relayed_stop_path) {
        relay_to_worker(node_, exchange);
        return;
    }
    exchange->reply(404, {}, "unknown path");
}

std::string encode_ends(const std::vector<ended_row>& ends)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const ended_row& row : ends) {
        rows.push_back({row.task, row.run, static_cast<int>(row.kind), row.checkpoint});
    }
    return write_json(rows);
}

/// Reads what encode_ends() has written.
/// @return nothing if a row cannot be read
std::optional<std::vector<ended_row>> decode_ends(const nlohmann::json& rows)
{
    if (!rows.is_array()) {
        return std::nullopt;
    }
    std::vector<ended_row> ends;
    for (const nlohmann::json& row : rows) {
        constexpr std::size_t fields = 4;
        if (!row.is_array() || row.size() < fields || !row[0].is_string() || !row[3].is_string()) {
            return std::nullopt;
        }
        const auto run = integer_within(row[1], 0, std::numeric_limits<std::uint32_t>::max());
        const auto kind = integer_within(row[2], 0, static_cast<int>(end_kind::gang_incomplete));
        if (!run || !kind) {
            return std::nullopt;
        }
        ends.push_back({.number = 0,
                        .task = row[0].get<std::string>(),
                        .run = static_cast<std::uint32_t>(*run),
                        .kind = static_cast<end_kind>(*kind),
                        .checkpoint = row[3].get<std::string>()});
    }
    return ends;
}

void apply_reported_ends(shard_owner& owner, const std::vector<ended_row>& ends, std::int64_t from_epoch,
                         std::int64_t age_ms, std::int64_t stalled_ms)
{
    const std::size_t applied = owner.report_ends(ends);
    log_event(log_level::info, "ends_reported",
              {{"shard", owner.partition()},
               {"epoch", owner.epoch()},
               {"from_epoch", from_epoch},
               {"ends", ends.size()},
               {"applied", applied},
               {"age_ms", age_ms},
               {"stalled_ms", stalled_ms}});
}

void internal_api::accept_ends(const http_exchange_ptr& exchange)
{
    const int shard = static_cast<int>(parse_integer(exchange->query("shard").value_or(""), -1));
    shard_owner* owner = node_.loaded_shard(shard);
    if (owner == nullptr) {
        exchange->reply(status_not_owner, {}, "");
        return;
    }
    const auto document = read_json(exchange->body());
    std::optional<std::vector<ended_row>> ends;
    if (document) {
        ends = decode_ends(document.value());
    }
    if (!ends) {
        note_rejected_input(input_source::entry_node, "/shard/ends",
                            document ? "an end is unreadable" : document.error().message);
        exchange->reply(400, {}, "the ends cannot be read");
        return;
    }
    // Nodes of earlier versions do not send these.
    const auto number = [&](const char* name) {
        return parse_integer(exchange->query(name).value_or(""), -1);
    };
    apply_reported_ends(*owner, *ends, number("epoch"), number("age_ms"), number("stalled_ms"));
    exchange->reply(200, {}, "");
}

/// Stores the record of a job or a cancel that another node has accepted.
void internal_api::accept_record(const http_exchange_ptr& exchange)
{
    const int shard = static_cast<int>(parse_integer(exchange->query("shard").value_or(""), -1));
    if (!node_.shards.contains(shard)) {
        exchange->reply(status_not_owner, {}, "");
        return;
    }
    const std::string key = exchange->query("key").value_or("");
    const bool suffix = key.ends_with(cancel_key_suffix) || key.ends_with(rerouted_key_suffix);
    if (!is_job_id(suffix ? key.substr(0, key.size() - 1) : key) || exchange->body().empty()) {
        exchange->reply(400, {}, "expected a key of a job or of a cancel, and a record");
        return;
    }
    node_.job_appender(shard).append(
        {.key = key, .value = exchange->body(), .offset = -1},
        [this, shard, exchange, sent_ms = monotonic_ms()](store_status outcome) {
            const std::int64_t now = monotonic_ms();
            const bool elsewhere =
                node_.submission_routes[shard].append_elsewhere(node_.budget.backlog_ms(now), now - sent_ms);
            exchange->reply(status_of_stored_record(outcome), {}, elsewhere ? append_elsewhere_word : "");
        });
}

void internal_api::handle_shard(const http_exchange_ptr& exchange)
{
    if (exchange->path() == submit_path) {
        accept_record(exchange);
        return;
    }
    if (exchange->path() == "/shard/ends") {
        accept_ends(exchange);
        return;
    }
    const int shard = static_cast<int>(parse_integer(exchange->query("shard").value_or(""), -1));
    if (exchange->path() == "/shard/release") {
        node_.release_shard(shard, parse_integer(exchange->query("epoch").value_or(""), 0));
        exchange->reply(200, {}, "");
        // The next owner has read the shard. Each run whose end it does not know may start again.
        send_ends(node_, shard, exchange->query("owner").value_or(""));
        return;
    }
    answer_shard_query(
        node_, shard, exchange->path(),
        [&](std::string_view name) { return exchange->query(name).value_or(""); },
        [exchange](const owner_reply& answer) {
            exchange->reply(answer.status, {{"Content-Type", "application/json"}}, answer.body);
        });
}

void ask_peer_report(node_state& node, const std::string& address,
                     std::function<void(std::optional<shard_group::peer_report>)> done)
{
    const http_call call{.method = "POST",
                         .address = address,
                         .path = store_transport::relay_path,
                         .headers = {},
                         .body = {},
                         .timeout_ms = peer_timeout_ms,
                         .reuse_connection = true,
                         .traffic = traffic_class::peers};
    node.client.send(call, [done = std::move(done)](const http_answer& answer) {
        if (answer.outcome != call_outcome::answered || answer.status != 200) {
            done(std::nullopt);
            return;
        }
        const auto document = read_json(answer.body);
        const nlohmann::json body = document ? document.value() : nlohmann::json();
        const auto silent_ms = integer_or(body, "store_silent_ms", -1);
        if (silent_ms < 0 || !body.contains("owned") || !body["owned"].is_array()) {
            done(std::nullopt);
            return;
        }
        shard_group::peer_report report{.store_silent_ms = silent_ms, .owned = {}};
        for (const nlohmann::json& shard : body["owned"]) {
            const auto number = integer_within(shard, 0, std::numeric_limits<int>::max());
            if (!number) {
                done(std::nullopt);
                return;
            }
            report.owned.insert(static_cast<int>(*number));
        }
        done(report);
    });
}

/// Passes a call on to the store. Without a call, answers whether this node reaches the store.
void internal_api::relay(const http_exchange_ptr& exchange)
{
    const std::string target = exchange->header(store_transport::relay_target).value_or("");
    if (target.empty()) {
        const shard_group::peer_report report = node_.group->report();
        const nlohmann::json body{{"store_silent_ms", report.store_silent_ms}, {"owned", report.owned}};
        exchange->reply(200, {}, write_json(body));
        return;
    }
    const std::size_t space = target.find(' ');
    if (space == std::string::npos || !node_.transport.direct_path_usable()) {
        // The call is malformed, or this node cannot reach the store either; nothing was sent.
        exchange->reply(503, {}, "the store cannot be reached from here");
        return;
    }
    const std::int64_t timeout_ms =
        parse_integer(exchange->header(store_transport::relay_timeout).value_or(""), 0);
    const std::int64_t wait_ms = parse_integer(exchange->header(store_transport::relay_wait).value_or(""), 0);
    const std::string class_name = exchange->header(store_transport::relay_class).value_or("");
    store_call call{.method = target.substr(0, space),
                    .path = target.substr(space + 1),
                    .body = exchange->body(),
                    .timeout_ms = std::clamp<std::int64_t>(timeout_ms, 1, max_relay_ms),
                    .wait_ms = std::clamp<std::int64_t>(wait_ms, 0, max_relay_ms),
                    .traffic = traffic_class_named(class_name)};
    call.traffic = store_transport::relayed_class(call);
    node_.transport.send_direct(call, [exchange](const http_answer& answer) {
        if (answer.outcome != call_outcome::answered) {
            exchange->reply(status_bad_gateway, {}, "the store has not answered");
            return;
        }
        exchange->reply(answer.status, {}, answer.body);
    });
}

}  // namespace waxwingnotch
