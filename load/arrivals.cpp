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
    constexpr unsigned spare_bits = 11;
    return (static_cast<double>(random() >> spare_bits) + 1) / steps;
}

arrival make_one(std::mt19937_64& random, const load_shape& shape, double at_s, std::size_t service)
{
    constexpr double ms_per_s = 1000;
    arrival one;
    one.at_ms = static_cast<std::int64_t>(at_s * ms_per_s);
    one.service = service;
    one.is_long = uniform(random) <= long_share;
    // Half fixed, half exponential: short work differs in length, but none of it is long.
    const double run = shape.run_ms * (1 - std::log(uniform(random))) / 2;
    one.run_ms = static_cast<std::int64_t>(one.is_long ? run * long_factor : run);
    one.urgent = uniform(random) <= urgent_share;
    one.deadline_ms = uniform(random) <= deadline_share ? deadline_ms : 0;
    one.team = uniform(random) <= team_share ? teams[random() % teams.size()] : "";
    return one;
}

}  // namespace

std::vector<arrival> make_arrivals(const load_shape& shape)
{
    std::mt19937_64 random(shape.seed);
    std::vector<arrival> all;
    const double turn_s = shape.seconds / static_cast<double>(shape.services);
    for (std::size_t service = 0; service < shape.services; ++service) {
        const double peak = shape.rate * peak_factor;
        double at_s = 0;
        while ((at_s -= std::log(uniform(random)) / peak) < shape.seconds) {
            const bool its_turn = static_cast<std::size_t>(at_s / turn_s) == service;
            if (its_turn || uniform(random) <= quiet_factor / peak_factor) {
                all.push_back(make_one(random, shape, at_s, service));
            }
        }
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const arrival& left, const arrival& right) { return left.at_ms < right.at_ms; });
    all.resize(std::min(all.size(), shape.max_requests));
    return all;
}

}  // namespace load
