#include "waxwingnotch/config/parse.hpp"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

namespace waxwingnotch {

namespace {

std::map<std::string, std::uint32_t> hosts_per_pool(const inventory& machines)
{
    std::map<std::string, std::uint32_t> counts;
    for (const pool& item : machines.pools) {
        counts[item.name] = 0;
    }
    for (const host& item : machines.hosts) {
        ++counts[item.pool];
    }
    return counts;
}

void check_service(const service_rule& service, const std::map<std::string, std::uint32_t>& counts,
                   findings& problems)
{
    const source_location location{"rules"};
    const auto found = counts.find(service.pool);
    if (found == counts.end()) {
        problems.error(location, "service '" + service.name + "' in unknown pool '" + service.pool + "'",
                       "a pool of the inventory");
        return;
    }
    if (found->second < service.min_hosts) {
        problems.error(location,
                       "service '" + service.name + "' promises " + std::to_string(service.min_hosts) +
                           " hosts while pool '" + service.pool + "' has " + std::to_string(found->second),
                       "a budget that the pool's home hosts can hold");
    }
    else if (found->second == service.min_hosts) {
        problems.warning(location,
                         "service '" + service.name + "' promises all " + std::to_string(found->second) +
                             " hosts of pool '" + service.pool + "'",
                         "at least one host more, so that one can be drained");
    }
}

}  // namespace

void check_consistency(const inventory& machines, const rules& rule_set, findings& problems)
{
    const auto counts = hosts_per_pool(machines);
    for (const service_rule& service : rule_set.services) {
        check_service(service, counts, problems);
    }
}

result<std::string> read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return fail(error_code::io, "cannot open " + path + ": " + std::strerror(errno));
    }
    std::ostringstream text;
    text << file.rdbuf();
    if (file.bad()) {
        return fail(error_code::io, "cannot read " + path + ": " + std::strerror(errno));
    }
    return text.str();
}

}  // namespace waxwingnotch
