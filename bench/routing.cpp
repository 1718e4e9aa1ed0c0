#include "waxwingnotch/decision/routing.hpp"

#include "bench.hpp"

#include <chrono>
#include <random>
#include <string>

namespace bench {

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr int rounds = 20'000;

/// Mean time of one decision among @p count candidates, in ns.
double decision_ns(std::size_t count)
{
    std::mt19937_64 random(seed);
    std::vector<std::string> names;
    std::vector<waxwingnotch::route_candidate> candidates;
    names.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        names.push_back("host-" + std::to_string(index));
        candidates.push_back({names.back(), 8, static_cast<std::uint32_t>(random() % 9), 0, 8});
    }
    std::size_t sum = 0;
    const auto start = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round) {
        const auto choice = waxwingnotch::choose_upstream(candidates, random());
        sum += choice ? choice->index : 0;
    }
    const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - start;
    return sum == 0 ? 0 : took.count() / rounds;
}

}  // namespace

void bench_routing(figures& out)
{
    for (const std::size_t count : {50U, 500U, 2'100U}) {
        out.push_back({"routing_decision_ns_" + std::to_string(count), decision_ns(count), "ns", 0});
    }
}

}  // namespace bench
