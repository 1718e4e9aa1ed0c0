#include "waxwingnotch/decision/wave.hpp"

#include "waxwingnotch/decision/placement.hpp"

#include <algorithm>
#include <map>

namespace waxwingnotch {

namespace {

constexpr std::size_t max_named_hosts = 10;  // in the reason of a record
constexpr std::int64_t day_ms = 24LL * 3600 * 1000;

std::string quoted(const char* kind, std::string_view name)
{
    return std::string(kind) + " '" + std::string(name) + "'";
}

std::string rules_name(const fleet_state& state)
{
    return "rules version " + std::to_string(state.rules_document.version);
}

bool is_due(const fleet_state& state, const host_state& machine)
{
    return !machine.removed && machine.maintained_at < state.wave.started_at;
}

/// True if an operator's `resume` accepted the subject. The fold keeps the reason of the pause in the reason
/// of the resume, so that accepted failures can be distinguished from new ones.
bool accepted_by_operator(const wave_state& wave, const std::string& subject)
{
    return !wave.paused && wave.reason.rfind(auto_resume_prefix, 0) != 0 &&
           wave.reason.find(subject) != std::string::npos;
}

std::string failed_hosts(const fleet_state& state, std::int64_t now_ms)
{
    std::uint32_t unaccepted = 0;
    std::string names;
    for (const auto& [name, machine] : state.hosts) {
        if (!is_out_for_wave(machine) || !reboot_timed_out(machine, now_ms)) {
            continue;
        }
        const std::string subject = quoted("host", name);
        names += (names.empty() ? "" : ", ") + subject;
        unaccepted += accepted_by_operator(state.wave, subject) ? 0 : 1;
    }
    if (unaccepted < state.rules_in_force.wave.stop_after_failed) {
        return {};
    }
    return names + " did not come back within " + std::to_string(reboot_timeout_ms / 60'000) + " min";
}

std::string broken_budget(const wave_state& wave, const capacity_index& index)
{
    for (const pool_capacity& pool : index.pools()) {
        const std::string subject = quoted("pool", pool.name);
        if (pool.available < pool.budget && !accepted_by_operator(wave, subject)) {
            return subject + " has " + std::to_string(pool.available) + " hosts of its budget of " +
                   std::to_string(pool.budget);
        }
    }
    return {};
}

std::string stop_reason_of(const fleet_state& state, const capacity_index& index)
{
    if (!state.rules_in_force.wave.enabled) {
        return rules_name(state) + " disable waves";
    }
    const std::string lost = failed_hosts(state, index.now_ms());
    const std::string broken = broken_budget(state.wave, index);
    return lost + (lost.empty() || broken.empty() ? "" : "; ") + broken;
}

/// False if a pool at or below its budget changed within repair_after_ms. A wave that pauses and resumes
/// within seconds would flood the log.
bool budgets_settled(const fleet_state& state, const capacity_index& index)
{
    return std::none_of(index.pools().begin(), index.pools().end(), [&](const pool_capacity& pool) {
        return pool.budget > 0 && pool.available <= pool.budget &&
               pool.last_change_at + state.rules_in_force.repair_after_ms > index.now_ms();
    });
}

std::string unmaintained_hosts(const fleet_state& state)
{
    std::size_t count = 0;
    std::string names;
    for (const auto& [name, machine] : state.hosts) {
        if (is_due(state, machine) && ++count <= max_named_hosts) {
            names += (names.empty() ? "" : ", ") + name;
        }
    }
    return std::to_string(count) + " hosts were not maintained: " + names +
           (count > max_named_hosts ? " and others" : "");
}

wave_record make_change(const fleet_state& state, wave_action action, std::string reason)
{
    return {action, state.wave.number + (action == wave_action::start ? 1 : 0), std::move(reason)};
}

/// @return the next change of the wave's own state; empty if there is none
std::vector<wave_record> next_change(const fleet_state& state, const capacity_index& index)
{
    const wave_state& wave = state.wave;
    const std::int64_t period_ms = state.rules_in_force.wave.period_days * day_ms;
    const bool period_over = wave.started_at + period_ms <= index.now_ms();
    if (!wave.open) {
        if (!state.rules_in_force.wave.enabled || state.hosts.empty() || (wave.number > 0 && !period_over)) {
            return {};
        }
        return {make_change(state, wave_action::start,
                            "due every " + std::to_string(state.rules_in_force.wave.period_days) +
                                " days by " + rules_name(state))};
    }
    const bool auto_paused = wave.paused && wave.reason.rfind(auto_pause_prefix, 0) == 0;
    if (wave.paused && !auto_paused) {
        return {};
    }
    if (wave_remaining(state) == 0) {
        return {make_change(state, wave_action::finish, "every host was maintained")};
    }
    if (period_over) {
        return {make_change(state, wave_action::finish, "the period is over; " + unmaintained_hosts(state))};
    }
    const std::string stop_reason = stop_reason_of(state, index);
    if (!wave.paused && !stop_reason.empty()) {
        return {make_change(state, wave_action::pause, std::string(auto_pause_prefix) + stop_reason)};
    }
    if (wave.paused && stop_reason.empty() && budgets_settled(state, index)) {
        return {make_change(state, wave_action::resume, std::string(auto_resume_prefix))};
    }
    return {};
}

/// Chooses the hosts to drain next.
class wave_planner {
public:
    wave_planner(const fleet_state& state, capacity_index& index) : state_(state), index_(index)
    {
        for (const auto& [name, machine] : state.hosts) {
            due_in_pool_[machine.pool] += is_due(state, machine) ? 1 : 0;
            due_in_rack_[machine.spec.rack] += is_due(state, machine) ? 1 : 0;
            // A host that failed to return counts as lost and must not block the others.
            if (is_out_for_wave(machine) && !reboot_timed_out(machine, index.now_ms())) {
                ++out_count_;
                ++out_in_rack_[machine.spec.rack];
            }
        }
    }

    std::vector<host_record> run()
    {
        while (out_count_ < state_.rules_in_force.wave.max_parallel) {
            const host_state* next = choose();
            if (next == nullptr) {
                lend_one_host();
                break;
            }
            drain(*next);
        }
        return std::move(plan_);
    }

private:
    /// Hosts that must stay available: the budget, plus one for a failure during the wave if the pool has it.
    /// A spare pool keeps spare_min_hosts; one without more home hosts keeps none, or it could not be
    /// maintained.
    static std::uint32_t min_available(const capacity_index& index, const pool_capacity& pool)
    {
        const std::uint32_t kept = index.state().rules_in_force.spare_min_hosts;
        if (pool.spare) {
            return pool.home > kept ? kept : 0;
        }
        const std::uint32_t free = index.available_spares() > kept ? index.available_spares() - kept : 0;
        const std::uint32_t expected =
            pool.available + pool.in_wave + pool.returning + std::min(pool.missing_for_target(), free);
        return pool.budget + (expected >= pool.budget + 2 ? 1 : 0);
    }

    bool can_drain(const host_state& machine, const pool_capacity& pool) const
    {
        const auto out = out_in_rack_.find(machine.spec.rack);
        return is_due(state_, machine) && available(machine) && index_.is_unplanned(machine) &&
               pool.available > min_available(index_, pool) &&
               (out == out_in_rack_.end() || out->second < state_.rules_in_force.wave.max_per_rack);
    }

    /// Rounds of drains that the host's pool or rack still needs; the largest value of all hosts determines
    /// how long the wave takes.
    double rounds_needed(const host_state& machine, const pool_capacity& pool) const
    {
        const std::uint32_t required = min_available(index_, pool);
        const std::uint32_t usable = pool.available + pool.in_wave;
        const double drains_at_once = usable > required ? usable - required : 1;
        const double rounds = due_in_pool_.at(machine.pool) / drains_at_once;
        const double rack_rounds =
            static_cast<double>(due_in_rack_.at(machine.spec.rack)) / state_.rules_in_force.wave.max_per_rack;
        return std::max(rounds, rack_rounds);
    }

    const host_state* choose() const
    {
        const host_state* best = nullptr;
        double max_rounds = 0;
        for (const pool_capacity& pool : index_.pools()) {
            for (const host_state* machine : pool.members) {
                if (!can_drain(*machine, pool)) {
                    continue;
                }
                const double rounds = rounds_needed(*machine, pool);
                if (best == nullptr || rounds > max_rounds ||
                    (rounds == max_rounds && machine->maintained_at < best->maintained_at)) {
                    best = machine;
                    max_rounds = rounds;
                }
            }
        }
        return best;
    }

    void drain(const host_state& machine)
    {
        const pool_capacity& pool = *index_.find(machine.pool);
        host_record item;
        item.action = host_action::drain;
        item.host = machine.spec.name;
        item.pool = machine.pool;
        item.epoch = machine.epoch;
        item.reason = std::string(wave_reason_prefix) + std::to_string(state_.wave.number) + ": " +
                      std::to_string(pool.available - 1) + " hosts stay for a budget of " +
                      std::to_string(pool.budget);
        item.alternatives = "the pool or rack with the most rounds left goes first; " +
                            std::to_string(out_count_) + " of " +
                            std::to_string(state_.rules_in_force.wave.max_parallel) + " hosts are out";
        item.basis = {state_.inventory_document.version, state_.rules_document.version,
                      state_.rules_document.author};
        plan_.push_back(std::move(item));
        index_.take_out(machine);
        ++out_count_;
        ++out_in_rack_[machine.spec.rack];
        --due_in_pool_[machine.pool];
        --due_in_rack_[machine.spec.rack];
    }

    /// Lends a host to a pool whose budget needs all its hosts; it can be maintained only with a lent host.
    void lend_one_host()
    {
        for (const pool_capacity& pool : index_.pools()) {
            const bool all_needed = pool.available == pool.budget && pool.home == pool.budget &&
                                    due_in_pool_[std::string(pool.name)] > 0;
            if (!all_needed || pool.budget == 0) {
                continue;
            }
            const std::vector<host_record> moves =
                lend_host(index_, pool,
                          quoted("pool", pool.name) + " has no host above its budget, and wave " +
                              std::to_string(state_.wave.number) + " has to maintain its hosts");
            if (!moves.empty()) {
                plan_.push_back(moves.front());
                return;
            }
        }
    }

    const fleet_state& state_;
    capacity_index& index_;
    std::map<std::string, std::size_t> due_in_pool_;
    std::map<std::string, std::size_t> due_in_rack_;
    std::map<std::string, std::uint32_t> out_in_rack_;
    std::uint32_t out_count_ = 0;
    std::vector<host_record> plan_;
};

std::string reason_prefix(const fleet_state& state)
{
    return std::string(wave_reason_prefix) + std::to_string(state.wave.number) + ": ";
}

maintenance_action next_for_draining(const fleet_state& state, const host_state& machine,
                                     const probe_observation& seen, std::int64_t now_ms)
{
    const bool of_wave = is_out_for_wave(machine);
    if (of_wave && machine.condition == host_condition::up &&
        available_hosts(state, machine.pool) < budget_of(state, machine.pool)) {
        return {maintenance_step::restore, reason_prefix(state) + "put off, the pool is below its budget"};
    }
    if (of_wave && machine.condition == host_condition::down &&
        machine.condition_since + state.rules_in_force.repair_after_ms <= now_ms) {
        // Its tasks may still run although this node cannot reach it, so it must not be rebooted.
        return {maintenance_step::restore,
                reason_prefix(state) + "put off, the host went down while draining"};
    }
    // Usage reports lag: a task that started just before the drain may not be listed yet.
    const bool settled = machine.phase_since + usage_lag_ms < seen.last_answered_call;
    if (!seen.idle || !settled) {
        return {};
    }
    return {maintenance_step::drained,
            (of_wave ? reason_prefix(state) : std::string()) + "no task is running there"};
}

}  // namespace

std::string wave_stop_reason(const fleet_state& state, std::int64_t now_ms)
{
    return stop_reason_of(state, capacity_index(state, now_ms));
}

std::size_t wave_remaining(const fleet_state& state)
{
    return static_cast<std::size_t>(
        std::count_if(state.hosts.begin(), state.hosts.end(),
                      [&](const auto& item) { return state.wave.open && is_due(state, item.second); }));
}

wave_plan plan_wave(const fleet_state& state, std::int64_t now_ms)
{
    capacity_index index(state, now_ms);
    wave_plan plan;
    plan.waves = next_change(state, index);
    if (plan.waves.empty() && state.wave.open && !state.wave.paused) {
        plan.hosts = wave_planner(state, index).run();
    }
    return plan;
}

maintenance_action next_action(const fleet_state& state, const host_state& machine,
                               const probe_observation& seen, std::int64_t now_ms)
{
    switch (machine.phase) {
    case host_phase::serving:
        return {};
    case host_phase::draining:
        return next_for_draining(state, machine, seen, now_ms);
    case host_phase::drained:
        if (is_out_for_wave(machine) && !machine.removed) {
            return {maintenance_step::call_reboot, reason_prefix(state) + "drained"};
        }
        return {};
    case host_phase::rebooting:
        if (is_out_for_wave(machine) && machine.phase_since + reboot_settle_ms < seen.last_answered_call) {
            return {maintenance_step::restore, reason_prefix(state) + "answers after the reboot"};
        }
        return {};
    }
    return {};
}

}  // namespace waxwingnotch
