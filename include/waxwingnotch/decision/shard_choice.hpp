/// @file
/// Which shards services get that have none yet.
#pragma once

#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace waxwingnotch {

/// Chooses the shard with the fewest services for each new one, the lowest number among equals; so the first
/// list of services is spread by the order of the names.
/// @param services without a shard, in any order; names that @p known holds are left out
/// @param known shards of all services that have one, of removed services too: these may come back
/// @param shards their number, at least 1
/// @return services with their shards, by name
std::vector<std::pair<std::string, int>> choose_service_shards(std::span<const std::string> services,
                                                               const std::map<std::string, int>& known,
                                                               int shards);

}  // namespace waxwingnotch
