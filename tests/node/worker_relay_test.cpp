/// Tests of orders to workers that one node passes on for another, over HTTP on loopback addresses.
#include "node/node_state.hpp"
#include "worker_client.hpp"

#include "waxwingnotch/base/rejected_input.hpp"

#include <gtest/gtest.h>

#include <string>
#include <utility>

namespace waxwingnotch {
namespace {

constexpr std::int64_t test_timeout_ms = 20'000;

node_settings settings()
{
    node_settings created;
    created.name = "node";
    created.store_address = "127.0.0.1:1";
    created.internal_address = "127.0.0.1:2";
    created.partitions = 1;
    return created;
}

/// An owner, the only other node and a worker, all in one process. The owner and the other node share one
/// state, and the owner reaches the worker only through the internal interface.
class relay_pair {
public:
    relay_pair() : node(settings()), internal_(node), peer_(node.loop), worker_(node.loop)
    {
        node.workers = std::make_unique<adapter::worker_client>(node.client);
        peer_.handle([this](const http_exchange_ptr& exchange) {
            if (peer_answer.empty()) {
                internal_.handle(exchange);
                return;
            }
            exchange->reply(200, {}, peer_answer);
        });
        worker_.handle([this](const http_exchange_ptr& exchange) {
            ++calls;
            path = exchange->path();
            expected = exchange->header("Expect-Instance").value_or("");
            body = exchange->body();
            exchange->reply(status, {}, worker_answer);
        });
        const auto peer_port = peer_.listen("127.0.0.1", 0);
        const auto worker_port = worker_.listen("127.0.0.1", 0);
        EXPECT_TRUE(peer_port && worker_port);
        node.transport.set_peers({"127.0.0.1:" + std::to_string(peer_port.value())});
        target = {.id = "w", .address = "127.0.0.1:" + std::to_string(worker_port.value())};
        node.registry["w"] = {.id = "w", .address = target.address, .started_ms = 99};
        target.address = "127.0.0.1:1";  // the other node uses the address that it knows
    }

    poll_answer poll(std::int64_t acknowledged = 57)
    {
        poll_answer received;
        received.clock_ms = -7;  // not answered
        run([&](const std::function<void()>& end) {
            relay_poll(node, {.turn = 5, .life_ms = 99}, target,
                       {.fencing_token = 7'001, .acknowledged_end = acknowledged},
                       [&received, end](const poll_answer& answer) {
                           received = answer;
                           end();
                       });
        });
        return received;
    }
    order_result stop()
    {
        order_result received = order_result::invalid;
        run([&](const std::function<void()>& end) {
            relay_stop(node, {.turn = 5, .life_ms = 99}, target,
                       {.task = "t", .run = 3, .fencing_token = 7'001},
                       [&received, end](const order_answer& answer) {
                           received = answer.outcome;
                           end();
                       });
        });
        return received;
    }

    node_state node;
    worker_target target;
    int status = 200;
    std::string worker_answer;
    std::string peer_answer;  // empty: the peer passes orders on
    int calls = 0;            // of the worker
    std::string path;
    std::string expected;
    std::string body;

private:
    void run(const std::function<void(std::function<void()>)>& order)
    {
        bool done = false;
        order([&] {
            done = true;
            node.loop.stop();
        });
        const timer timeout = node.loop.after(test_timeout_ms, [&] {
            ADD_FAILURE() << "no answer";
            node.loop.stop();
        });
        if (!done) {
            node.loop.run();
        }
    }

    internal_api internal_;
    http_server peer_;
    http_server worker_;
};

// A list that loses a row or a field on its way ends a run that goes on.
TEST(worker_relay, a_poll_and_its_lists_pass_unchanged)
{
    relay_pair pair;
    pair.worker_answer = R"({"clockMs":482113,"born":99,"running":[["t1",2,"cp",41,1.5],["t2",1,"",0,0]],)"
                         R"("finished":[[58,"t3",1,"done",""],[59,"t4",4,"lapsed","cp"]]})";
    const poll_answer answer = pair.poll();
    EXPECT_EQ(pair.path, "/waxwingnotch/hold");
    EXPECT_EQ(pair.expected, "w");
    EXPECT_EQ(pair.body, R"({"ackCursor":57,"fencingToken":7001})");  // no lease
    EXPECT_EQ(answer.outcome, order_result::ok);
    EXPECT_EQ(answer.clock_ms, 482'113);
    EXPECT_EQ(answer.started_ms, 99);
    ASSERT_EQ(answer.running.size(), 2U);
    EXPECT_EQ(answer.running[0].task, "t1");
    EXPECT_EQ(answer.running[0].run, 2U);
    EXPECT_EQ(answer.running[0].checkpoint, "cp");
    EXPECT_EQ(answer.running[0].percent, 41);
    EXPECT_EQ(answer.running[0].recent_metric, 1.5);
    ASSERT_EQ(answer.ended.size(), 2U);
    EXPECT_EQ(answer.ended[1].number, 59);
    EXPECT_EQ(answer.ended[1].task, "t4");
    EXPECT_EQ(answer.ended[1].run, 4U);
    EXPECT_EQ(answer.ended[1].kind, end_kind::lapsed);
    EXPECT_EQ(answer.ended[1].checkpoint, "cp");
}

TEST(worker_relay, outcomes_that_tell_of_the_worker_pass_unchanged)
{
    relay_pair pair;
    pair.status = 409;
    pair.worker_answer = R"({"clockMs":1,"reason":"fence"})";
    EXPECT_EQ(pair.poll().outcome, order_result::fenced);
    pair.status = 421;
    EXPECT_EQ(pair.poll().outcome, order_result::other_instance);
    pair.status = 503;
    EXPECT_EQ(pair.poll().outcome, order_result::no_answer);
}

TEST(worker_relay, a_stop_passes_unchanged)
{
    relay_pair pair;
    pair.worker_answer = R"({"clockMs":1})";
    EXPECT_EQ(pair.stop(), order_result::ok);
    EXPECT_EQ(pair.path, "/waxwingnotch/run-stop");
    EXPECT_EQ(pair.body, R"({"fencingToken":7001,"runId":3,"task":"t"})");
}

// Whoever reaches the internal interface could send calls to any address.
TEST(worker_relay, orders_go_only_to_registered_workers)
{
    relay_pair pair;
    pair.worker_answer = R"({"clockMs":1,"running":[],"finished":[]})";
    const std::string address = pair.node.registry["w"].address;
    pair.node.registry["w"].started_ms = 98;  // another life
    EXPECT_EQ(pair.poll().outcome, order_result::no_answer);
    EXPECT_EQ(pair.stop(), order_result::no_answer);
    pair.node.registry = {{"other", {.id = "other", .address = address, .started_ms = 99}}};
    EXPECT_EQ(pair.poll().outcome, order_result::no_answer);
    pair.node.registry.clear();  // a reserve
    EXPECT_EQ(pair.poll().outcome, order_result::no_answer);
    EXPECT_EQ(pair.calls, 0);
}

// A node of an earlier version does not know the call, and a broken one may answer anything.
TEST(worker_relay, an_answer_that_cannot_be_read_is_none)
{
    relay_pair pair;
    for (const char* answer :
         {"unknown path", "[]", R"({"outcome":"ok"})", R"({"outcome":7})",
          R"({"outcome":"ok","clock_ms":-1,"started_ms":1,"running":[],"ended":[]})",
          R"({"outcome":"ok","clock_ms":1,"started_ms":1,"running":[["t",1,"",10]],"ended":[]})",
          R"({"outcome":"ok","clock_ms":1,"started_ms":1,"running":[["t",4294967296,"",1,0]],"ended":[]})",
          R"({"outcome":"ok","clock_ms":1,"started_ms":1,"running":[["t",1,"",1,-1]],"ended":[]})",
          R"({"outcome":"ok","clock_ms":1,"started_ms":1,"running":[],"ended":[[0,"t",1,0,""]]})",
          R"({"outcome":"ok","clock_ms":1,"started_ms":1,"running":[],"ended":[[1,"t",1,6,""]]})"}) {
        pair.peer_answer = answer;
        const poll_answer received = pair.poll();
        EXPECT_EQ(received.outcome, order_result::no_answer) << answer;
        EXPECT_TRUE(received.running.empty()) << answer;
    }
}

TEST(worker_relay, an_order_that_cannot_be_read_is_refused)
{
    relay_pair pair;
    const std::uint64_t before = rejected_inputs(input_source::entry_node);
    pair.poll(-1);
    EXPECT_EQ(pair.calls, 0);
    EXPECT_EQ(rejected_inputs(input_source::entry_node), before + 1);
}

TEST(worker_relay, an_owner_without_other_nodes_gets_no_answer)
{
    relay_pair pair;
    pair.node.transport.set_peers({});
    EXPECT_EQ(pair.poll().outcome, order_result::no_answer);
}

}  // namespace
}  // namespace waxwingnotch
