#include "waxwingnotch/decision/stored_jobs.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace waxwingnotch {

std::map<std::string, int> shards_with_most_jobs(std::span<const stored_job> jobs)
{
    std::map<service_place, std::size_t> counts;
    for (const stored_job& job : jobs) {
        if (!job.rerouted) {
            ++counts[{job.service, job.shard}];
        }
    }
    std::map<std::string, int> chosen;
    std::map<std::string, std::size_t> most;
    for (const auto& [place, count] : counts) {
        if (count > most[place.service]) {
            most[place.service] = count;
            chosen[place.service] = place.shard;
        }
    }
    return chosen;
}

service_place place_with_most_jobs(std::span<const stored_job> jobs, std::string_view queue,
                                   const service_place& otherwise)
{
    std::map<service_place, std::size_t> counts;
    for (const stored_job& job : jobs) {
        if (job.queue == queue && !job.rerouted) {
            ++counts[{job.service, job.shard}];
        }
    }
    const auto most = std::max_element(counts.begin(), counts.end(),
                                       [](const auto& a, const auto& b) { return a.second < b.second; });
    return most == counts.end() ? otherwise : most->first;
}

std::vector<stored_job> jobs_away_from_home(std::span<const stored_job> jobs,
                                            const std::map<std::string, int>& homes,
                                            const std::map<std::string, int>& services)
{
    std::set<std::string> found;  // ids that a request for their path leads to
    for (const stored_job& job : jobs) {
        const auto home = homes.find(job.queue);
        const auto service = services.find(job.service);
        const bool at_home = home != homes.end() && home->second == job.shard;
        if (job.rerouted || (at_home && (service == services.end() || service->second == job.shard))) {
            found.insert(job.id);
        }
    }
    std::map<std::string, const stored_job*> away;
    for (const stored_job& job : jobs) {
        if (found.contains(job.id)) {
            continue;
        }
        const stored_job*& first = away[job.id];
        if (first == nullptr ||
            std::tie(job.accepted_ms, job.shard) < std::tie(first->accepted_ms, first->shard)) {
            first = &job;
        }
    }
    std::vector<stored_job> rows;
    rows.reserve(away.size());
    for (const auto& [id, job] : away) {
        rows.push_back(*job);
    }
    return rows;
}

}  // namespace waxwingnotch
