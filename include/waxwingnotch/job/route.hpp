/// @file
/// Decision of a home shard about a job that runs under another service than the one that the jobs of its
/// path ran under first.
///
/// All jobs that were ever accepted under one path are stored in one shard, the home of the path
/// (job_homes.hpp), so that repeats of a submission meet in one log whatever the routes say. Where the route
/// leads to another service by now, the job runs in the shard of that service. The home's owner stores this
/// decision before it forwards the job or starts a task of it, so that the next owner does not decide anew.
#pragma once

#include "waxwingnotch/base/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace waxwingnotch {

/// Where a rerouted job runs.
struct job_route {
    int shard = -1;
    std::string service;
    std::string queue;
    std::uint32_t max_attempts = 1;
    bool forwarded = false;         // the shard has the job's record
    bool cancel_forwarded = false;  // the shard has the record of its cancel
    // The job lay here because an earlier version had stored it here, and is forwarded with its progress. Its
    // record has the key ID then, with or without one under ID*.
    bool handed_over = false;
};

std::string encode_route(const job_route& route);
result<job_route> decode_route(std::string_view bytes);

/// Last character of the keys of rerouted jobs and of the decisions about them; the rest is the job's id.
constexpr char rerouted_key_suffix = '*';
inline std::string rerouted_key(std::string_view id)
{
    return std::string(id) + rerouted_key_suffix;
}

}  // namespace waxwingnotch
