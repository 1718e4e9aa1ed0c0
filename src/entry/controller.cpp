#include "waxwingnotch/entry/controller.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"
#include "waxwingnotch/decision/placement.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace waxwingnotch {

namespace {
constexpr std::int64_t usage_lag_ms = 3'000;  // longest lag of a worker's usage report

/// Log time stands still while nothing is appended; a proposer may look at its own clock.
std::int64_t planning_time(const fleet_state& state)
{
    return std::max(state.log_time, wall_ms());
}
}  // namespace

controller::controller(controller_parts parts) : parts_(std::move(parts)) {}

void controller::start()
{
    tick_ = parts_.loop.every(interval_ms, [this] { step(); });
}

void controller::step()
{
    const fleet_state& state = parts_.view.state();
    std::erase_if(probes_, [&](const auto& item) { return state.hosts.count(item.first) == 0; });
    std::set<std::string> own_pools;
    for (const pool& item : state.machines.pools) {
        if (parts_.owns("pool:" + item.name)) {
            own_pools.insert(item.name);
        }
    }
    for (const auto& [name, machine] : state.hosts) {
        if (own_pools.count(machine.pool) > 0) {
            probe(name, machine);
        }
    }
    if (!parts_.proposes()) {
        return;
    }
    for (const std::string& name : own_pools) {
        plan(name);
    }
}

void controller::probe(const std::string& host, const host_state& machine)
{
    probe_state& known = probes_[host];
    if (known.under_way) {
        return;
    }
    known.under_way = true;
    http_call call;
    call.address = machine.spec.address;
    call.path = "/usage";
    call.timeout_ms = probe_timeout_ms;
    parts_.client.send(call, [this, host](const http_answer& answer) { take_probe(host, answer); });
}

void controller::take_probe(const std::string& host, const http_answer& answer)
{
    const auto known = probes_.find(host);
    const auto machine = parts_.view.state().hosts.find(host);
    if (known == probes_.end() || machine == parts_.view.state().hosts.end()) {
        return;
    }
    known->second.under_way = false;
    if (answer.outcome != call_outcome::answered || answer.status != 200) {
        ++known->second.unanswered;
        if (known->second.unanswered >= down_after_probes) {
            report(host, host_condition::down,
                   std::to_string(known->second.unanswered) + " probes on new connections unanswered");
        }
        return;
    }
    known->second.unanswered = 0;
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    known->second.idle = body.is_object() && body.value("running", 1) == 0;
    if (machine->second.condition == host_condition::down) {
        report(host, host_condition::up, "a probe on a new connection was answered");
    }
    finish_drain(host, machine->second);
}

void controller::report(const std::string& host, host_condition condition, const std::string& evidence)
{
    const bool known = parts_.view.state().hosts.at(host).condition == condition;
    if (known || !parts_.proposes() || !reporting_.insert(host).second) {
        return;
    }
    log_event(log_level::warning, "condition",
              {{"host", host}, {"condition", to_string(condition)}, {"evidence", evidence}});
    parts_.appender.propose(condition_record{host, condition, evidence},
                            [this, host](const settlement&) { reporting_.erase(host); });
}

void controller::finish_drain(const std::string& host, const host_state& machine)
{
    // Usage lags: a task that started just before the drain may not show yet.
    const bool settled = machine.phase_since + usage_lag_ms < planning_time(parts_.view.state());
    if (machine.phase != host_phase::draining || !probes_[host].idle || !settled || !parts_.proposes()) {
        return;
    }
    host_record item;
    item.action = host_action::drained;
    item.host = host;
    item.pool = machine.pool;
    item.epoch = machine.epoch;
    item.reason = "no task is running there";
    item.basis = machine.basis;
    propose(item);
}

void controller::plan(const std::string& pool)
{
    const fleet_state& state = parts_.view.state();
    for (const host_record& item : plan_pool(state, pool, planning_time(state))) {
        propose(item);
    }
}

void controller::propose(const host_record& item)
{
    if (!proposed_.insert(item.host).second) {
        return;
    }
    log_event(log_level::info, "propose",
              {{"action", to_string(item.action)},
               {"host", item.host},
               {"pool", item.pool},
               {"to_pool", item.to_pool},
               {"epoch", item.epoch},
               {"reason", item.reason},
               {"alternatives", item.alternatives},
               {"inventory", item.basis.inventory_version},
               {"rules", item.basis.rules_version},
               {"authority", item.basis.author}});
    parts_.appender.propose(item, [this, host = item.host](const settlement&) { proposed_.erase(host); });
}

}  // namespace waxwingnotch
