#include "waxwingnotch/decision/routing.hpp"

#include "waxwingnotch/base/hash.hpp"

#include <algorithm>
#include <vector>

namespace waxwingnotch {

namespace {

std::uint32_t busy(const route_candidate& item)
{
    return item.in_flight_here + item.busy_elsewhere;
}

bool has_room(const route_candidate& item)
{
    return busy(item) < item.slots && item.connections_left > 0;
}

double load_of(const route_candidate& item)
{
    return static_cast<double>(busy(item)) / static_cast<double>(item.slots);
}

}  // namespace

std::uint32_t busy_elsewhere(const slot_report& report, std::int64_t now_ms)
{
    const std::int64_t age = std::clamp<std::int64_t>(now_ms - report.at_ms, 0, report_decay_ms);
    const std::int64_t left = report.busy_elsewhere * (report_decay_ms - age);
    return static_cast<std::uint32_t>((left + report_decay_ms - 1) / report_decay_ms);
}

std::optional<route_choice> choose_upstream(std::span<const route_candidate> candidates, std::uint64_t random)
{
    std::vector<std::size_t> eligible;
    eligible.reserve(candidates.size());
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (has_room(candidates[index])) {
            eligible.push_back(index);
        }
    }
    if (eligible.empty()) {
        return std::nullopt;
    }
    const std::size_t first = eligible[(random & 0xffff'ffffU) % eligible.size()];
    if (eligible.size() == 1) {
        return route_choice{first, std::nullopt, load_of(candidates[first])};
    }
    // Draws from the other candidates, so that two different ones are compared.
    std::size_t other = eligible[(random >> 32U) % (eligible.size() - 1)];
    if (other == first) {
        other = eligible.back();
    }
    const bool take_first = load_of(candidates[first]) <= load_of(candidates[other]);
    const std::size_t chosen = take_first ? first : other;
    return route_choice{chosen, take_first ? other : first, load_of(candidates[chosen])};
}

namespace {

/// Collects two different candidates with a free slot.
struct candidate_pair {
    struct found {
        std::size_t index = 0;
        double load = 0;
    };
    std::optional<found> first;
    std::optional<found> second;

    void consider(std::size_t index, const candidate_source& candidate)
    {
        if (first && first->index == index) {
            return;
        }
        const std::optional<route_candidate> item = candidate(index);
        if (item && has_room(*item)) {
            (first ? second : first) = found{index, load_of(*item)};
        }
    }
};

std::uint64_t next_random(std::uint64_t& state)
{
    // SplitMix64: a full-period step and a finalizer.
    state += 0x9e37'79b9'7f4a'7c15U;
    std::uint64_t mixed = state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58'476d'1ce4'e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d0'49bb'1331'11ebU;
    return mixed ^ (mixed >> 31U);
}

}  // namespace

std::optional<route_choice> sample_upstreams(std::size_t count, const candidate_source& candidate,
                                             std::uint64_t random)
{
    if (count == 0) {
        return std::nullopt;
    }
    constexpr int max_draws = 12;
    candidate_pair pair;
    for (int draw = 0; draw < max_draws && !pair.second; ++draw) {
        pair.consider(next_random(random) % count, candidate);
    }
    const std::size_t start = next_random(random) % count;
    for (std::size_t step = 0; step < count && !pair.second; ++step) {
        pair.consider((start + step) % count, candidate);
    }
    if (!pair.first) {
        return std::nullopt;
    }
    if (!pair.second) {
        return route_choice{pair.first->index, std::nullopt, pair.first->load};
    }
    const bool take_first = pair.first->load <= pair.second->load;
    const candidate_pair::found& chosen = take_first ? *pair.first : *pair.second;
    return route_choice{chosen.index, take_first ? pair.second->index : pair.first->index, chosen.load};
}

std::uint32_t nodes_per_worker(std::uint32_t connections, std::uint32_t needed)
{
    return std::max(1U, connections / std::max(1U, needed));
}

bool uses_worker(std::string_view node, std::span<const std::string> members, std::string_view host,
                 std::uint32_t max_nodes)
{
    if (members.size() <= max_nodes) {
        return true;
    }
    const std::uint64_t seed = stable_hash(host);
    const std::uint64_t own_rank = stable_hash(node, seed);
    std::uint32_t higher_ranked = 0;
    for (const std::string& member : members) {
        const std::uint64_t rank = stable_hash(member, seed);
        higher_ranked += member != node && (rank > own_rank || (rank == own_rank && member < node)) ? 1 : 0;
    }
    return higher_ranked < max_nodes;
}

}  // namespace waxwingnotch
