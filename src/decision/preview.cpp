#include "waxwingnotch/decision/preview.hpp"

#include "waxwingnotch/decision/placement.hpp"
#include "waxwingnotch/decision/wave.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace waxwingnotch {

namespace {

/// Counts of all pools at one point.
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

/// The state as it would become.
class rehearsal {
public:
    rehearsal(const fleet_state& state, std::int64_t now_ms) : state_(state), start_(now_ms), now_(now_ms) {}

    const fleet_state& state() const { return state_; }
    std::int64_t now_ms() const { return now_; }
    std::int64_t elapsed_ms() const { return now_ - start_; }
    void wait(std::int64_t more_ms) { now_ += more_ms; }

    /// @return the reason of a rejection, or empty
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
    for (const service_rule& service : state.promises.services) {
        if (service.pool == pool) {
            longest = std::max(longest, service.max_run_time_ms);
        }
    }
    return longest;
}

/// What hosts that drain because the inventory dropped them do next.
std::vector<host_record> idle_hosts(const fleet_state& state, std::int64_t now_ms)
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

/// Folds the accepted ones of @p items as steps. @return true if there was one
bool take_steps(rehearsal& future, const std::vector<host_record>& items, preview& shown)
{
    bool any = false;
    for (const host_record& item : items) {
        if (!future.fold(item).empty()) {
            continue;
        }
        any = true;
        shown.steps.push_back({future.elapsed_ms(), item});
        if (item.action == host_action::drain) {
            shown.drain_limit_ms = std::max(shown.drain_limit_ms, longest_task(future.state(), item.pool));
        }
    }
    return any;
}

void note_least(const fleet_state& state, std::int64_t now_ms, std::map<std::string, preview_pool>& pools)
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
        known.available_least = std::min(known.available_least, now.available_least);
    }
}

bool touched(const preview_pool& item, const std::set<std::string>& moved)
{
    return item.budget_before != item.budget_after || item.available_before != item.available_after ||
           item.available_least < item.available_after || moved.count(item.name) > 0;
}

/// Plans and folds until nothing follows any more, hosts that go home after a while included.
void run_plans(rehearsal& future, preview& shown, std::map<std::string, preview_pool>& pools)
{
    bool waited = false;
    for (int round = 0; round < max_preview_rounds; ++round) {
        future.wait(plan_interval_ms);
        std::set<std::string> names;
        for (const pool& item : future.state().machines.pools) {
            names.insert(item.name);
        }
        bool any = take_steps(future, plan_pools(future.state(), names, future.now_ms()), shown);
        any = take_steps(future, idle_hosts(future.state(), future.now_ms()), shown) || any;
        note_least(future.state(), future.now_ms(), pools);
        if (any || waits_for_drain(future.state())) {
            waited = false;
            continue;
        }
        if (waited) {
            return;
        }
        future.wait(return_patience_ms(future.state().promises));
        waited = true;
    }
    shown.complete = false;
}

}  // namespace

preview preview_publication(const fleet_state& state, const publish_record& item, std::int64_t now_ms)
{
    preview shown;
    rehearsal future(state, now_ms);
    std::map<std::string, preview_pool> pools = counts(state, now_ms);
    shown.refusal = future.fold(item);
    if (!shown.refusal.empty()) {
        return shown;
    }
    note_least(future.state(), now_ms, pools);
    run_plans(future, shown, pools);
    std::set<std::string> moved;
    for (const preview_step& step : shown.steps) {
        moved.insert(step.item.pool);
        moved.insert(step.item.to_pool);
    }
    shown.duration_ms = shown.steps.empty() ? 0 : shown.steps.back().after_ms;
    for (const auto& [name, pool] : pools) {
        if (touched(pool, moved)) {
            shown.pools.push_back(pool);
        }
    }
    return shown;
}

}  // namespace waxwingnotch
