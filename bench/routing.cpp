#include "waxwingnotch/decision/routing.hpp"

#include "bench.hpp"

#include "waxwingnotch/entry/upstreams.hpp"

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <vector>

namespace bench {

namespace {

using namespace waxwingnotch;

constexpr std::uint64_t seed = 20261204;
constexpr std::uint32_t nodes = 8;
constexpr int rounds = 20'000;
constexpr int naive_rounds = 2'000;

fleet_state make_fleet(std::size_t hosts, std::size_t pools)
{
    fleet_state state;
    for (std::size_t index = 0; index < hosts; ++index) {
        const std::string name = "host-" + std::to_string(index);
        host_state& machine = state.hosts[name];
        machine.spec.name = name;
        machine.pool = "pool-" + std::to_string(index % pools);
    }
    return state;
}

/// Puts up to 7 requests in flight on each host, which has 8 slots, or 8 if @p full.
void load_hosts(const fleet_state& state, upstream_table& table, bool full)
{
    std::mt19937_64 random(seed);
    for (const auto& [name, machine] : state.hosts) {
        table.at(name).in_flight = full ? 8 : static_cast<std::uint32_t>(random() % 8);
    }
}

/// Baseline: scans all hosts of the state for those of the pool and chooses among them.
/// @return length of the chosen host's name; 1 if no host was chosen
std::size_t naive_choice(const upstream_query& query, const upstream_table& table)
{
    std::vector<route_candidate> candidates;
    for (const auto& [name, machine] : query.state.hosts) {
        const upstream* host = table.find(name);
        if (machine.pool != query.pool || machine.phase != host_phase::serving || host == nullptr ||
            host->listed_leaving || host->worker_reported_leaving || host->ejected_until > query.now_ms) {
            continue;
        }
        const std::uint32_t connections_share = machine.spec.connections / query.nodes;
        candidates.push_back({name, machine.spec.slots, host->in_flight,
                              busy_elsewhere(host->report, query.now_ms),
                              connections_share - std::min(connections_share, host->in_flight)});
    }
    const auto choice = choose_upstream(candidates, query.random);
    return choice ? candidates[choice->index].host.size() : 1;
}

/// @return mean time of a call of @p decide in ns
template <class Decision>
double mean_ns(int count, const Decision& decide)
{
    std::mt19937_64 random(seed);
    std::size_t sum = 0;
    const auto start = std::chrono::steady_clock::now();
    for (int round = 0; round < count; ++round) {
        sum += decide(random());
    }
    const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - start;
    return sum == 0 ? 0 : took.count() / count;
}

void measure(figures& out, const std::string& name, std::size_t hosts, std::size_t pools, bool full = false)
{
    const fleet_state state = make_fleet(hosts, pools);
    upstream_table table;
    load_hosts(state, table, full);
    const double naive = mean_ns(naive_rounds, [&](std::uint64_t random) {
        return naive_choice({state, "pool-0", nodes, 0, random}, table);
    });
    const double indexed = mean_ns(rounds, [&](std::uint64_t random) {
        const auto choice = table.choose({state, "pool-0", nodes, 0, random}, {});
        return choice ? choice->host.size() : 1;
    });
    out.push_back({"routing_decision_ns_" + name, indexed, "ns", naive});
}

/// Measures a rebuild of the index. One is due when hosts change and otherwise at most once a second.
void measure_rebuild(figures& out)
{
    constexpr int rebuilds = 200;
    const fleet_state state = make_fleet(2'100, 189);
    upstream_table table;
    load_hosts(state, table, false);
    const double ns = mean_ns(rebuilds, [&](std::uint64_t /*random*/) {
        table.invalidate_index();
        return static_cast<std::size_t>(table.pool_slots(state, "pool-0", 0));
    });
    out.push_back({"routing_index_ns_2100", ns, "ns", 0});
}

}  // namespace

void bench_routing(figures& out)
{
    measure(out, "50", 50, 5);
    measure(out, "500", 500, 50);
    measure(out, "2100", 2'100, 189);
    measure(out, "2100_one_pool", 2'100, 1);
    measure(out, "2100_one_pool_full", 2'100, 1, true);
    measure_rebuild(out);
}

}  // namespace bench
