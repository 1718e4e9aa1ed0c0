/// Tests of the ends that pass from one owner of a shard to the next, over HTTP on loopback addresses.
#include "node/node_state.hpp"

#include "waxwingnotch/base/clock.hpp"

#include <gtest/gtest.h>

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

// The ends waited up to 400 ms for a timer, while the next owner started their tasks again.
TEST(unstored_ends, go_to_the_next_owner_as_soon_as_it_asks_for_the_shard)
{
    node_state node(settings());
    node.release_shard = [&](int shard, std::int64_t) {
        node.undelivered[shard] = {.ends = {{.number = 1, .task = "t", .run = 7, .kind = end_kind::done}},
                                   .since_ms = monotonic_ms(),
                                   .epoch = 4,
                                   .oldest_ms = monotonic_ms()};
    };
    internal_api internal(node);
    http_server previous_owner(node.loop);
    previous_owner.handle([&](const http_exchange_ptr& exchange) { internal.handle(exchange); });
    const auto previous_port = previous_owner.listen("127.0.0.1", 0);
    std::string path;
    std::string body;
    http_server next_owner(node.loop);
    next_owner.handle([&](const http_exchange_ptr& exchange) {
        path = exchange->path() + "?shard=" + exchange->query("shard").value_or("") +
               "&epoch=" + exchange->query("epoch").value_or("");
        body = exchange->body();
        exchange->reply(200, {}, "");
    });
    const auto next_port = next_owner.listen("127.0.0.1", 0);
    ASSERT_TRUE(previous_port && next_port);
    const std::string address = "127.0.0.1:" + std::to_string(next_port.value());
    post_to_peer(node, "127.0.0.1:" + std::to_string(previous_port.value()),
                 "/shard/release?shard=0&epoch=5&owner=" + address, {},
                 [](bool answered) { EXPECT_TRUE(answered); });
    const timer check = node.loop.every(1, [&] {
        if (!path.empty() && node.undelivered.empty()) {
            node.loop.stop();
        }
    });
    const timer timeout = node.loop.after(test_timeout_ms, [&] {
        ADD_FAILURE() << "the ends have not arrived";
        node.loop.stop();
    });
    node.loop.run();
    EXPECT_EQ(path, "/shard/ends?shard=0&epoch=4");
    EXPECT_EQ(body, R"([["t",7,0,""]])");
}

}  // namespace
}  // namespace waxwingnotch
