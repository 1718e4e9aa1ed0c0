/// Tests of the choice of routes to the store.
#include "waxwingnotch/store/store_routes.hpp"

#include <gtest/gtest.h>

namespace waxwingnotch {
namespace {

const store_route direct;

TEST(store_routes, uses_the_direct_route_until_it_fails)
{
    store_routes routes;
    routes.set_peers({"a", "b"});
    EXPECT_EQ(routes.next({}, 1'000), direct);
    routes.on_failure(direct, 1'000);
    EXPECT_EQ(routes.next({}, 1'001), "a");
    routes.on_answer(direct, 4);
    EXPECT_EQ(routes.next({}, 1'002), direct);
}

TEST(store_routes, keeps_to_the_peer_that_answered)
{
    store_routes routes;
    routes.set_peers({"a", "b", "c"});
    routes.on_failure(direct, 0);
    routes.on_failure("a", 0);
    routes.on_answer("b", 6);
    EXPECT_EQ(routes.next({}, 100), "b");
    routes.on_failure("b", 100);
    EXPECT_EQ(routes.next({}, 101), "c");
}

TEST(store_routes, one_call_uses_each_route_once_before_any_twice)
{
    store_routes routes;
    routes.set_peers({"a", "b"});
    std::vector<store_route> tried;
    constexpr std::size_t attempts = 3;
    tried.reserve(attempts);
    for (std::size_t attempt = 0; attempt < attempts; ++attempt) {
        tried.push_back(routes.next(tried, 0));
    }
    EXPECT_EQ(tried, (std::vector<store_route>{direct, "a", "b"}));
    EXPECT_EQ(routes.next(tried, 0), "a");
}

TEST(store_routes, tries_failed_routes_when_no_other_is_left)
{
    store_routes routes;
    routes.set_peers({"a"});
    routes.on_failure(direct, 0);
    routes.on_failure("a", 0);
    EXPECT_EQ(routes.next({}, 1), direct);
    EXPECT_EQ(routes.next(std::vector<store_route>{direct}, 1), "a");
}

TEST(store_routes, a_node_without_peers_always_calls_the_store)
{
    store_routes routes;
    routes.on_failure(direct, 0);
    EXPECT_EQ(routes.next({}, 1), direct);
}

TEST(store_routes, probes_a_failed_direct_route_at_intervals)
{
    store_routes routes({.probe_interval_ms = 300});
    routes.set_peers({"a"});
    EXPECT_FALSE(routes.take_probe(1'000));
    routes.on_failure(direct, 1'000);
    EXPECT_TRUE(routes.take_probe(1'001));
    EXPECT_FALSE(routes.take_probe(1'200));
    EXPECT_TRUE(routes.take_probe(1'301));
}

// A slow store would otherwise get each call up to three times.
TEST(store_routes, waits_longer_for_a_store_that_answers_slowly)
{
    store_routes routes({.min_resend_ms = 120, .resend_factor = 4.0});
    EXPECT_EQ(routes.resend_after_ms(), 120);
    routes.on_answer(direct, 4);
    routes.on_answer(direct, 240);
    EXPECT_GT(routes.resend_after_ms(), 400);
    for (int answer = 0; answer < 60; ++answer) {
        routes.on_answer(direct, 4);
    }
    EXPECT_EQ(routes.resend_after_ms(), 120);
}

}  // namespace
}  // namespace waxwingnotch
