#include "waxwingnotch/decision/wave.hpp"

#include "waxwingnotch/decision/placement.hpp"

#include <algorithm>
#include <map>

namespace waxwingnotch {

namespace {

constexpr std::size_t max_named_hosts = 10;  // in a reason
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

/// The fold keeps the reason of the pause in the reason of the resume, so that what an operator
/// accepted can be told from new trouble.
bool accepted_by_operator(const wave_state& wave, const std::string& subject)
{
    return !wave.paused && wave.reason.rfind(self_resume_prefix, 0) != 0 &&
           wave.reason.find(subject) != std::string::npos;
}

std::string failed_hosts(const fleet_state& state, std::int64_t now_ms)
{
    std::uint32_t fresh = 0;
    std::string names;
    for (const auto& [name, machine] : state.hosts) {
        if (!held_by_wave(machine) || !failed_to_return(machine, now_ms)) {
            continue;
        }
        const std::string subject = quoted("host", name);
        names += (names.empty() ? "" : ", ") + subject;
        fresh += accepted_by_operator(state.wave, subject) ? 0 : 1;
    }
    if (fresh < state.promises.wave.stop_after_failed) {
        return {};
    }
    return names + " did not come back within " + std::to_string(return_limit_ms / 60'000) + " min";
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

std::string trouble_of(const fleet_state& state, const capacity_index& index)
{
    if (!state.promises.wave.enabled) {
        return rules_name(state) + " disable waves";
    }
    const std::string lost = failed_hosts(state, index.now_ms());
    const std::string broken = broken_budget(state.wave, index);
    return lost + (lost.empty() || broken.empty() ? "" : "; ") + broken;
}

/// False while a pool that is at its budget changed lately; a wave that stops and resumes in
/// seconds would fill the log.
bool calm(const fleet_state& state, const capacity_index& index)
{
    return std::none_of(index.pools().begin(), index.pools().end(), [&](const pool_capacity& pool) {
        return pool.budget > 0 && pool.available <= pool.budget &&
               pool.quiet_since + state.promises.repair_after_ms > index.now_ms();
    });
}

std::string left_out(const fleet_state& state)
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

wave_record change(const fleet_state& state, wave_action action, std::string reason)
{
    return {action, state.wave.number + (action == wave_action::start ? 1 : 0), std::move(reason)};
}

/// @return the change that the wave itself needs, if any
std::vector<wave_record> change_wave(const fleet_state& state, const capacity_index& index)
{
    const wave_state& wave = state.wave;
    const std::int64_t period_ms = state.promises.wave.period_days * day_ms;
    const bool over = wave.started_at + period_ms <= index.now_ms();
    if (!wave.open) {
        if (!state.promises.wave.enabled || state.hosts.empty() || (wave.number > 0 && !over)) {
            return {};
        }
        return {change(state, wave_action::start,
                       "due every " + std::to_string(state.promises.wave.period_days) + " days by " +
                           rules_name(state))};
    }
    const bool self_stopped = wave.paused && wave.reason.rfind(self_stop_prefix, 0) == 0;
    if (wave.paused && !self_stopped) {
        return {};
    }
    if (wave_remaining(state) == 0) {
        return {change(state, wave_action::finish, "every host was maintained")};
    }
    if (over) {
        return {change(state, wave_action::finish, "the period is over; " + left_out(state))};
    }
    const std::string trouble = trouble_of(state, index);
    if (!wave.paused && !trouble.empty()) {
        return {change(state, wave_action::pause, std::string(self_stop_prefix) + trouble)};
    }
    if (wave.paused && trouble.empty() && calm(state, index)) {
        return {change(state, wave_action::resume, std::string(self_resume_prefix))};
    }
    return {};
}

/// Chooses the hosts that go next.
class wave_planner {
public:
    wave_planner(const fleet_state& state, capacity_index& index) : state_(state), index_(index)
    {
        for (const auto& [name, machine] : state.hosts) {
            due_in_pool_[machine.pool] += is_due(state, machine) ? 1 : 0;
            due_in_rack_[machine.spec.rack] += is_due(state, machine) ? 1 : 0;
            // A host that failed is a lost host; it must not hold up the others.
            if (held_by_wave(machine) && !failed_to_return(machine, index.now_ms())) {
                ++out_;
                ++out_in_rack_[machine.spec.rack];
            }
        }
    }

    std::vector<host_record> run()
    {
        while (out_ < state_.promises.wave.max_parallel) {
            const host_state* next = choose();
            if (next == nullptr) {
                lend();
                break;
            }
            drain(*next);
        }
        return std::move(plan_);
    }

private:
    /// One host in hand for a failure during the wave, where the pool has it.
    static std::uint32_t floor_of(const capacity_index& index, const pool_capacity& pool)
    {
        const std::uint32_t kept = index.state().promises.spare_min_hosts;
        if (pool.spare) {
            return pool.home > kept ? kept : 0;
        }
        const std::uint32_t free = index.spare_stock() > kept ? index.spare_stock() - kept : 0;
        const std::uint32_t expected =
            pool.available + pool.in_wave + pool.returning + std::min(pool.missing_for_target(), free);
        return pool.budget + (expected >= pool.budget + 2 ? 1 : 0);
    }

    bool may_go(const host_state& machine, const pool_capacity& pool) const
    {
        const auto out = out_in_rack_.find(machine.spec.rack);
        return is_due(state_, machine) && available(machine) && index_.is_free(machine) &&
               pool.available > floor_of(index_, pool) &&
               (out == out_in_rack_.end() || out->second < state_.promises.wave.max_per_rack);
    }

    /// Rounds that the host's pool and rack still need; the largest decides how long the wave takes.
    double urgency(const host_state& machine, const pool_capacity& pool) const
    {
        const std::uint32_t floor = floor_of(index_, pool);
        const std::uint32_t slots = pool.available + pool.in_wave;
        const double width = slots > floor ? slots - floor : 1;
        const double rounds = due_in_pool_.at(machine.pool) / width;
        const double rack_rounds =
            static_cast<double>(due_in_rack_.at(machine.spec.rack)) / state_.promises.wave.max_per_rack;
        return std::max(rounds, rack_rounds);
    }

    const host_state* choose() const
    {
        const host_state* best = nullptr;
        double most = 0;
        for (const pool_capacity& pool : index_.pools()) {
            for (const host_state* machine : pool.members) {
                if (!may_go(*machine, pool)) {
                    continue;
                }
                const double rounds = urgency(*machine, pool);
                if (best == nullptr || rounds > most ||
                    (rounds == most && machine->maintained_at < best->maintained_at)) {
                    best = machine;
                    most = rounds;
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
        item.alternatives = "the pool or rack with the most rounds left goes first; " + std::to_string(out_) +
                            " of " + std::to_string(state_.promises.wave.max_parallel) + " hosts are out";
        item.basis = {state_.inventory_document.version, state_.rules_document.version,
                      state_.rules_document.author};
        plan_.push_back(std::move(item));
        index_.take_out(machine);
        ++out_;
        ++out_in_rack_[machine.spec.rack];
        --due_in_pool_[machine.pool];
        --due_in_rack_[machine.spec.rack];
    }

    /// A pool whose budget takes all its hosts can only be maintained with a host on loan.
    void lend()
    {
        for (const pool_capacity& pool : index_.pools()) {
            const bool stuck = pool.available == pool.budget && pool.home == pool.budget &&
                               due_in_pool_[std::string(pool.name)] > 0;
            if (!stuck || pool.budget == 0) {
                continue;
            }
            const std::vector<host_record> loan =
                lend_host(index_, pool,
                          quoted("pool", pool.name) + " has no host above its budget, and wave " +
                              std::to_string(state_.wave.number) + " has to maintain its hosts");
            if (!loan.empty()) {
                plan_.push_back(loan.front());
                return;
            }
        }
    }

    const fleet_state& state_;
    capacity_index& index_;
    std::map<std::string, std::size_t> due_in_pool_;
    std::map<std::string, std::size_t> due_in_rack_;
    std::map<std::string, std::uint32_t> out_in_rack_;
    std::uint32_t out_ = 0;
    std::vector<host_record> plan_;
};

std::string mark_of(const fleet_state& state)
{
    return std::string(wave_reason_prefix) + std::to_string(state.wave.number) + ": ";
}

maintenance_action next_of_draining(const fleet_state& state, const host_state& machine,
                                    const host_sight& seen, std::int64_t now_ms)
{
    const bool of_wave = held_by_wave(machine);
    if (of_wave && machine.condition == host_condition::up &&
        available_hosts(state, machine.pool) < budget_of(state, machine.pool)) {
        return {maintenance_step::restore, mark_of(state) + "put off, the pool is below its budget"};
    }
    if (of_wave && machine.condition == host_condition::down &&
        machine.condition_since + state.promises.repair_after_ms <= now_ms) {
        // Its tasks may still run where this node cannot see them, so it must not be rebooted.
        return {maintenance_step::restore, mark_of(state) + "put off, the host went down while draining"};
    }
    // Usage lags: a task that started just before the drain may not show yet.
    const bool settled = machine.phase_since + usage_lag_ms < seen.last_answered_call;
    if (!seen.idle || !settled) {
        return {};
    }
    return {maintenance_step::drained,
            (of_wave ? mark_of(state) : std::string()) + "no task is running there"};
}

}  // namespace

std::string wave_trouble(const fleet_state& state, std::int64_t now_ms)
{
    return trouble_of(state, capacity_index(state, now_ms));
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
    plan.waves = change_wave(state, index);
    if (plan.waves.empty() && state.wave.open && !state.wave.paused) {
        plan.hosts = wave_planner(state, index).run();
    }
    return plan;
}

maintenance_action next_action(const fleet_state& state, const host_state& machine, const host_sight& seen,
                               std::int64_t now_ms)
{
    switch (machine.phase) {
    case host_phase::serving:
        return {};
    case host_phase::draining:
        return next_of_draining(state, machine, seen, now_ms);
    case host_phase::drained:
        if (held_by_wave(machine) && !machine.removed) {
            return {maintenance_step::call_reboot, mark_of(state) + "drained"};
        }
        return {};
    case host_phase::rebooting:
        if (held_by_wave(machine) && machine.phase_since + reboot_settle_ms < seen.last_answered_call) {
            return {maintenance_step::restore, mark_of(state) + "answers after the reboot"};
        }
        return {};
    }
    return {};
}

}  // namespace waxwingnotch
