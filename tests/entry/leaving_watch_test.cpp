#include "waxwingnotch/entry/leaving_watch.hpp"

#include <gtest/gtest.h>

namespace waxwingnotch {

namespace {

/// A node with one host on record.
struct watching_node {
    watching_node()
    {
        fleet_state state;
        state.next_offset = 1;
        state.hosts["h1"].spec.name = "h1";
        view.replace(std::move(state));
    }

    event_loop loop;
    http_client client{loop};
    fleet_view view;
    upstream_table upstreams;
    leaving_watch watch{loop, client, view, upstreams};
};

http_answer usage(bool leaving)
{
    http_answer answer;
    if (leaving) {
        answer.headers = {{"X-Leaving", "1"}};
    }
    return answer;
}

}  // namespace

// Guards against two nodes that remind one another of a worker which stays after all: it would never
// get work again.
TEST(leaving_watch, nodes_forget_a_worker_that_stays)
{
    watching_node first;
    watching_node second;
    first.upstreams.take_usage("h1", usage(true));
    second.watch.hear(first.watch.told());
    EXPECT_TRUE(second.upstreams.find("h1")->heard_leaving);

    first.upstreams.take_usage("h1", usage(false));
    first.watch.hear(second.watch.told());
    EXPECT_FALSE(first.upstreams.find("h1")->heard_leaving || first.upstreams.find("h1")->said_leaving);
    second.upstreams.take_usage("h1", usage(false));
    second.watch.hear(first.watch.told());
    EXPECT_FALSE(second.upstreams.find("h1")->heard_leaving || second.upstreams.find("h1")->said_leaving);
}

}  // namespace waxwingnotch
