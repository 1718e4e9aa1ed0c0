#include "waxwingnotch/decision/never_runnable.hpp"

#include "../tests/decision/naive_never_runnable.hpp"
#include "bench.hpp"

#include <chrono>

namespace bench {

namespace {

constexpr int pools = 189;
constexpr int hosts = 2'100;

waxwingnotch::fleet_state large_fleet()
{
    waxwingnotch::fleet_state state;
    state.rules_document.version = 1;
    state.inventory_document.version = 1;
    for (int pool = 0; pool < pools; ++pool) {
        waxwingnotch::service_rule service;
        service.name = "service-" + std::to_string(pool);
        service.pool = "pool-" + std::to_string(pool);
        service.max_size_mb = 1'000'000;
        state.rules_in_force.services.push_back(service);
    }
    for (int index = 0; index < hosts; ++index) {
        waxwingnotch::host_state machine;
        machine.spec.name = "host-" + std::to_string(index);
        machine.spec.pool = "pool-" + std::to_string(index % pools);
        machine.pool = machine.spec.pool;
        state.hosts[machine.spec.name] = machine;
    }
    return state;
}

/// @return mean time of a check in ns; 0 if only some of the jobs were found never runnable
template <class Check>
double check_ns(const waxwingnotch::fleet_state& state, std::int64_t size_mb, int rounds, Check check)
{
    int never_count = 0;
    const auto start = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round) {
        const std::string& service =
            state.rules_in_force
                .services[static_cast<std::size_t>(round) % state.rules_in_force.services.size()]
                .name;
        never_count += check(waxwingnotch::declared_job{service, size_mb, 0}) ? 1 : 0;
    }
    const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - start;
    return never_count != 0 && never_count != rounds ? 0 : took.count() / rounds;
}

}  // namespace

void bench_never_runnable(figures& out)
{
    const waxwingnotch::fleet_state state = large_fleet();
    waxwingnotch::runnable_check checker;
    const auto ours = [&](const waxwingnotch::declared_job& job) {
        return checker.check(state, job).limit != waxwingnotch::exceeded_limit::none;
    };
    const auto naive = [&](const waxwingnotch::declared_job& job) {
        return waxwingnotch::naive::never_runnable(state, job);
    };
    constexpr int fits = 16;
    constexpr int exceeds = 100'000;
    out.push_back({"never_runnable_ns_fits", check_ns(state, fits, 20'000, ours), "ns",
                   check_ns(state, fits, 2'000, naive)});
    out.push_back({"never_runnable_ns_exceeds", check_ns(state, exceeds, 2'000, ours), "ns",
                   check_ns(state, exceeds, 2'000, naive)});
}

}  // namespace bench
