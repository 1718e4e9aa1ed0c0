/// @file
/// Where the jobs lie that an earlier version has stored, and what follows for the shards of their services
/// and for the homes of their paths. Pure functions; store_upgrade.hpp reads the jobs and stores what is
/// decided.
///
/// Before homes were stored, a job lay in the shard that the list of services and the route gave when it was
/// accepted. Neither can be worked out later: both may have changed since.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace waxwingnotch {

/// A job that is stored, as far as it matters for where it is found.
struct stored_job {
    std::string id;
    std::string queue;             // that accepted it
    std::string service;           // whose workers run it
    int shard = 0;                 // in which its record lies
    std::int64_t accepted_ms = 0;  // wall clock
    bool rerouted = false;         // its home has decided, or will decide, which shard runs it
};

/// A service and a shard in which jobs of it lie.
struct service_place {
    std::string service;
    int shard = 0;

    bool operator==(const service_place&) const = default;
    bool operator<(const service_place& other) const
    {
        return std::tie(service, shard) < std::tie(other.service, other.shard);
    }
};

/// Chooses a shard for each service of which jobs are stored: the one with most of them, the lowest number
/// among equals. Jobs of the service that lie elsewhere have to be handed over.
std::map<std::string, int> shards_with_most_jobs(std::span<const stored_job> jobs);

/// Chooses the home of the path of @p queue in the same way.
/// @param otherwise home of a path without stored jobs
service_place place_with_most_jobs(std::span<const stored_job> jobs, std::string_view queue,
                                   const service_place& otherwise);

/// Finds the jobs that need a home of their own: those that do not lie at the home of their path, those of
/// queues that are in no configuration any more, and those that do not lie in the shard of their service. Of
/// an id that is stored twice, the job that was accepted first is returned, unless one of them lies where it
/// belongs.
/// @param homes shard by queue
/// @param services shard by service
std::vector<stored_job> jobs_away_from_home(std::span<const stored_job> jobs,
                                            const std::map<std::string, int>& homes,
                                            const std::map<std::string, int>& services);

}  // namespace waxwingnotch
