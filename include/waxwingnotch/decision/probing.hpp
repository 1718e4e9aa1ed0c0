/// @file
/// Which hosts are asked for their usage now. Pure. The cost of watching is bounded by a rate,
/// whatever the number of hosts; what looks wrong goes first.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace waxwingnotch {

/// One host that this node watches.
struct probe_candidate {
    std::string_view host;
    std::int64_t last_at = 0;  // start of its last probe, ms; 0: never
    bool urgent = false;       // did not answer, is being maintained, or fails requests
};

/// How many probes start per round.
struct probe_rates {
    std::size_t regular = 8;  // 2 KB/s at a round per second, of the 8 KB/s that control may use
    std::size_t urgent = 32;  // a lost rack or two are noticed within one round
};

/// Chooses the hosts that were not probed for longest, urgent ones apart.
/// @return indexes into @p candidates, urgent ones first
std::vector<std::size_t> choose_probes(std::span<const probe_candidate> candidates, const probe_rates& rates);

}  // namespace waxwingnotch
