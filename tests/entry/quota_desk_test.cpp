#include "waxwingnotch/entry/quota_desk.hpp"
#include "waxwingnotch/peer/messages.hpp"

#include <gtest/gtest.h>

#include <cstdio>

namespace waxwingnotch {

namespace {

const std::vector<std::string> both = {"a", "b"};

fleet_state rules_with(std::vector<team_rule> teams)
{
    fleet_state state;
    state.rules_document.version = 3;
    state.rules_in_force.teams = std::move(teams);
    return state;
}

/// What another node gets to know of @p desk.
heartbeat beat_of(const std::string& node, const quota_desk& desk)
{
    heartbeat beat;
    beat.node = node;
    beat.demand = desk.demand();
    return std::get<heartbeat_message>(decode_peer_message(encode(heartbeat_message{beat})).value()).self;
}

/// Two nodes; team "u" sends 6 requests to node "a" in each round.
struct two_nodes {
    void round(std::int64_t number, bool delivered = true)
    {
        for (int request = 0; request < 6; ++request) {
            a.admit({.service = "s", .team = "u"}, {8, 100});
        }
        a.begin_round(number * quota_shares::round_ms, both, state);
        b.begin_round(number * quota_shares::round_ms, both, state);
        if (delivered) {
            a.hear(beat_of("b", b), state);
            b.hear(beat_of("a", a), state_of_b);
        }
    }

    fleet_state state = rules_with({{"t", 4}, {"u", 8}});
    fleet_state state_of_b = state;
    quota_desk a{"a"};
    quota_desk b{"b"};
};

}  // namespace

// Guards against demand that is lost or takes another team's place on its way through the heartbeat.
TEST(quota_desk, demand_in_heartbeats_divides_a_quota)
{
    two_nodes nodes;
    nodes.state.rules_in_force.teams[1].quota_slots = 2;
    nodes.state_of_b = nodes.state;
    for (std::int64_t number = 1; number <= 6; ++number) {
        nodes.round(number);
    }
    EXPECT_FALSE(nodes.a.fell_back());
    EXPECT_EQ(nodes.a.share("u"), 2U);
    EXPECT_EQ(nodes.b.share("u"), 0U);
    EXPECT_EQ(nodes.a.share("t").value() + nodes.b.share("t").value(), 4U);
    EXPECT_FALSE(nodes.a.share("unknown"));
}

// Guards against a share that outlives the beats behind it.
TEST(quota_desk, a_missing_beat_gives_the_static_division)
{
    two_nodes nodes;
    for (std::int64_t number = 1; number <= 7; ++number) {
        nodes.round(number, number != 4 && number != 5);
    }
    EXPECT_TRUE(nodes.a.fell_back());
    EXPECT_EQ(nodes.a.share("u"), 4U);
    EXPECT_EQ(nodes.b.share("u"), 4U);
}

// Guards against indices that are read by another list of teams.
TEST(quota_desk, demand_by_other_rules_is_not_used)
{
    two_nodes nodes;
    nodes.state_of_b.rules_document.version = 2;
    for (std::int64_t number = 1; number <= 6; ++number) {
        nodes.round(number);
    }
    EXPECT_TRUE(nodes.b.fell_back());
    EXPECT_EQ(nodes.b.share("u"), 4U);
}

// Guards against heartbeats that outgrow the bytes that a node may use for control: 8 KB/s.
TEST(quota_desk, bytes_of_heartbeats_with_650_teams)
{
    for (const std::uint32_t every : {650U, 10U, 3U, 1U}) {
        heartbeat beat{"entry-1", 1'764'800'000'000, "dc-1", 10'000'000, 10'000'000, true, {}, {}};
        for (int peer = 2; peer <= 8; ++peer) {
            beat.heard.push_back("entry-" + std::to_string(peer));
        }
        beat.demand = {3'529'600'000, 100, {}};
        for (std::uint32_t team = 0; team < 650; team += every) {
            beat.demand.slots_by_team.emplace_back(team, 1 + team % 40);
        }
        constexpr std::size_t beats_per_second = 2;
        constexpr std::size_t peers = 7;
        const std::size_t rate = encode(heartbeat_message{beat}).size() * beats_per_second * peers;
        std::printf("%zu teams with demand: %zu bytes/s\n", beat.demand.slots_by_team.size(), rate);
        if (every >= 10) {
            EXPECT_LE(rate, 8'192U);
        }
    }
}

}  // namespace waxwingnotch
