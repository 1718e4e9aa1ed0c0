#include "load.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace load {

namespace {

constexpr double urgent_share = 0.1;
constexpr double deadline_share = 0.25;
constexpr double team_share = 0.3;
constexpr std::int64_t deadline_ms = 6'000;
const std::array<const char*, 3> teams = {"line-foremen", "warehouse-clerks", "ordering-desks"};

/// Uniform in (0, 1]. The standard distributions differ between libraries; this one does not.
double uniform(std::mt19937_64& random)
{
    constexpr double steps = 9007199254740992.0;  // 2^53
    constexpr unsigned dropped_bits = 11;
    return (static_cast<double>(random() >> dropped_bits) + 1) / steps;
}

arrival make_arrival(std::mt19937_64& random, const load_shape& shape, double due_s, std::size_t service)
{
    constexpr double ms_per_s = 1000;
    arrival item;
    item.due_ms = static_cast<std::int64_t>(due_s * ms_per_s);
    item.service = service;
    item.is_long = uniform(random) <= long_share;
    // Half fixed, half exponential: the run times of short work differ, but none of them is long.
    const double run = shape.run_ms * (1 - std::log(uniform(random))) / 2;
    item.run_ms = static_cast<std::int64_t>(item.is_long ? run * long_factor : run);
    item.urgent = uniform(random) <= urgent_share;
    item.deadline_ms = uniform(random) <= deadline_share ? deadline_ms : 0;
    item.team = uniform(random) <= team_share ? teams[random() % teams.size()] : "";
    return item;
}

}  // namespace

std::vector<arrival> make_arrivals(const load_shape& shape)
{
    std::mt19937_64 random(shape.seed);
    std::vector<arrival> arrivals;
    const double turn_s = shape.seconds / static_cast<double>(shape.services);
    for (std::size_t service = 0; service < shape.services; ++service) {
        const double peak_rate = shape.rate * peak_factor;
        double due_s = 0;
        while ((due_s -= std::log(uniform(random)) / peak_rate) < shape.seconds) {
            const bool is_peak = static_cast<std::size_t>(due_s / turn_s) == service;
            if (is_peak || uniform(random) <= quiet_factor / peak_factor) {
                arrivals.push_back(make_arrival(random, shape, due_s, service));
            }
        }
    }
    std::stable_sort(arrivals.begin(), arrivals.end(),
                     [](const arrival& left, const arrival& right) { return left.due_ms < right.due_ms; });
    arrivals.resize(std::min(arrivals.size(), shape.max_requests));
    return arrivals;
}

}  // namespace load
