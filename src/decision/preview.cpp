#include "waxwingnotch/decision/preview.hpp"

#include "waxwingnotch/decision/placement.hpp"
#include "waxwingnotch/decision/wave.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace waxwingnotch {

namespace {

/// Budgets and available hosts of all pools at one time.
std::map<std::string, preview_pool> counts(const fleet_state& state, std::int64_t now_ms)
{
    std::map<std::string, preview_pool> all;
    const capacity_index index(state, now_ms);
    for (const pool_capacity& item : index.pools()) {
        const std::string name(item.name);
        all[name] = {name, item.budget, item.budget, item.available, item.available, item.available};
    }
    return all;
}

/// A copy of the state with its own clock, into which the future records are folded.
class simulation {
public:
    simulation(const fleet_state& state, std::int64_t now_ms) : state_(state), start_(now_ms), now_(now_ms) {}

    const fleet_state& state() const { return state_; }
    std::int64_t now_ms() const { return now_; }
    std::int64_t elapsed_ms() const { return now_ - start_; }
    void advance(std::int64_t more_ms) { now_ += more_ms; }

    /// @return the reason of a rejection; empty if the record was accepted
    std::string fold(record item)
    {
        batch value;
        value.writer = "preview";
        value.incarnation = start_;
        value.seq = ++seq_;
        value.seen_offset = state_.next_offset;
        value.records.push_back(std::move(item));
        return apply(state_, {state_.next_offset, now_, encode(value)}).front().reason;
    }

private:
    fleet_state state_;
    std::int64_t start_;
    std::int64_t now_;
    std::int64_t seq_ = 0;
};

std::int64_t longest_task(const fleet_state& state, const std::string& pool)
{
    std::int64_t longest = 0;
    for (const service_rule& service : state.rules_in_force.services) {
        if (service.pool == pool) {
            longest = std::max(longest, service.max_run_time_ms);
        }
    }
    return longest;
}

/// @return `drained` records of draining hosts that the inventory dropped, assumed to be idle
std::vector<host_record> drained_records(const fleet_state& state, std::int64_t now_ms)
{
    std::vector<host_record> items;
    for (const auto& [name, machine] : state.hosts) {
        if (!machine.removed || machine.phase != host_phase::draining) {
            continue;
        }
        const maintenance_action next = next_action(state, machine, {true, now_ms}, now_ms);
        if (next.step == maintenance_step::drained) {
            host_record item;
            item.action = host_action::drained;
            item.host = name;
            item.pool = machine.pool;
            item.epoch = machine.epoch;
            item.reason = next.reason;
            item.basis = machine.basis;
            items.push_back(std::move(item));
        }
    }
    return items;
}

bool waits_for_drain(const fleet_state& state)
{
    return std::any_of(state.hosts.begin(), state.hosts.end(), [](const auto& item) {
        return item.second.removed && item.second.phase == host_phase::draining;
    });
}

/// Folds @p items and adds the accepted ones as steps. @return true if at least one was accepted
bool apply_records(simulation& future, const std::vector<host_record>& items, preview& result)
{
    bool accepted = false;
    for (const host_record& item : items) {
        if (!future.fold(item).empty()) {
            continue;
        }
        accepted = true;
        result.steps.push_back({future.elapsed_ms(), item});
        if (item.action == host_action::drain) {
            result.drain_limit_ms = std::max(result.drain_limit_ms, longest_task(future.state(), item.pool));
        }
    }
    return accepted;
}

void update_counts(const fleet_state& state, std::int64_t now_ms, std::map<std::string, preview_pool>& pools)
{
    for (const auto& [name, now] : counts(state, now_ms)) {
        const auto [at, added] = pools.try_emplace(name, now);
        preview_pool& known = at->second;
        if (added) {
            known.budget_before = 0;
            known.available_before = 0;
        }
        known.budget_after = now.budget_after;
        known.available_after = now.available_after;
        known.available_min = std::min(known.available_min, now.available_min);
    }
}

bool is_affected(const preview_pool& item, const std::set<std::string>& changed_pools)
{
    return item.budget_before != item.budget_after || item.available_before != item.available_after ||
           item.available_min < item.available_after || changed_pools.count(item.name) > 0;
}

/// Plans and folds until no more records follow, not even after the delay for returns to home pools.
void run_plans(simulation& future, preview& result, std::map<std::string, preview_pool>& pools)
{
    bool waited_for_returns = false;
    for (int round = 0; round < max_preview_rounds; ++round) {
        future.advance(plan_interval_ms);
        std::set<std::string> names;
        for (const pool& item : future.state().inventory_in_force.pools) {
            names.insert(item.name);
        }
        bool accepted = apply_records(future, plan_pools(future.state(), names, future.now_ms()), result);
        accepted =
            apply_records(future, drained_records(future.state(), future.now_ms()), result) || accepted;
        update_counts(future.state(), future.now_ms(), pools);
        if (accepted || waits_for_drain(future.state())) {
            waited_for_returns = false;
            continue;
        }
        if (waited_for_returns) {
            return;
        }
        future.advance(return_delay_ms(future.state().rules_in_force));
        waited_for_returns = true;
    }
    result.complete = false;
}

}  // namespace

preview preview_publication(const fleet_state& state, const publish_record& item, std::int64_t now_ms)
{
    preview result;
    simulation future(state, now_ms);
    std::map<std::string, preview_pool> pools = counts(state, now_ms);
    result.refusal = future.fold(item);
    if (!result.refusal.empty()) {
        return result;
    }
    update_counts(future.state(), now_ms, pools);
    run_plans(future, result, pools);
    std::set<std::string> changed_pools;
    for (const preview_step& step : result.steps) {
        changed_pools.insert(step.item.pool);
        changed_pools.insert(step.item.to_pool);
    }
    result.duration_ms = result.steps.empty() ? 0 : result.steps.back().after_ms;
    for (const auto& [name, pool] : pools) {
        if (is_affected(pool, changed_pools)) {
            result.pools.push_back(pool);
        }
    }
    return result;
}

}  // namespace waxwingnotch
