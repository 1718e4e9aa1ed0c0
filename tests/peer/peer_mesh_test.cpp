#include "waxwingnotch/peer/messages.hpp"
#include "waxwingnotch/peer/peer_mesh.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace waxwingnotch {
namespace {

constexpr std::int64_t hour_ms = 3'600'000;
constexpr std::int64_t test_timeout_ms = 60'000;

mesh_handlers handlers_of(const std::string& node)
{
    mesh_handlers handlers;
    handlers.self = [node] {
        heartbeat beat;
        beat.node = node;
        beat.incarnation = 1;
        return beat;
    };
    handlers.on_records = [](std::span<const log_entry>) {
    };
    handlers.encode_state = [] {
        return std::string();
    };
    handlers.on_state = [](const state_message&) {
    };
    handlers.on_key_query = [](const key_query_message&, const std::function<void(key_answer_message)>&) {
    };
    return handlers;
}

// Guards against a query that waits for its timeout although its link has closed.
TEST(peer_mesh, a_query_fails_when_its_link_closes)
{
    event_loop loop;
    auto answering_handlers = handlers_of("b");
    std::unique_ptr<peer_mesh> answering_mesh;
    answering_handlers.on_key_query = [&](const key_query_message&,
                                          const std::function<void(key_answer_message)>&) {
        loop.defer([&] { answering_mesh.reset(); });
    };
    answering_mesh = std::make_unique<peer_mesh>(loop, mesh_options{"b", {}}, answering_handlers);
    const auto port = answering_mesh->listen("127.0.0.1:0");
    ASSERT_TRUE(port);
    peer_mesh asking_mesh(loop, {"a", {{"b", "127.0.0.1:" + std::to_string(port.value())}}},
                          handlers_of("a"));
    answering_mesh->start();
    asking_mesh.start();

    bool query_sent = false;
    bool known = true;
    const timer ask = loop.every(10, [&] {
        if (asking_mesh.members().find("b") == nullptr || query_sent) {
            return;
        }
        query_sent = true;
        asking_mesh.query_key("b", "key", "request", hour_ms, [&](const key_answer_message& answer) {
            known = answer.known;
            loop.stop();
        });
    });
    const timer test_timeout = loop.after(test_timeout_ms, [&] { loop.stop(); });
    loop.run();
    EXPECT_TRUE(query_sent);
    EXPECT_FALSE(known);
}

// Guards against a node that ends because a peer requests records between those that it keeps and those that
// it has skipped by loading a state.
TEST(peer_mesh, a_request_behind_the_kept_records_is_answered_with_the_state)
{
    constexpr std::int64_t loaded_offset = 100;
    event_loop loop;
    auto handlers = handlers_of("b");
    handlers.self = [] {
        heartbeat beat;
        beat.node = "b";
        beat.offset = loaded_offset;
        return beat;
    };
    peer_mesh mesh(loop, mesh_options{"b", {}}, handlers);
    mesh.retain_records(std::vector<log_entry>{{0, 1, "x"}, {1, 1, "y"}});
    const auto port = mesh.listen("127.0.0.1:0");
    ASSERT_TRUE(port);
    mesh.start();

    std::int64_t received = -1;
    websocket_link_ptr link;
    link_handlers asking;
    asking.opened = [&] {
        link->send(encode(records_request_message{50}));
    };
    asking.message = [&](const std::string& bytes) {
        const auto message = decode_peer_message(bytes);
        if (const auto* state = message ? std::get_if<state_message>(&message.value()) : nullptr) {
            received = state->next_offset;
            loop.stop();
        }
    };
    link = websocket_link::connect(loop, "127.0.0.1:" + std::to_string(port.value()), std::move(asking));
    const timer test_timeout = loop.after(test_timeout_ms, [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(received, loaded_offset);
}

}  // namespace
}  // namespace waxwingnotch
