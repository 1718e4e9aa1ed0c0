/// Tests of what a list of hosts proves about a worker that is missing.
#include "node/lost_host_watch.hpp"

#include <gtest/gtest.h>

namespace waxwingnotch {
namespace {

host_listing list_of(host_row_state state, const char* worker)
{
    host_listing list;
    list.ok = true;
    list.hosts.push_back({.name = "host", .pool = "svc", .state = state, .worker_id = worker});
    return list;
}

TEST(lost_host_watch, a_worker_whose_host_is_down_or_runs_another_one_has_ended)
{
    EXPECT_TRUE(host_is_lost(list_of(host_row_state::down, "a"), "a"));
    EXPECT_TRUE(host_is_lost(list_of(host_row_state::maintenance, "a"), "a"));
    EXPECT_TRUE(host_is_lost(list_of(host_row_state::up, "b"), "a"));
}

// A task must not start elsewhere because a list could not be read.
TEST(lost_host_watch, a_list_that_is_not_whole_proves_nothing)
{
    EXPECT_FALSE(host_is_lost(list_of(host_row_state::up, "a"), "a"));
    EXPECT_FALSE(host_is_lost({}, "a"));
    host_listing empty;
    empty.ok = true;
    EXPECT_FALSE(host_is_lost(empty, "a"));
    host_listing partial = list_of(host_row_state::up, "b");
    partial.complete = false;
    EXPECT_FALSE(host_is_lost(partial, "a"));
}

}  // namespace
}  // namespace waxwingnotch
