/// @file
/// Arrivals of the load, fixed by the seed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace load {

/// One request.
struct arrival {
    std::int64_t at_ms = 0;
    std::size_t service = 0;
    std::int64_t run_ms = 0;
    bool is_long = false;
    bool urgent = false;
    std::int64_t deadline_ms = 0;  // 0: none
    std::string team;              // empty: none
};

/// What came of it.
struct sample {
    std::string outcome = "open";  // no answer when the load ended
    std::int64_t wait_ms = 0;      // from the time at which it was due to the answer, less its run time
};

/// Size of a load.
struct load_shape {
    std::size_t services = 1;
    double seconds = 20;
    double rate = 100;    // mean requests per second and service
    double run_ms = 200;  // mean run time of short work
    std::size_t max_requests = 20'000;
    std::uint64_t seed = 0;
};

constexpr double peak_factor = 5;      // times the mean, in the service's turn
constexpr double quiet_factor = 0.05;  // times the mean, in the turns of the others
constexpr double long_share = 0.005;   // of the requests
constexpr double long_factor = 20;     // times the run time of short work

/// @return arrivals in order of time, as a Poisson process per turn
std::vector<arrival> make_arrivals(const load_shape& shape);

}  // namespace load
