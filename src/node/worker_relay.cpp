/// Orders to workers through other nodes, while the path from the owner of a shard to a worker is broken.
#include "node/node_state.hpp"

#include "waxwingnotch/base/json_fields.hpp"
#include "waxwingnotch/base/json_reader.hpp"
#include "waxwingnotch/base/rejected_input.hpp"

#include <limits>
#include <utility>

namespace waxwingnotch {

namespace {

using nlohmann::json;

constexpr double max_metric = 1e9;  // as in answers of workers: a latency in ms or thousandths of a core
constexpr std::int64_t max_run = std::numeric_limits<std::uint32_t>::max();

// Outcomes that tell something of the worker. Any other one passes as an outcome without a word.
constexpr std::pair<std::string_view, order_result> outcome_words[] = {
    {"ok", order_result::ok},
    {"fenced", order_result::fenced},
    {"superseded", order_result::superseded},
    {"other_instance", order_result::other_instance},
};

std::string_view word_of(order_result outcome)
{
    for (const auto& [word, value] : outcome_words) {
        if (value == outcome) {
            return word;
        }
    }
    return {};
}

order_result outcome_of(std::string_view text)
{
    for (const auto& [word, value] : outcome_words) {
        if (word == text) {
            return value;
        }
    }
    return order_result::no_answer;
}

/// @return the integer under @p name, if it is there and within 0 to @p max
std::optional<std::int64_t> integer_at(const json& body, const char* name, std::int64_t max)
{
    const json* value = find_field(body, name);
    return value == nullptr ? std::nullopt : integer_within(*value, 0, max);
}

std::optional<running_row> decode_running(const json& row)
{
    constexpr std::size_t fields = 5;
    if (!row.is_array() || row.size() < fields || !row[0].is_string() || !row[2].is_string() ||
        !row[4].is_number()) {
        return std::nullopt;
    }
    const auto run = integer_within(row[1], 0, max_run);
    const auto percent = integer_within(row[3], 0, 100);
    const double metric = row[4].get<double>();
    if (!run || !percent || !(metric >= 0 && metric <= max_metric)) {
        return std::nullopt;
    }
    return running_row{.task = row[0].get<std::string>(),
                       .run = static_cast<std::uint32_t>(*run),
                       .checkpoint = row[2].get<std::string>(),
                       .percent = static_cast<int>(*percent),
                       .recent_metric = metric};
}

std::optional<ended_row> decode_ended(const json& row)
{
    constexpr std::size_t fields = 5;
    if (!row.is_array() || row.size() < fields || !row[1].is_string() || !row[4].is_string()) {
        return std::nullopt;
    }
    const auto number = integer_within(row[0], 1, max_exact_integer);
    const auto run = integer_within(row[2], 0, max_run);
    const auto kind = integer_within(row[3], 0, static_cast<int>(end_kind::gang_incomplete));
    if (!number || !run || !kind) {
        return std::nullopt;
    }
    return ended_row{.number = *number,
                     .task = row[1].get<std::string>(),
                     .run = static_cast<std::uint32_t>(*run),
                     .kind = static_cast<end_kind>(*kind),
                     .checkpoint = row[4].get<std::string>()};
}

/// @return whether the list is there and all its rows could be read
template <class Row>
bool decode_rows(const json& body, const char* name, std::optional<Row> (*decode)(const json&),
                 std::vector<Row>& rows)
{
    const json* list = find_field(body, name);
    if (list == nullptr || !list->is_array()) {
        return false;
    }
    for (const json& row : *list) {
        std::optional<Row> item = decode(row);
        if (!item) {
            return false;
        }
        rows.push_back(std::move(*item));
    }
    return true;
}

struct relay_answer {
    order_result outcome = order_result::no_answer;
    json body;
};

/// Sends an order to the other node whose turn it is.
void send_to_peer(node_state& node, const relay_route& route, const char* path, const json& body,
                  std::function<void(const http_answer&)> done)
{
    const std::vector<std::string>& peers = node.transport.peers();
    if (peers.empty()) {
        done({});
        return;
    }
    node.client.send({.method = "POST",
                      .address = peers[route.turn % peers.size()],
                      .path = path,
                      .headers = {},
                      .body = write_json(body),
                      .timeout_ms = peer_timeout_ms,
                      .reuse_connection = true,
                      .traffic = traffic_class::polls,
                      .max_wait_ms = peer_timeout_ms},
                     std::move(done));
}

/// Reads the answer of a node that has passed an order on. One that could not do so counts as no answer.
relay_answer read_answer(const http_answer& answer)
{
    if (answer.outcome != call_outcome::answered || answer.status != 200) {
        return {};
    }
    auto document = read_json(answer.body);
    if (!document) {
        note_rejected_input(input_source::entry_node, "/worker", document.error().message);
        return {};
    }
    return {outcome_of(string_or(document.value(), "outcome")), std::move(document.value())};
}

/// A list with a row left out would end a run that goes on, so an answer is read as a whole or not at all.
poll_answer decode_poll(const http_answer& answer)
{
    const relay_answer read = read_answer(answer);
    poll_answer decoded{.outcome = read.outcome};
    if (decoded.outcome != order_result::ok) {
        return decoded;
    }
    const auto clock_ms = integer_at(read.body, "clock_ms", max_exact_integer);
    const auto started_ms = integer_at(read.body, "started_ms", max_exact_integer);
    if (!clock_ms || !started_ms || !decode_rows(read.body, "running", decode_running, decoded.running) ||
        !decode_rows(read.body, "ended", decode_ended, decoded.ended)) {
        note_rejected_input(input_source::entry_node, relayed_poll_path, "the answer is unreadable");
        return {};
    }
    decoded.clock_ms = *clock_ms;
    decoded.started_ms = *started_ms;
    return decoded;
}

std::string encode_poll(const poll_answer& answer)
{
    json running = json::array();
    for (const running_row& row : answer.running) {
        running.push_back({row.task, row.run, row.checkpoint, row.percent, row.recent_metric});
    }
    json ended = json::array();
    for (const ended_row& row : answer.ended) {
        ended.push_back({row.number, row.task, row.run, static_cast<int>(row.kind), row.checkpoint});
    }
    return write_json({{"outcome", word_of(answer.outcome)},
                       {"clock_ms", answer.clock_ms},
                       {"started_ms", answer.started_ms},
                       {"running", std::move(running)},
                       {"ended", std::move(ended)}});
}

json encode_target(const relay_route& route, const worker_target& worker, std::int64_t token)
{
    return {{"worker", worker.id}, {"life_ms", route.life_ms}, {"token", token}};
}

/// @return whether all fields of the poll or stop in @p body are there; the order has been sent then
bool pass_on(node_state& node, const worker_target& worker, const json& body,
             const http_exchange_ptr& exchange)
{
    const auto token = integer_at(body, "token", max_exact_integer);
    if (exchange->path() == relayed_poll_path) {
        const auto acknowledged = integer_at(body, "acknowledged", max_exact_integer);
        if (!token || !acknowledged) {
            return false;
        }
        const poll_order order{.fencing_token = *token,
                               .acknowledged_end = *acknowledged,
                               .lease_until_ms = std::nullopt,
                               .wait_ms = 0};
        node.workers->poll(worker, order, [exchange](const poll_answer& answer) {
            exchange->reply(200, {{"Content-Type", "application/json"}}, encode_poll(answer));
        });
        return true;
    }
    const std::string task = string_or(body, "task");
    const auto run = integer_at(body, "run", max_run);
    if (!token || !run || task.empty()) {
        return false;
    }
    const stop_order order{.task = task, .run = static_cast<std::uint32_t>(*run), .fencing_token = *token};
    node.workers->stop(worker, order, [exchange](const order_answer& answer) {
        exchange->reply(200, {{"Content-Type", "application/json"}},
                        write_json({{"outcome", word_of(answer.outcome)}}));
    });
    return true;
}

}  // namespace

void relay_poll(node_state& node, const relay_route& route, const worker_target& worker,
                const poll_order& order, worker_api::handler<poll_answer> done)
{
    json body = encode_target(route, worker, order.fencing_token);
    body["acknowledged"] = order.acknowledged_end;
    node.counters.make_counter("relayed_polls", "Polls of silent workers that this node sent through others")
        .add();
    counter& answered = node.counters.make_counter(
        "relayed_polls_answered", "Of these, polls that the worker answered through another node");
    send_to_peer(node, route, relayed_poll_path, body,
                 [&answered, done = std::move(done)](const auto& reply) {
                     const poll_answer answer = decode_poll(reply);
                     answered.add(answer.outcome == order_result::ok ? 1 : 0);
                     done(answer);
                 });
}

void relay_stop(node_state& node, const relay_route& route, const worker_target& worker,
                const stop_order& order, worker_api::handler<order_answer> done)
{
    json body = encode_target(route, worker, order.fencing_token);
    body["task"] = order.task;
    body["run"] = order.run;
    send_to_peer(node, route, relayed_stop_path, body,
                 [done = std::move(done)](const auto& reply) { done({read_answer(reply).outcome}); });
}

void relay_to_worker(node_state& node, const http_exchange_ptr& exchange)
{
    const auto document = read_json(exchange->body());
    if (!document || !document.value().is_object()) {
        note_rejected_input(input_source::entry_node, exchange->path(),
                            document ? "not a JSON object" : document.error().message);
        exchange->reply(400, {}, "the order cannot be read");
        return;
    }
    if (node.registry.empty()) {
        exchange->reply(503, {}, "this node follows no registrations");
        return;
    }
    // Another life may have another address, where an answer of another worker would tell nothing.
    const auto found = node.registry.find(string_or(document.value(), "worker"));
    const auto life_ms = integer_at(document.value(), "life_ms", max_exact_integer);
    if (found == node.registry.end() || found->second.started_ms != life_ms) {
        exchange->reply(404, {}, "no worker is registered with this id in this life");
        return;
    }
    const worker_target worker{.id = found->first, .address = found->second.address};
    if (!pass_on(node, worker, document.value(), exchange)) {
        note_rejected_input(input_source::entry_node, exchange->path(), "a field is missing or out of range");
        exchange->reply(400, {}, "the order cannot be read");
        return;
    }
    node.counters
        .make_counter("relayed_orders_passed", "Orders of other nodes that this node sent to workers")
        .add();
}

}  // namespace waxwingnotch
