#include "bench.hpp"
#include "decision/fleet_driver.hpp"
#include "decision/naive_placement.hpp"
#include "decision/wave_driver.hpp"

#include "waxwingnotch/config/parse.hpp"

#include <chrono>
#include <filesystem>
#include <queue>
#include <random>
#include <stdexcept>

namespace bench {

namespace {

using namespace waxwingnotch;

constexpr std::uint64_t seed = 20261204;
constexpr std::int64_t minute_ms = 60'000;
constexpr std::int64_t hour_ms = 60 * minute_ms;
constexpr std::int64_t day_ms = 24 * hour_ms;
constexpr std::int64_t simulated_days = 120;
constexpr std::int64_t longest_step_ms = 30 * minute_ms;

// Rates per host and day. The design page gives 12 failures and 110 restarts a day at 2,100 hosts.
constexpr double failures_per_day = 12.0 / 2'100;
constexpr double restarts_per_day = 110.0 / 2'100;
constexpr double bursts_per_day = 2;  // bursts of demand; the host answers late for some seconds
constexpr std::int64_t days_between_rack_outages = 45;

/// Loads the fleet of an example.
/// @throws std::runtime_error if there is no such example
fleet_driver load_example(const std::string& name, bool waves)
{
    const auto root = std::filesystem::path(__FILE__).parent_path().parent_path() / "examples" / name;
    findings problems;
    const auto inventory_text = read_file((root / "inventory.toml").string());
    const auto rules_text = read_file((root / "rules.toml").string());
    if (!inventory_text || !rules_text) {
        throw std::runtime_error("no example in " + root.string());
    }
    rules parsed = parse_rules(rules_text.value(), "rules.toml", problems);
    parsed.wave.enabled = waves;
    fleet_driver fleet;
    fleet.publish(parse_inventory(inventory_text.value(), "inventory.toml", problems));
    fleet.publish(parsed);
    return fleet;
}

/// A change of a host's condition.
struct outage_event {
    std::int64_t at_ms = 0;
    std::string host;
    host_condition condition = host_condition::down;

    bool operator>(const outage_event& other) const { return at_ms > other.at_ms; }
};

using outage_queue = std::priority_queue<outage_event, std::vector<outage_event>, std::greater<>>;

/// Outages of a fleet over the simulated time, with a fixed seed.
class outage_generator {
public:
    explicit outage_generator(const fleet_driver& fleet) : start_(fleet.now)
    {
        for (const auto& [name, machine] : fleet.state.hosts) {
            add_random_outages(name, failures_per_day, 4 * hour_ms, 44 * hour_ms, host_condition::down);
            add_random_outages(name, restarts_per_day, minute_ms, 9 * minute_ms, host_condition::down);
            add_random_outages(name, bursts_per_day, 3'000, 10'000, host_condition::doubtful);
        }
        for (std::int64_t day = days_between_rack_outages; day < simulated_days;
             day += days_between_rack_outages) {
            add_rack_outage(fleet.state, start_ + day * day_ms);
        }
    }

    const outage_queue& events() const { return events_; }

private:
    void add_outage(const std::string& host, std::int64_t at_ms, std::int64_t duration_ms,
                    host_condition condition)
    {
        events_.push({at_ms, host, condition});
        events_.push({at_ms + duration_ms, host, host_condition::up});
    }

    void add_random_outages(const std::string& host, double per_day, std::int64_t shortest_ms,
                            std::int64_t range_ms, host_condition condition)
    {
        std::exponential_distribution<double> interval(per_day / static_cast<double>(day_ms));
        auto at_ms = start_ + static_cast<std::int64_t>(interval(random_));
        while (at_ms < start_ + simulated_days * day_ms) {
            const std::int64_t duration_ms = shortest_ms + static_cast<std::int64_t>(random_()) % range_ms;
            add_outage(host, at_ms, duration_ms < 0 ? shortest_ms : duration_ms, condition);
            at_ms += static_cast<std::int64_t>(interval(random_));
        }
    }

    void add_rack_outage(const fleet_state& state, std::int64_t at_ms)
    {
        const std::string& rack =
            state.inventory_in_force.racks[random_() % state.inventory_in_force.racks.size()].name;
        for (const auto& [name, machine] : state.hosts) {
            if (machine.spec.rack == rack) {
                add_outage(name, at_ms, 6 * hour_ms, host_condition::down);
            }
        }
    }

    std::mt19937_64 random_{seed};
    std::int64_t start_;
    outage_queue events_;
};

/// Cost of a planner over the simulated time.
struct run_cost {
    double moves = 0;
    double buffer_hours = 0;  // host-hours beyond the budgets
    double short_hours = 0;   // host-hours missing from the budgets
};

/// @return available hosts beyond the budgets, over all pools
double buffer_hosts(const fleet_state& state)
{
    double sum = 0;
    for (const pool& item : state.inventory_in_force.pools) {
        const std::uint32_t have = available_hosts(state, item.name);
        const std::uint32_t budget = budget_of(state, item.name);
        sum += have > budget ? have - budget : 0;
    }
    return sum;
}

/// Simulates the outages. Applies the planner's proposals until there are none at each change of a host's
/// condition, when a repair is due, and at least every longest_step_ms.
run_cost simulate(fleet_driver fleet, const fleet_driver::plan_function& plan)
{
    outage_queue events = outage_generator(fleet).events();
    run_cost cost;
    const std::int64_t end = fleet.now + simulated_days * day_ms;
    std::int64_t repair_at = end;
    while (fleet.now < end) {
        fleet.apply_plans(plan);
        std::int64_t next = std::min({end, fleet.now + longest_step_ms, repair_at});
        next = events.empty() ? next : std::min(next, events.top().at_ms);
        const double hours = static_cast<double>(next - fleet.now) / static_cast<double>(hour_ms);
        cost.buffer_hours += hours * buffer_hosts(fleet.state);
        cost.short_hours += hours * fleet.shortfall();
        fleet.now = next;
        repair_at = repair_at <= next ? end : repair_at;
        while (!events.empty() && events.top().at_ms <= fleet.now) {
            fleet.condition(events.top().host, events.top().condition);
            repair_at = std::min(repair_at, fleet.now + fleet.state.rules_in_force.repair_after_ms);
            events.pop();
        }
    }
    cost.moves = static_cast<double>(fleet.moves);
    return cost;
}

void bench_moves(const std::string& name, figures& out)
{
    const fleet_driver fleet = load_example(name, false);
    const run_cost ours = simulate(fleet, fleet_driver::plan_all_pools);
    const run_cost baseline = simulate(fleet, naive::plan_next);
    out.push_back({"host_moves_" + name, ours.moves, "moves", baseline.moves});
    out.push_back({"buffer_cost_" + name, ours.buffer_hours, "host-h", baseline.buffer_hours});
    out.push_back({"budget_short_" + name, ours.short_hours, "host-h", baseline.short_hours});
    const cost_weights& weights = fleet.state.rules_in_force.weights;
    const auto weighed = [&](const run_cost& cost) {
        return weights.moves * cost.moves + weights.buffer * cost.buffer_hours;
    };
    out.push_back({"weighed_cost_" + name, weighed(ours), "points", weighed(baseline)});
}

/// @return a fleet with @p pools serving pools of @p per_pool hosts each; the rest of the @p hosts is spare.
///         The hosts of one rack are down.
fleet_driver large_fleet(std::size_t pools, std::size_t per_pool, std::size_t hosts)
{
    fleet_driver fleet;
    const inventory machines = make_inventory(pools, per_pool, hosts - pools * per_pool);
    fleet.publish(machines);
    fleet.publish(make_rules(pools, static_cast<std::uint32_t>(per_pool) - 3));
    for (const host& machine : machines.hosts) {
        if (machine.rack == "rack-0") {
            fleet.condition(machine.name, host_condition::down);
        }
    }
    fleet.now += minute_ms;
    return fleet;
}

/// @return mean time of a call of @p work in us
template <class Work>
double time_us(int rounds, Work work)
{
    const auto start = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round) {
        work();
    }
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - start;
    return took.count() / rounds;
}

/// Measures one plan of all pools after the loss of a rack. For the naive planner, which proposes step by
/// step, the time to apply its proposals is left out.
void bench_decision(std::size_t pools, std::size_t per_pool, std::size_t hosts, figures& out)
{
    fleet_driver fleet = large_fleet(pools, per_pool, hosts);
    const std::set<std::string> names = fleet.pool_names();
    std::size_t proposed = 0;
    const double ours = time_us(50, [&] { proposed = plan_pools(fleet.state, names, fleet.now).size(); });
    double baseline = 0;
    std::vector<host_record> items;
    do {
        baseline += time_us(1, [&] { items = naive::plan_next(fleet); });
        for (const host_record& item : items) {
            fleet.append(item);
        }
    } while (!items.empty());
    if (proposed == 0) {
        throw std::runtime_error("the lost rack was not replaced");
    }
    out.push_back({"placement_decision_us_" + std::to_string(hosts), ours, "us", baseline});
}

/// @param with_naive false if the naive planner would take minutes
void bench_rollout(const std::string& name, const fleet_driver& fleet, bool with_naive, figures& out)
{
    wave_driver ours;
    ours.fleet = fleet;
    ours.draw_durations(seed);
    wave_driver baseline = ours;
    const double bound = ours.lower_bound_hours();
    const double took = ours.run(plan_wave);
    if (with_naive) {
        out.push_back({"rollout_time_" + name, took, "h", baseline.run(naive_wave)});
    }
    out.push_back({"rollout_to_bound_" + name, took, "h", bound});
}

/// @return a fleet whose hosts are all up, with a maintenance wave due
fleet_driver fleet_with_wave(std::size_t pools, std::size_t hosts, std::uint32_t parallel)
{
    fleet_driver fleet = large_fleet(pools, 11, hosts);
    for (const host& machine : fleet.state.inventory_in_force.hosts) {
        fleet.condition(machine.name, host_condition::up);
    }
    rules rule_set = fleet.state.rules_in_force;
    rule_set.wave = {true, 28, parallel, 1, 2};
    fleet.publish(rule_set);
    return fleet;
}

}  // namespace

void bench_placement(figures& out)
{
    for (const char* name : {"tokachi", "resins"}) {
        bench_moves(name, out);
        bench_rollout(name, load_example(name, true), true, out);
    }
    bench_decision(5, 9, 50, out);
    bench_decision(45, 11, 500, out);
    bench_decision(189, 11, 2'100, out);
    bench_rollout("500", fleet_with_wave(45, 500, 20), true, out);
    bench_rollout("2100", fleet_with_wave(189, 2'100, 20), false, out);
}

}  // namespace bench
