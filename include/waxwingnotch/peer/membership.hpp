/// @file
/// Which entry nodes are there. Plain data with time as an argument; no I/O.
///
/// A member counts as alive if it was heard directly, or if a member that was heard directly
/// reported having heard it. So a link that is silent one way does not make a member suspect.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwingnotch {

/// What the teams wanted at a node in a round of the division of quotas; see quota_shares.
struct demand_summary {
    std::int64_t round = -1;  // -1: none
    std::int64_t rules = 0;   // version whose list of teams the indices mean
    std::vector<std::pair<std::uint32_t, std::uint32_t>> slots_by_team;  // by ascending index
};

/// What a node tells of itself in each heartbeat.
struct heartbeat {
    std::string node;
    std::int64_t incarnation = 0;
    std::string data_centre;
    std::int64_t offset = 0;                // next offset of its fold
    std::int64_t log_end = -1;              // log's end that it knows
    bool serving = false;                   // takes new requests
    std::vector<std::string> heard;         // nodes that it heard directly within the suspicion time
    std::vector<std::string> leaving = {};  // hosts that told it that they are leaving
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
    std::int64_t heard_at = 0;     // directly, monotonic ms
    std::int64_t reported_at = 0;  // by another member, monotonic ms
};

/// The table of members.
class membership {
public:
    static constexpr std::int64_t suspect_after_ms = 3'000;
    static constexpr std::int64_t forget_after_ms = 60'000;

    explicit membership(std::string self) : self_(std::move(self)) {}

    /// Takes a heartbeat. One of an older incarnation is ignored.
    void hear(const heartbeat& beat, std::int64_t now_ms);
    /// Drops members that were not heard for long.
    void forget(std::int64_t now_ms);

    bool alive(std::string_view node, std::int64_t now_ms) const;
    /// Alive nodes in name order, this node included.
    std::vector<std::string> alive_nodes(std::int64_t now_ms) const;
    /// Nodes that were heard directly within the suspicion time.
    std::vector<std::string> heard_directly(std::int64_t now_ms) const;
    const member* find(std::string_view node) const;
    const std::map<std::string, member, std::less<>>& members() const { return members_; }
    /// Largest fold offset of the members that were heard directly; -1 without any.
    std::int64_t highest_offset(std::int64_t now_ms) const;

private:
    std::string self_;
    std::map<std::string, member, std::less<>> members_;
};

/// Chooses the owner of a duty by rendezvous hashing.
/// @param nodes at least one
/// @return the node that every other node with the same list chooses too
std::string_view duty_owner(std::string_view duty, std::span<const std::string> nodes);

}  // namespace waxwingnotch
