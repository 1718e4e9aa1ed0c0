#include "waxwingnotch/peer/peer_mesh.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace waxwingnotch {
namespace {

constexpr std::int64_t hour_ms = 3'600'000;
constexpr std::int64_t guard_ms = 60'000;

mesh_handlers handlers_of(const std::string& node)
{
    mesh_handlers handlers;
    handlers.self = [node] {
        heartbeat beat;
        beat.node = node;
        beat.incarnation = 1;
        return beat;
    };
    handlers.records = [](std::span<const log_entry>) {
    };
    handlers.encode_state = [] {
        return std::string();
    };
    handlers.state = [](const state_message&) {
    };
    handlers.ask_key = [](const ask_key_message&, const std::function<void(key_message)>&) {
    };
    return handlers;
}

// Guards against a caller that waits for the time limit of a question whose answer cannot come.
TEST(peer_mesh, a_question_ends_with_the_link_that_it_was_asked_on)
{
    event_loop loop;
    auto answering = handlers_of("b");
    std::unique_ptr<peer_mesh> owner;
    answering.ask_key = [&](const ask_key_message&, const std::function<void(key_message)>&) {
        loop.defer([&] { owner.reset(); });
    };
    owner = std::make_unique<peer_mesh>(loop, mesh_options{"b", {}}, answering);
    const auto port = owner->listen("127.0.0.1:0");
    ASSERT_TRUE(port);
    peer_mesh asking(loop, {"a", {{"b", "127.0.0.1:" + std::to_string(port.value())}}}, handlers_of("a"));
    owner->start();
    asking.start();

    bool answered = false;
    bool known = true;
    const timer ask = loop.every(10, [&] {
        if (asking.members().find("b") == nullptr || answered) {
            return;
        }
        answered = true;
        asking.ask("b", "key", "request", hour_ms, [&](const key_message& answer) {
            known = answer.known;
            loop.stop();
        });
    });
    const timer guard = loop.after(guard_ms, [&] { loop.stop(); });
    loop.run();
    EXPECT_TRUE(answered);
    EXPECT_FALSE(known);
}

}  // namespace
}  // namespace waxwingnotch
