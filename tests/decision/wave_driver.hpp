/// @file
/// Runs a maintenance wave on the fold with hosts whose drain and reboot times are known, and the naive
/// choice of hosts.
#pragma once

#include "decision/fleet_driver.hpp"

#include "waxwingnotch/decision/wave.hpp"

#include <algorithm>
#include <map>
#include <random>

namespace waxwingnotch {

/// The naive wave: drains hosts in the order of their names, each if the limits permit it now.
inline wave_plan naive_wave(const fleet_state& state, std::int64_t now_ms)
{
    wave_plan plan = plan_wave(state, now_ms);
    plan.hosts.clear();
    std::uint32_t out = 0;
    std::map<std::string, std::uint32_t> racks;
    std::map<std::string, std::uint32_t> pools;
    for (const auto& [name, machine] : state.hosts) {
        out += machine.phase != host_phase::serving;
        racks[machine.spec.rack] += machine.phase != host_phase::serving;
    }
    for (const auto& [name, machine] : state.hosts) {
        const std::uint32_t left = available_hosts(state, machine.pool) - pools[machine.pool];
        if (plan.waves.empty() && state.wave.open && available(machine) &&
            machine.maintained_at < state.wave.started_at && out < state.rules_in_force.wave.max_parallel &&
            racks[machine.spec.rack] < state.rules_in_force.wave.max_per_rack &&
            left > budget_of(state, machine.pool) + 1) {
            host_record item{host_action::drain, name, machine.pool, "", machine.epoch, "", "", {}};
            item.reason = std::string(wave_reason_prefix) + "naive";
            plan.hosts.push_back(item);
            ++out;
            ++racks[machine.spec.rack];
            ++pools[machine.pool];
        }
    }
    return plan;
}

struct wave_driver {
    static constexpr std::int64_t step_ms = 10'000;

    fleet_driver fleet;
    std::map<std::string, std::int64_t> drain_ms;
    std::map<std::string, std::int64_t> reboot_ms;
    std::map<std::string, int> reboots;

    void draw_durations(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        for (const auto& [name, machine] : fleet.state.hosts) {
            drain_ms[name] = step_ms * static_cast<std::int64_t>(2 + random() % 10);
            reboot_ms[name] = step_ms * static_cast<std::int64_t>(18 + random() % 30);
        }
    }

    probe_observation observation(const std::string& host, const host_state& machine) const
    {
        const std::int64_t since = fleet.now - machine.phase_since;
        const bool silent = machine.phase == host_phase::rebooting && since < reboot_ms.at(host);
        return {since >= drain_ms.at(host), silent ? 0 : fleet.now};
    }

    /// @return true if something changed
    bool maintain_all()
    {
        std::vector<host_record> items;
        for (const auto& [name, machine] : fleet.state.hosts) {
            const maintenance_action next =
                next_action(fleet.state, machine, observation(name, machine), fleet.now);
            const bool reboot = next.step == maintenance_step::call_reboot;
            reboots[name] += reboot ? 1 : 0;
            if (next.step != maintenance_step::none) {
                items.push_back(fleet.act(reboot                                   ? host_action::reboot
                                          : next.step == maintenance_step::drained ? host_action::drained
                                                                                   : host_action::restore,
                                          name, next.reason));
            }
        }
        for (const host_record& item : items) {
            fleet.append(item);
        }
        return !items.empty();
    }

    using wave_function = wave_plan (*)(const fleet_state&, std::int64_t);

    bool plan(wave_function planner)
    {
        const wave_plan next = planner(fleet.state, fleet.now);
        for (const wave_record& item : next.waves) {
            fleet.append(item);
        }
        for (const host_record& item : next.hosts) {
            fleet.append(item);
        }
        return !next.waves.empty() || !next.hosts.empty();
    }

    /// Runs one wave. @return its duration in hours; 0 if it does not finish within the period
    double run(wave_function planner)
    {
        bool changed = true;
        const std::int64_t last = fleet.now + fleet.state.rules_in_force.wave.period_days * 86'400'000LL;
        while (fleet.now < last) {
            changed = changed && plan(planner);
            changed = maintain_all() || changed;
            if (fleet.state.wave.number > 0 && !fleet.state.wave.open) {
                return static_cast<double>(fleet.state.wave.finished_at - fleet.state.wave.started_at) /
                       3.6e6;
            }
            if (!changed) {
                fleet.now += step_ms;
                changed = fleet.now % 60'000 < step_ms || maintain_all();
            }
        }
        return 0;
    }

    /// @return lower bound of the duration for any order of the hosts: the largest of the times that each
    /// limit alone would take without idle time
    double lower_bound_hours() const
    {
        const wave_rule& rule = fleet.state.rules_in_force.wave;
        std::map<std::string, std::pair<double, std::uint32_t>> work;  // by limit: ms and hosts at a time
        for (const auto& [name, machine] : fleet.state.hosts) {
            const auto took = static_cast<double>(drain_ms.at(name) + reboot_ms.at(name));
            const auto home = static_cast<std::uint32_t>(fleet.state.hosts.size());
            const std::uint32_t have = available_hosts(fleet.state, machine.pool);
            const std::uint32_t budget = budget_of(fleet.state, machine.pool);
            work["all"].first += took;
            work["all"].second = std::min(rule.max_parallel, home);
            work["rack " + machine.spec.rack].first += took;
            work["rack " + machine.spec.rack].second = rule.max_per_rack;
            work["pool " + machine.pool].first += took;
            work["pool " + machine.pool].second = std::max(1U, have - budget);
        }
        double max_hours = 0;
        for (const auto& [name, item] : work) {
            max_hours = std::max(max_hours, item.first / item.second / 3.6e6);
        }
        return max_hours;
    }
};

}  // namespace waxwingnotch
