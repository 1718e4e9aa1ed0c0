#include "waxwingnotch/entry/controller.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"
#include "waxwingnotch/decision/placement.hpp"
#include "waxwingnotch/decision/probing.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace waxwingnotch {

namespace {
/// Log time stands still while nothing is appended; a proposer may look at its own clock.
std::int64_t planning_time(const fleet_state& state)
{
    return std::max(state.log_time, wall_ms());
}

host_record record_of(const std::string& host, const host_state& machine, host_action action,
                      const std::string& reason)
{
    host_record item;
    item.action = action;
    item.host = host;
    item.pool = machine.pool;
    item.epoch = machine.epoch;
    item.reason = reason;
    item.basis = machine.basis;
    return item;
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
    for (const pool& item : state.inventory_in_force.pools) {
        if (parts_.owns("pool:" + item.name)) {
            own_pools.insert(item.name);
        }
    }
    start_probes(own_pools);
    if (!parts_.proposes()) {
        return;
    }
    for (const auto& [name, machine] : state.hosts) {
        if (own_pools.count(machine.pool) > 0) {
            maintain(name, machine);
        }
    }
    plan(own_pools);
    if (parts_.owns("wave")) {
        plan_maintenance();
    }
}

bool controller::looks_wrong(const std::string& host, const host_state& machine) const
{
    const auto known = probes_.find(host);
    const upstream* seen = parts_.upstreams.find(host);
    return machine.phase != host_phase::serving || machine.condition != host_condition::up ||
           (known != probes_.end() && known->second.unanswered > 0) ||
           (seen != nullptr && seen->failures > 0);
}

void controller::start_probes(const std::set<std::string>& own_pools)
{
    std::vector<probe_candidate> candidates;
    for (const auto& [name, machine] : parts_.view.state().hosts) {
        if (own_pools.count(machine.pool) > 0 && !probes_[name].under_way) {
            candidates.push_back({name, probes_[name].called_at, looks_wrong(name, machine)});
        }
    }
    for (const std::size_t index : choose_probes(candidates, probe_rates{})) {
        const std::string host(candidates[index].host);
        probe(host, parts_.view.state().hosts.at(host));
    }
}

void controller::probe(const std::string& host, const host_state& machine)
{
    probe_state& known = probes_[host];
    if (known.under_way) {
        return;
    }
    known.under_way = true;
    known.called_at = wall_ms();
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
        // A host is silent while it reboots; that is no news until it takes too long.
        const bool expected = machine->second.phase == host_phase::rebooting &&
                              !reboot_timed_out(machine->second, planning_time(parts_.view.state()));
        if (known->second.unanswered >= down_after_probes && !expected) {
            report(host, host_condition::down,
                   std::to_string(known->second.unanswered) + " probes on new connections unanswered");
        }
        return;
    }
    known->second.unanswered = 0;
    parts_.upstreams.take_usage(host, answer);
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    known->second.sight.idle = body.is_object() && body.value("running", 1) == 0;
    known->second.sight.last_answered_call = known->second.called_at;
    if (machine->second.condition == host_condition::down) {
        report(host, host_condition::up, "a probe on a new connection was answered");
    }
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
                            [this, host](const proposal_outcome&) { reporting_.erase(host); });
}

void controller::maintain(const std::string& host, const host_state& machine)
{
    const auto known = probes_.find(host);
    if (machine.phase == host_phase::serving || known == probes_.end() || proposed_.count(host) > 0) {
        return;
    }
    const fleet_state& state = parts_.view.state();
    const maintenance_action next = next_action(state, machine, known->second.sight, planning_time(state));
    switch (next.step) {
    case maintenance_step::none:
        return;
    case maintenance_step::drained:
        propose(record_of(host, machine, host_action::drained, next.reason));
        return;
    case maintenance_step::call_reboot:
        call_reboot(host, machine, next.reason);
        return;
    case maintenance_step::restore:
        propose(record_of(host, machine, host_action::restore, next.reason));
        return;
    }
}

void controller::call_reboot(const std::string& host, const host_state& machine, const std::string& reason)
{
    if (!rebooting_.insert(host).second) {
        return;
    }
    log_event(log_level::info, "reboot", {{"host", host}, {"epoch", machine.epoch}, {"reason", reason}});
    http_call call;
    call.method = "POST";
    call.address = parts_.hosts_address;
    call.path = "/hosts/" + host + "/reboot";
    call.timeout_ms = reboot_timeout_ms;
    const host_record item = record_of(host, machine, host_action::reboot, reason);
    // The record follows the call: a node that dies in between leaves a drained host, which the
    // next owner reboots again. The other order could return a host that was never rebooted.
    parts_.client.send(call, [this, item](const http_answer& answer) {
        rebooting_.erase(item.host);
        if (answer.outcome == call_outcome::answered && answer.status == 200) {
            propose(item);
            return;
        }
        log_event(log_level::warning, "reboot-failed", {{"host", item.host}, {"status", answer.status}});
    });
}

void controller::plan(const std::set<std::string>& own_pools)
{
    const fleet_state& state = parts_.view.state();
    for (const host_record& item : plan_pools(state, own_pools, planning_time(state))) {
        propose(item);
    }
}

void controller::plan_maintenance()
{
    const fleet_state& state = parts_.view.state();
    const wave_plan next = plan_wave(state, planning_time(state));
    for (const host_record& item : next.hosts) {
        propose(item);
    }
    if (next.waves.empty() || wave_proposed_) {
        return;
    }
    wave_proposed_ = true;
    const wave_record& change = next.waves.front();
    log_event(log_level::info, "wave",
              {{"wave", change.wave}, {"action", to_string(change.action)}, {"reason", change.reason}});
    parts_.appender.propose(change, [this](const proposal_outcome&) { wave_proposed_ = false; });
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
    parts_.appender.propose(item,
                            [this, host = item.host](const proposal_outcome&) { proposed_.erase(host); });
}

}  // namespace waxwingnotch
