/// @file
/// Arrivals of an open-loop load. The same parameters and seed give the same arrivals.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace load {

/// One request of the load.
struct arrival {
    std::int64_t due_ms = 0;  // when it is due, from the start of the load
    std::size_t service = 0;  // index
    std::int64_t run_ms = 0;
    bool is_long = false;
    bool urgent = false;
    std::int64_t deadline_ms = 0;  // 0: none
    std::string team;              // empty: none
};

/// Result of one request.
struct sample {
    std::string outcome = "open";  // `open`: no answer when the load ended
    std::int64_t wait_ms = 0;      // from the time at which it was due to the answer, without its run time
};

/// Parameters of a load.
struct load_shape {
    std::size_t services = 1;
    double seconds = 20;
    double rate = 100;    // mean requests per second and service
    double run_ms = 200;  // mean run time of short work
    std::size_t max_requests = 20'000;
    std::uint64_t seed = 0;
};

constexpr double peak_factor = 5;      // times the mean rate, while it is the service's turn
constexpr double quiet_factor = 0.05;  // times the mean rate, during the turns of other services
constexpr double long_share = 0.005;   // of the requests
constexpr double long_factor = 20;     // times the run time of short work

/// Makes a Poisson process per service. The services peak in turns of equal length.
/// @return arrivals in order of time, at most shape.max_requests
std::vector<arrival> make_arrivals(const load_shape& shape);

}  // namespace load
