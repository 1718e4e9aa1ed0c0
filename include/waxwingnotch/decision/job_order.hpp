/// @file
/// Start order of waiting jobs when their pool cannot run all of them at once, as in a burst of a few
/// seconds in which a queue needs more capacity than its pool has.
///
/// Long-running jobs come first. Jobs that can still meet their objective follow, ordered by slack and
/// remaining work; then late jobs whose result still counts, least remaining work first; then all others.
/// Within each of these groups, a job with a smaller priority number comes first.
#pragma once

#include <cstdint>
#include <tuple>

namespace waxwingnotch {

/// One occurrence of a job that has waiting tasks.
struct waiting_job {
    bool long_running = false;          // runs until it is cancelled
    int priority = 0;                   // 0 starts first
    std::int64_t age_ms = 0;            // since it was submitted, or since it was due
    std::int64_t objective_ms = 0;      // age by which it should be completed
    std::int64_t remaining_ms = 0;      // longest chain of remaining work
    std::int64_t remaining_cpu_ms = 0;  // remaining work in core-milliseconds
};

/// Whether a waiting job can still meet its objective.
enum class objective_status : std::uint8_t {
    serving,    // long-running; its callers notice each second without it
    on_time,    // can still meet the objective
    late,       // misses the objective, but the result still counts for less
    worthless,  // ends after late_limit_factor times the objective; the result no longer counts
};

/// A late result counts up to this multiple of the objective.
constexpr std::int64_t late_limit_factor = 3;

objective_status objective_status_of(const waiting_job& job);

/// @return sort key; the smallest starts first
std::tuple<int, int, std::int64_t> order_key(const waiting_job& job);

}  // namespace waxwingnotch
