#include "waxwingnotch/decision/shard_choice.hpp"

#include <algorithm>
#include <cassert>
#include <set>

namespace waxwingnotch {

std::vector<std::pair<std::string, int>> choose_service_shards(std::span<const std::string> services,
                                                               const std::map<std::string, int>& known,
                                                               int shards)
{
    assert(shards >= 1 && "choose_service_shards() needs a shard");
    std::vector<int> counts(static_cast<std::size_t>(shards), 0);
    for (const auto& [service, shard] : known) {
        if (shard >= 0 && shard < shards) {
            ++counts[static_cast<std::size_t>(shard)];
        }
    }
    std::vector<std::pair<std::string, int>> chosen;
    for (const std::string& service : std::set<std::string>(services.begin(), services.end())) {
        if (known.contains(service)) {
            continue;
        }
        const auto fewest = std::min_element(counts.begin(), counts.end());
        ++*fewest;
        chosen.emplace_back(service, static_cast<int>(fewest - counts.begin()));
    }
    return chosen;
}

}  // namespace waxwingnotch
