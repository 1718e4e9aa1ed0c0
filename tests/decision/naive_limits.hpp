/// @file
/// Naive versions of the quota division: slot by slot (test oracle) and static (baseline of the
/// benchmark).
#pragma once

#include <cstdint>
#include <vector>

namespace waxwingnotch::naive {

/// Assigns each slot to the node that has the fewest and whose demand is not met.
inline std::vector<std::uint32_t> divide_slot_by_slot(std::uint32_t quota,
                                                      const std::vector<std::uint32_t>& demand)
{
    std::vector<std::uint32_t> shares(demand.size(), 0);
    for (; quota > 0; --quota) {
        std::size_t least = demand.size();
        for (std::size_t node = 0; node < demand.size(); ++node) {
            if (shares[node] < demand[node] && (least == demand.size() || shares[node] < shares[least])) {
                least = node;
            }
        }
        if (least == demand.size()) {
            break;
        }
        ++shares[least];
    }
    return shares;
}

inline std::uint32_t static_share(std::uint32_t quota, std::size_t nodes, std::size_t node)
{
    return quota / static_cast<std::uint32_t>(nodes) + (node < quota % nodes ? 1 : 0);
}

}  // namespace waxwingnotch::naive
