#include "waxwingnotch/peer/membership.hpp"

#include "waxwingnotch/base/hash.hpp"

#include <algorithm>
#include <cassert>

namespace waxwingnotch {

void membership::record_heartbeat(const heartbeat& beat, std::int64_t now_ms)
{
    if (beat.node == self_) {
        return;
    }
    member& entry = members_[beat.node];
    if (beat.incarnation < entry.incarnation) {
        return;
    }
    entry.node = beat.node;
    entry.incarnation = beat.incarnation;
    entry.data_centre = beat.data_centre;
    entry.offset = beat.offset;
    entry.log_end = beat.log_end;
    entry.serving = beat.serving;
    entry.heard_at_ms = now_ms;
    for (const std::string& reported : beat.heard) {
        const auto found = members_.find(reported);
        if (found != members_.end()) {
            found->second.reported_at_ms = now_ms;
        }
    }
}

void membership::expire(std::int64_t now_ms)
{
    std::erase_if(members_, [&](const auto& item) {
        const member& entry = item.second;
        return std::max(entry.heard_at_ms, entry.reported_at_ms) + expire_after_ms < now_ms;
    });
}

bool membership::alive(std::string_view node, std::int64_t now_ms) const
{
    if (node == self_) {
        return true;
    }
    const member* entry = find(node);
    return entry != nullptr &&
           std::max(entry->heard_at_ms, entry->reported_at_ms) + suspect_after_ms >= now_ms;
}

std::vector<std::string> membership::alive_nodes(std::int64_t now_ms) const
{
    std::vector<std::string> nodes = {self_};
    for (const auto& [node, entry] : members_) {
        if (alive(node, now_ms)) {
            nodes.push_back(node);
        }
    }
    std::sort(nodes.begin(), nodes.end());
    return nodes;
}

std::vector<std::string> membership::heard_directly(std::int64_t now_ms) const
{
    std::vector<std::string> nodes;
    for (const auto& [node, entry] : members_) {
        if (entry.heard_at_ms + suspect_after_ms >= now_ms) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

const member* membership::find(std::string_view node) const
{
    const auto found = members_.find(node);
    return found == members_.end() ? nullptr : &found->second;
}

std::int64_t membership::highest_offset(std::int64_t now_ms) const
{
    std::int64_t highest = -1;
    for (const auto& [node, entry] : members_) {
        if (entry.heard_at_ms + suspect_after_ms >= now_ms) {
            highest = std::max(highest, entry.offset);
        }
    }
    return highest;
}

std::string_view duty_owner(std::string_view duty, std::span<const std::string> nodes)
{
    assert(!nodes.empty() && "duty_owner() requires at least one node");
    const std::uint64_t seed = stable_hash(duty);
    return *std::max_element(nodes.begin(), nodes.end(), [&](const std::string& a, const std::string& b) {
        const std::uint64_t rank_a = stable_hash(a, seed);
        const std::uint64_t rank_b = stable_hash(b, seed);
        return rank_a != rank_b ? rank_a < rank_b : a < b;
    });
}

}  // namespace waxwingnotch
