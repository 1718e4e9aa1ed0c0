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

}  // namespace
}  // namespace waxwingnotch
