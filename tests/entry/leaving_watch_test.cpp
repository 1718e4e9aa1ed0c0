#include "waxwingnotch/entry/leaving_watch.hpp"

#include <gtest/gtest.h>

namespace waxwingnotch {

namespace {

/// A leaving monitor with one known host.
struct monitoring_node {
    monitoring_node()
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
    leaving_monitor monitor{loop, client, view, upstreams};
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

// Guards against two nodes that keep relaying each other's report of a leaving worker: a worker that stays
// would never get work again.
TEST(leaving_monitor, nodes_clear_the_mark_of_a_worker_that_stays)
{
    monitoring_node first;
    monitoring_node second;
    first.upstreams.apply_usage("h1", usage(true));
    second.monitor.receive(first.monitor.reported_hosts());
    EXPECT_TRUE(second.upstreams.find("h1")->peer_reported_leaving);

    first.upstreams.apply_usage("h1", usage(false));
    first.monitor.receive(second.monitor.reported_hosts());
    EXPECT_FALSE(first.upstreams.find("h1")->peer_reported_leaving ||
                 first.upstreams.find("h1")->worker_reported_leaving);
    second.upstreams.apply_usage("h1", usage(false));
    second.monitor.receive(first.monitor.reported_hosts());
    EXPECT_FALSE(second.upstreams.find("h1")->peer_reported_leaving ||
                 second.upstreams.find("h1")->worker_reported_leaving);
}

}  // namespace waxwingnotch
