#include "waxwingnotch/decision/routing.hpp"

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

std::optional<route_choice> choose_upstream(std::span<const route_candidate> candidates, std::uint64_t random)
{
    std::vector<std::size_t> open;
    open.reserve(candidates.size());
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (has_room(candidates[index])) {
            open.push_back(index);
        }
    }
    if (open.empty()) {
        return std::nullopt;
    }
    const std::size_t first = open[(random & 0xffff'ffffU) % open.size()];
    if (open.size() == 1) {
        return route_choice{first, std::nullopt, load_of(candidates[first])};
    }
    // Draws among the others, so that two different ones are compared.
    std::size_t other = open[(random >> 32U) % (open.size() - 1)];
    if (other == first) {
        other = open.back();
    }
    const bool keep = load_of(candidates[first]) <= load_of(candidates[other]);
    const std::size_t chosen = keep ? first : other;
    return route_choice{chosen, keep ? other : first, load_of(candidates[chosen])};
}

}  // namespace waxwingnotch
