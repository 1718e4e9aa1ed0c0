/// @file
/// A job that starts nothing, as one of its records cannot be decoded.
#pragma once

#include "shard/core_parts.hpp"

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <string>

namespace waxwingnotch {

struct shard_core::held_job {
    bool refused = false;            // the store does not take a record of its progress
    bool record_unreadable = false;  // its own record, or the decision about it; else some of its progress
    // Notes about occurrences whose progress cannot be decoded, in the form of progress: the tasks with runs
    // that workers have listed, and how these have ended. By number.
    std::map<std::uint32_t, std::unique_ptr<occurrence_entry>> notes;
    std::unique_ptr<job_entry> notes_job;  // gives the notes their keys
};

// Due time of what must not start; leaves room for sums.
constexpr std::int64_t never_ms = std::numeric_limits<std::int64_t>::max() / 4;

/// Between the id of the job and the number of the occurrence, in the keys of notes. Earlier versions ignore
/// such a record while the job exists, and delete it as an orphan after that.
constexpr const char* notes_suffix = ".notes";
std::string notes_key(const std::string& job, std::uint32_t occurrence);

/// Whether both have the same steps with as many tasks.
bool same_shape(const occurrence_progress& a, const occurrence_progress& b);

}  // namespace waxwingnotch
