/// @file
/// Chooses the hosts to probe for their usage in each round. Pure. The probe rate is bounded whatever the
/// number of hosts; hosts that look faulty go first.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace waxwingnotch {

/// One host that this node probes.
struct probe_candidate {
    std::string_view host;
    std::int64_t last_probe_at = 0;  // start of its last probe, ms; 0: never
    bool urgent = false;             // it did not answer, is in maintenance, or fails requests
};

/// Number of probes that start per round.
struct probe_rates {
    std::size_t regular = 8;  // 2 KB/s at one round per second, of the 8 KB/s for control traffic
    std::size_t urgent = 32;  // enough to detect one or two lost racks within one round
};

/// Chooses the hosts whose last probe is oldest, urgent and regular ones separately.
/// @return indexes into @p candidates, urgent ones first
std::vector<std::size_t> choose_probes(std::span<const probe_candidate> candidates, const probe_rates& rates);

}  // namespace waxwingnotch
