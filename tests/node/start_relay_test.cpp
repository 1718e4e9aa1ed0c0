/// Tests of starts that one node passes on for another, over HTTP on loopback addresses.
#include "node/node_state.hpp"
#include "worker_client.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/json_reader.hpp"
#include "waxwingnotch/base/rejected_input.hpp"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>

namespace waxwingnotch {
namespace {

constexpr std::int64_t test_timeout_ms = 20'000;
constexpr std::int64_t narrow_kbps = 2'000;
constexpr std::size_t batch_starts = 10;
const std::string payload(800, 'p');

node_settings settings(std::int64_t link_kbps)
{
    node_settings created;
    created.name = "node";
    created.store_address = "127.0.0.1:1";
    created.internal_address = "127.0.0.1:2";
    created.partitions = 1;
    created.link_kbps = link_kbps;
    return created;
}

/// An owner, the only other node and a worker, all in one process. The owner and the other node share one
/// state, and the owner reaches the worker only through the internal interface.
class relay_pair {
public:
    explicit relay_pair(std::int64_t link_kbps = narrow_kbps)
        : node(settings(link_kbps)), internal_(node), peer_(node.loop), worker_(node.loop)
    {
        node.workers = std::make_unique<adapter::worker_client>(node.client);
        peer_.handle([this](const http_exchange_ptr& exchange) {
            ++peer_calls;
            peer_body = exchange->body();
            if (silent && !peer_body.empty()) {
                held_.push_back(exchange);
                return;
            }
            if (peer_answer.empty() || peer_body.empty()) {
                internal_.handle(exchange);
                return;
            }
            exchange->reply(peer_status, {}, peer_answer);
        });
        worker_.handle([this](const http_exchange_ptr& exchange) {
            EXPECT_EQ(exchange->path(), "/waxwingnotch/run-start");
            EXPECT_EQ(exchange->header("Expect-Instance").value_or(""), "w");
            const nlohmann::json body = read_json(exchange->body()).value();
            starts[body["task"].get<std::string>()] = body;
            exchange->reply(status, {}, worker_answer);
        });
        const auto peer_port = peer_.listen("127.0.0.1", 0);
        const auto worker_port = worker_.listen("127.0.0.1", 0);
        EXPECT_TRUE(peer_port && worker_port);
        address = "127.0.0.1:" + std::to_string(peer_port.value());
        node.transport.set_peers({address});
        node.registry["w"] = {
            .id = "w", .address = "127.0.0.1:" + std::to_string(worker_port.value()), .started_ms = 99};
    }

    static start_batch batch(std::size_t count = batch_starts)
    {
        start_batch made;
        for (std::size_t index = 0; index < count; ++index) {
            made.push_back({.worker = {.id = "w", .address = "127.0.0.1:1"},
                            .order = {.task = "j.0.0." + std::to_string(index),
                                      .run = static_cast<std::uint32_t>(index + 1),
                                      .payload = payload,
                                      .lease_until_ms = 486'000,
                                      .fencing_token = 7'001},
                            .life_ms = 99});
        }
        return made;
    }

    /// Lets the owner learn the clock of the other node.
    void meet()
    {
        EXPECT_FALSE(
            node.starts.send(batch(), [](const auto&) { FAIL() << "declined batches have no end"; }));
        run_until([this] { return node.starts.send(batch(), [this](const auto&) { ++met_; }); });
        run_until([this] { return met_ > 0; });
        run_until([this] { return node.client.waiting() == 0; });
        starts.clear();
    }
    /// @return the outcomes; none if no batch was sent
    std::optional<batch_outcomes> send(const start_batch& starts_to_send = batch())
    {
        std::optional<batch_outcomes> received;
        if (!node.starts.send(starts_to_send, [&](const batch_outcomes& outcomes) { received = outcomes; })) {
            return std::nullopt;
        }
        run_until([&] { return received.has_value(); });
        return received;
    }
    /// The same, once the other node can be used. Both ends share one budget, which earlier batches have
    /// filled.
    std::optional<batch_outcomes> deliver(const start_batch& starts_to_send = batch())
    {
        run_until([this] { return node.budget.backlog_ms(monotonic_ms()) == 0 && node.starts.available(); });
        return send(starts_to_send);
    }
    /// Sends a body to the other node as it is.
    http_answer post(const std::string& body)
    {
        std::optional<http_answer> received;
        node.client.send({.method = "POST", .address = address, .path = relayed_starts_path, .body = body},
                         [&](const http_answer& answer) { received = answer; });
        run_until([&] { return received.has_value(); });
        return *received;
    }
    /// @param last_in_ms when the last start may be sent, from now on
    std::string encode(std::int64_t last_in_ms, const nlohmann::json& rows) const
    {
        return nlohmann::json{
            {"last_ms", node.starts.clock_ms() + last_in_ms}, {"payload", payload}, {"starts", rows}}
            .dump();
    }
    static nlohmann::json row() { return {"j.0.0.1", 1, "w", 99, 486'000, 7'001, "", ""}; }

    void run_until(const std::function<bool()>& condition)
    {
        if (condition()) {
            return;
        }
        const timer check = node.loop.every(2, [&] {
            if (condition()) {
                node.loop.stop();
            }
        });
        const timer timeout = node.loop.after(test_timeout_ms, [&] {
            ADD_FAILURE() << "the test timed out";
            node.loop.stop();
        });
        node.loop.run();
    }

    node_state node;
    std::string address;  // of the other node
    int status = 200;
    std::string worker_answer = R"({"clockMs":1})";
    int peer_status = 200;
    std::string peer_answer;  // empty: the peer passes batches on
    std::string peer_body;
    int peer_calls = 0;
    bool silent = false;                           // the peer answers no batch
    std::map<std::string, nlohmann::json> starts;  // of the worker, by task

private:
    int met_ = 0;
    internal_api internal_;
    http_server peer_;
    http_server worker_;
    std::vector<http_exchange_ptr> held_;
};

batch_outcomes all(std::optional<order_result> outcome)
{
    return batch_outcomes(batch_starts, outcome);
}

// The owner's link carried the payload of a job with the start of each of its tasks.
TEST(start_relay, the_payload_crosses_the_link_once_for_a_batch)
{
    relay_pair pair;
    pair.meet();
    start_batch batch = relay_pair::batch();
    batch[3].order.checkpoint = "cp";
    batch[3].order.ticket = "ticket";
    batch[3].order.lease_until_ms = 487'000;
    batch[3].order.fencing_token = 7'002;
    EXPECT_EQ(pair.deliver(batch), all(order_result::ok));
    EXPECT_LT(pair.peer_body.size(), 2 * payload.size());
    ASSERT_EQ(pair.starts.size(), batch_starts);
    EXPECT_EQ(pair.starts["j.0.0.3"], (nlohmann::json{{"task", "j.0.0.3"},
                                                      {"runId", 4},
                                                      {"spec", payload},
                                                      {"untilMs", 487'000},
                                                      {"fencingToken", 7'002},
                                                      {"checkpoint", "cp"},
                                                      {"ticket", "ticket"}}));
    EXPECT_EQ(pair.starts["j.0.0.9"], (nlohmann::json{{"task", "j.0.0.9"},
                                                      {"runId", 10},
                                                      {"spec", payload},
                                                      {"untilMs", 486'000},
                                                      {"fencingToken", 7'001}}));
}

// An owner that does not hear of a newer token would go on as owner.
TEST(start_relay, outcomes_that_tell_of_the_worker_pass_unchanged)
{
    relay_pair pair;
    pair.meet();
    pair.status = 409;
    for (const auto& [reason, outcome] :
         std::map<std::string, order_result>{{"fence", order_result::fenced},
                                             {"old", order_result::superseded},
                                             {"late", order_result::lease_expired},
                                             {"room", order_result::no_room},
                                             {"ticket", order_result::bad_ticket},
                                             {"else", order_result::unexplained}}) {
        pair.worker_answer = R"({"clockMs":1,"reason":")" + reason + R"("})";
        EXPECT_EQ(pair.deliver(), all(outcome)) << reason;
    }
    pair.worker_answer = R"({"clockMs":1})";
    for (const auto& [status, outcome] : std::map<int, order_result>{{400, order_result::invalid},
                                                                     {421, order_result::other_instance},
                                                                     {500, order_result::unexplained},
                                                                     {503, order_result::refused}}) {
        pair.status = status;
        EXPECT_EQ(pair.deliver(), all(outcome)) << status;
    }
    pair.node.registry["w"].address = "127.0.0.1:1";
    EXPECT_EQ(pair.deliver(), all(order_result::not_listening));
}

// A batch without an answer may have been carried out: a task that starts elsewhere at once runs twice.
TEST(start_relay, each_start_of_an_unanswered_batch_counts_as_unanswered)
{
    relay_pair pair;
    pair.meet();
    pair.silent = true;
    const std::int64_t sent_ms = monotonic_ms();
    EXPECT_EQ(pair.deliver(), all(order_result::no_answer));
    EXPECT_LT(monotonic_ms() - sent_ms, test_timeout_ms / 2);
    EXPECT_EQ(pair.send(), std::nullopt);  // a node that does not answer is not asked again for a while
}

// An answer that cannot be read tells nothing of what was sent.
TEST(start_relay, outcomes_that_cannot_be_read_count_as_unanswered)
{
    for (const auto& [status, answer] : std::vector<std::pair<int, std::string>>{
             {200, "ok"},
             {200, R"({"clock_ms":1})"},
             {200, R"({"clock_ms":1,"outcomes":"ok"})"},
             {200, R"({"clock_ms":1,"outcomes":["ok"]})"},
             {200, R"({"clock_ms":1,"outcomes":[1,{},[],null,"","OK","?",true,-1,"no_answer"]})"},
             {500, "?"},
             {502, "?"}}) {
        relay_pair pair;
        pair.meet();
        pair.peer_status = status;
        pair.peer_answer = answer;
        EXPECT_EQ(pair.deliver(), all(order_result::no_answer)) << answer;
    }
}

// Guards against starts that wait for a stop though nothing was sent.
TEST(start_relay, a_batch_that_was_not_taken_can_be_sent_directly)
{
    for (const int status : {400, 404, 413, 429, 503}) {
        relay_pair pair;
        pair.meet();
        pair.peer_status = status;
        pair.peer_answer = "no";
        EXPECT_EQ(pair.deliver(), all(std::nullopt)) << status;
        EXPECT_EQ(pair.send(), std::nullopt) << status;
    }
    relay_pair pair;
    pair.meet();
    pair.node.registry.clear();  // the node became a reserve
    EXPECT_EQ(pair.deliver(), all(std::nullopt));
    EXPECT_TRUE(pair.starts.empty());
}

// A batch that the network, or a stopped process, holds up would start runs after their worker's report that
// it drains, or after a cancel.
TEST(start_relay, a_start_that_cannot_be_sent_in_time_is_dropped)
{
    relay_pair pair;
    const http_answer answer = pair.post(pair.encode(0, {relay_pair::row(), relay_pair::row()}));
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(read_json(answer.body).value()["outcomes"], (nlohmann::json{"not_sent", "not_sent"}));
    EXPECT_TRUE(pair.starts.empty());
}

/// Keeps the orders of starts.
class order_recorder final : public worker_api {
public:
    void start(const worker_target& /*worker*/, const start_order& order, handler<order_answer> done) override
    {
        orders.push_back(order);
        done({.outcome = order_result::not_sent});
    }
    void stop(const worker_target& /*worker*/, const stop_order& /*order*/,
              handler<order_answer> /*done*/) override
    {
    }
    void pace(const worker_target& /*worker*/, const pace_order& /*order*/,
              handler<order_answer> /*done*/) override
    {
    }
    void poll(const worker_target& /*worker*/, const poll_order& /*order*/,
              handler<poll_answer> /*done*/) override
    {
    }

    std::vector<start_order> orders;
};

// The wait for the link of the second host came on top of that for the first one.
TEST(start_relay, a_start_waits_at_both_links_no_longer_than_at_one)
{
    relay_pair pair;
    auto recorder = std::make_unique<order_recorder>();
    const order_recorder& recorded = *recorder;
    pair.node.workers = std::move(recorder);
    constexpr std::int64_t left_ms = 60;
    const http_answer answer = pair.post(pair.encode(left_ms, nlohmann::json::array({relay_pair::row()})));
    EXPECT_EQ(read_json(answer.body).value()["outcomes"], nlohmann::json::array({"not_sent"}));
    if (!recorded.orders.empty()) {  // else the call itself took longer
        EXPECT_GT(recorded.orders[0].max_wait_ms, 0);
        EXPECT_LE(recorded.orders[0].max_wait_ms, left_ms);
        EXPECT_GT(recorded.orders[0].timeout_ms, 0);
        constexpr std::int64_t answer_ms = 100;  // that a worker has after the last moment for its start
        EXPECT_LE(recorded.orders[0].max_wait_ms + recorded.orders[0].timeout_ms, left_ms + answer_ms);
    }
}

// What the owner knows of the clock of an earlier process would give a late batch any time.
TEST(start_relay, a_batch_that_names_the_clock_of_another_process_is_declined)
{
    relay_pair pair;
    EXPECT_EQ(
        pair.post(pair.encode(order_max_wait_ms + 1'000, nlohmann::json::array({relay_pair::row()}))).status,
        503);
    EXPECT_TRUE(pair.starts.empty());
}

// Another life of a worker may have another address, and it has not heard of this owner's earlier orders.
TEST(start_relay, a_start_for_another_life_of_its_worker_is_not_sent)
{
    relay_pair pair;
    pair.meet();
    start_batch batch = relay_pair::batch();
    batch[1].life_ms = 98;
    batch[2].worker.id = "unknown";
    batch_outcomes expected = all(order_result::ok);
    expected[1] = order_result::other_instance;
    expected[2] = std::nullopt;
    EXPECT_EQ(pair.deliver(batch), expected);
    EXPECT_EQ(pair.starts.size(), batch_starts - 2);
}

// A broken node, or one of a later version, may send anything. A part of a batch must not start.
TEST(start_relay, a_batch_that_cannot_be_read_is_refused_as_a_whole)
{
    relay_pair pair(0);  // else the long bodies fill the link, and the node declines
    constexpr std::size_t many = 5'000;
    constexpr std::size_t huge = 300'000;
    const nlohmann::json good = relay_pair::row();
    const auto with = [&](std::size_t field, const nlohmann::json& value) {
        nlohmann::json bad = good;
        bad[field] = value;
        return pair.encode(100, {good, bad});
    };
    const std::string whole = pair.encode(100, {good, good});
    std::vector<std::string> bodies = {"x",
                                       "[]",
                                       "7",
                                       whole.substr(0, whole.size() / 2),
                                       whole.substr(0, whole.size() - 1),
                                       R"({"payload":"p","starts":[]})",
                                       R"({"last_ms":"1","payload":"p","starts":[]})",
                                       R"({"last_ms":-1,"payload":"p","starts":[]})",
                                       R"({"last_ms":1,"payload":7,"starts":[]})",
                                       R"({"last_ms":1,"starts":[]})",
                                       R"({"last_ms":1,"payload":"p","starts":{}})",
                                       pair.encode(100, nlohmann::json::array()),
                                       pair.encode(100, {good, "row"}),
                                       pair.encode(100, {good, nlohmann::json::array()}),
                                       pair.encode(100, nlohmann::json(many, good)),
                                       nlohmann::json{{"last_ms", 1},
                                                      {"payload", std::string(huge, 'p')},
                                                      {"starts", nlohmann::json::array({good})}}
                                           .dump(),
                                       with(0, ""),
                                       with(0, 7),
                                       with(1, -1),
                                       with(1, 4'294'967'296),
                                       with(1, "1"),
                                       with(2, 7),
                                       with(3, -1),
                                       with(3, nullptr),
                                       with(4, -1),
                                       with(4, 1e300),
                                       with(5, -1),
                                       with(5, "7"),
                                       with(6, 7),
                                       with(7, nlohmann::json::array()),
                                       with(8, "a field too many")};
    for (const std::string& body : bodies) {
        const std::uint64_t before = rejected_inputs(input_source::entry_node);
        const http_answer answer = pair.post(body);
        EXPECT_EQ(answer.status, 400) << body.substr(0, 200);
        EXPECT_FALSE(answer.body.empty()) << body.substr(0, 200);
        EXPECT_EQ(rejected_inputs(input_source::entry_node), before + 1) << body.substr(0, 200);
    }
    EXPECT_TRUE(pair.starts.empty());
}

// A node that sends starts of its own would pass these on late.
TEST(start_relay, a_node_with_a_busy_link_is_left_out_for_a_while)
{
    relay_pair pair;
    pair.meet();
    EXPECT_TRUE(pair.deliver());
    pair.peer_answer = R"({"clock_ms":1,"backlog_ms":60,"outcomes":[]})";
    EXPECT_TRUE(pair.deliver());
    EXPECT_FALSE(pair.node.starts.available());
    EXPECT_EQ(pair.send(), std::nullopt);
}

// More starts may be open while another node takes them; without one they would fill the link.
TEST(start_relay, no_node_is_available_before_one_has_answered_or_while_the_link_is_full)
{
    relay_pair pair;
    EXPECT_FALSE(pair.node.starts.available());
    pair.meet();
    pair.run_until([&] { return pair.node.starts.available(); });
    constexpr std::uint64_t bytes = 50'000;  // 200 ms of the link
    pair.node.budget.add(traffic_class::orders, {.sent = bytes, .received = 0}, monotonic_ms());
    EXPECT_FALSE(pair.node.starts.available());
    pair.run_until([&] { return pair.node.starts.available(); });
    pair.silent = true;
    EXPECT_EQ(pair.deliver(), all(order_result::no_answer));
    EXPECT_FALSE(pair.node.starts.available());
}

// Fleets with wide links, and calm ones, gain nothing by a second way.
TEST(start_relay, starts_go_straight_where_a_relay_does_not_pay)
{
    for (const std::int64_t wide_kbps : {std::int64_t(0), std::int64_t(10'000), std::int64_t(200'000)}) {
        relay_pair wide(wide_kbps);
        EXPECT_FALSE(start_relay::useful_for(wide_kbps));
        EXPECT_EQ(wide.send(), std::nullopt);
        EXPECT_EQ(wide.peer_calls, 0);
    }
    relay_pair pair;
    pair.meet();
    EXPECT_EQ(pair.send(relay_pair::batch(1)), std::nullopt);
    pair.node.transport.set_peers({});
    EXPECT_EQ(pair.send(), std::nullopt);
}

}  // namespace
}  // namespace waxwingnotch
