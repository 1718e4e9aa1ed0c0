/// @file
/// Failure detector for the entry nodes, based on heartbeats. No I/O; the time is an argument.
///
/// A member is alive if, within the suspicion time, this node received a heartbeat from it, or a heartbeat
/// of another member that lists it as heard. A link that fails in one direction only therefore does not
/// make a member suspect.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwingnotch {

/// Demand of the teams at one node in one round of quota division; see quota_shares.
struct demand_summary {
    std::int64_t round = -1;         // -1: none
    std::int64_t rules_version = 0;  // version of the rules; the team indices refer to its list of teams
    // Team index and slots, by ascending index.
    std::vector<std::pair<std::uint32_t, std::uint32_t>> slots_by_team;
};

/// State that a node reports about itself in each heartbeat.
struct heartbeat {
    std::string node;
    std::int64_t incarnation = 0;
    std::string data_centre;
    std::int64_t offset = 0;                // next offset of its fold
    std::int64_t log_end = -1;              // end of the log, as far as the node knows; -1: unknown
    bool serving = false;                   // accepts new requests
    std::vector<std::string> heard;         // nodes whose heartbeats it received within the suspicion time
    std::vector<std::string> leaving = {};  // hosts that announced to it that they are leaving
    demand_summary demand = {};
};

/// One entry node as this node sees it.
struct member {
    std::string node;
    std::int64_t incarnation = 0;
    std::string data_centre;
    std::int64_t offset = 0;
    std::int64_t log_end = -1;
    bool serving = false;
    std::int64_t heard_at_ms = 0;     // last heartbeat received from it, monotonic
    std::int64_t reported_at_ms = 0;  // last report by another member, monotonic
};

/// Table of the other entry nodes.
class membership {
public:
    static constexpr std::int64_t suspect_after_ms = 3'000;
    static constexpr std::int64_t expire_after_ms = 60'000;

    explicit membership(std::string self) : self_(std::move(self)) {}

    /// Updates the table from a heartbeat. Heartbeats of older incarnations and of this node are ignored.
    void record_heartbeat(const heartbeat& beat, std::int64_t now_ms);
    /// Removes members that were neither heard nor reported for expire_after_ms.
    void expire(std::int64_t now_ms);

    bool alive(std::string_view node, std::int64_t now_ms) const;
    /// @return nodes that are alive, including this node, sorted by name
    std::vector<std::string> alive_nodes(std::int64_t now_ms) const;
    /// @return nodes whose heartbeats this node received within the suspicion time
    std::vector<std::string> heard_directly(std::int64_t now_ms) const;
    const member* find(std::string_view node) const;
    const std::map<std::string, member, std::less<>>& members() const { return members_; }
    /// @return the largest fold offset among the nodes of heard_directly(); -1 if there are none
    std::int64_t highest_offset(std::int64_t now_ms) const;

private:
    std::string self_;
    std::map<std::string, member, std::less<>> members_;
};

/// Chooses the owner of a duty by rendezvous hashing.
/// @param nodes at least one
/// @return the owner; the same on every node that passes the same list
std::string_view duty_owner(std::string_view duty, std::span<const std::string> nodes);

}  // namespace waxwingnotch
