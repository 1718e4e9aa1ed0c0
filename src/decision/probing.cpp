#include "waxwingnotch/decision/probing.hpp"

#include <algorithm>

namespace waxwingnotch {

namespace {

std::vector<std::size_t> least_recently_probed(std::span<const probe_candidate> candidates, bool urgent,
                                               std::size_t limit)
{
    std::vector<std::size_t> chosen;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (candidates[index].urgent == urgent) {
            chosen.push_back(index);
        }
    }
    const auto end = chosen.begin() + static_cast<std::ptrdiff_t>(std::min(limit, chosen.size()));
    std::partial_sort(chosen.begin(), end, chosen.end(), [&](std::size_t a, std::size_t b) {
        return candidates[a].last_probe_at != candidates[b].last_probe_at
                   ? candidates[a].last_probe_at < candidates[b].last_probe_at
                   : candidates[a].host < candidates[b].host;
    });
    chosen.erase(end, chosen.end());
    return chosen;
}

}  // namespace

std::vector<std::size_t> choose_probes(std::span<const probe_candidate> candidates, const probe_rates& rates)
{
    std::vector<std::size_t> chosen = least_recently_probed(candidates, true, rates.urgent);
    const std::vector<std::size_t> regular = least_recently_probed(candidates, false, rates.regular);
    chosen.insert(chosen.end(), regular.begin(), regular.end());
    return chosen;
}

}  // namespace waxwingnotch
