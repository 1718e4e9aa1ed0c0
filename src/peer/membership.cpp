#include "waxwingnotch/peer/membership.hpp"

#include "waxwingnotch/base/hash.hpp"

#include <algorithm>
#include <cassert>

namespace waxwingnotch {

void membership::hear(const heartbeat& beat, std::int64_t now_ms)
{
    if (beat.node == self_) {
        return;
    }
    member& known = members_[beat.node];
    if (beat.incarnation < known.incarnation) {
        return;
    }
    known.node = beat.node;
    known.incarnation = beat.incarnation;
    known.data_centre = beat.data_centre;
    known.offset = beat.offset;
    known.log_end = beat.log_end;
    known.serving = beat.serving;
    known.heard_at = now_ms;
    for (const std::string& other : beat.heard) {
        const auto found = members_.find(other);
        if (found != members_.end()) {
            found->second.reported_at = now_ms;
        }
    }
}

void membership::forget(std::int64_t now_ms)
{
    std::erase_if(members_, [&](const auto& item) {
        const member& known = item.second;
        return std::max(known.heard_at, known.reported_at) + forget_after_ms < now_ms;
    });
}

bool membership::alive(std::string_view node, std::int64_t now_ms) const
{
    if (node == self_) {
        return true;
    }
    const member* known = find(node);
    return known != nullptr && std::max(known->heard_at, known->reported_at) + suspect_after_ms >= now_ms;
}

std::vector<std::string> membership::alive_nodes(std::int64_t now_ms) const
{
    std::vector<std::string> nodes = {self_};
    for (const auto& [node, known] : members_) {
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
    for (const auto& [node, known] : members_) {
        if (known.heard_at + suspect_after_ms >= now_ms) {
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
    for (const auto& [node, known] : members_) {
        if (known.heard_at + suspect_after_ms >= now_ms) {
            highest = std::max(highest, known.offset);
        }
    }
    return highest;
}

std::string_view duty_owner(std::string_view duty, std::span<const std::string> nodes)
{
    assert(!nodes.empty() && "duty_owner() needs at least the node itself");
    const std::uint64_t seed = stable_hash(duty);
    return *std::max_element(nodes.begin(), nodes.end(), [&](const std::string& a, const std::string& b) {
        const std::uint64_t rank_a = stable_hash(a, seed);
        const std::uint64_t rank_b = stable_hash(b, seed);
        return rank_a != rank_b ? rank_a < rank_b : a < b;
    });
}

}  // namespace waxwingnotch
