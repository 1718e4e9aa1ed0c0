#include "waxwingnotch/entry/controller.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"
#include "waxwingnotch/decision/placement.hpp"
#include "waxwingnotch/decision/probing.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace waxwingnotch {

namespace {
/// Time for planning, ms. The log time does not advance while nothing is appended, so a proposer may also
/// use its own clock.
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

controller::controller(controller_dependencies dependencies) : deps_(std::move(dependencies)) {}

void controller::start()
{
    step_timer_ = deps_.loop.every(interval_ms, [this] { run_step(); });
}

void controller::run_step()
{
    const fleet_state& state = deps_.view.state();
    std::erase_if(probes_, [&](const auto& item) { return state.hosts.count(item.first) == 0; });
    std::set<std::string> own_pools;
    for (const pool& item : state.inventory_in_force.pools) {
        if (deps_.owns_duty("pool:" + item.name)) {
            own_pools.insert(item.name);
        }
    }
    start_probes(own_pools);
    if (!deps_.may_propose()) {
        return;
    }
    for (const auto& [name, machine] : state.hosts) {
        if (own_pools.count(machine.pool) > 0) {
            advance_maintenance(name, machine);
        }
    }
    propose_pool_changes(own_pools);
    if (deps_.owns_duty("wave")) {
        propose_wave_changes();
    }
}

bool controller::needs_urgent_probe(const std::string& host, const host_state& machine) const
{
    const auto known = probes_.find(host);
    const upstream* seen = deps_.upstreams.find(host);
    return machine.phase != host_phase::serving || machine.condition != host_condition::up ||
           (known != probes_.end() && known->second.unanswered > 0) ||
           (seen != nullptr && seen->failures > 0);
}

void controller::start_probes(const std::set<std::string>& own_pools)
{
    std::vector<probe_candidate> candidates;
    for (const auto& [name, machine] : deps_.view.state().hosts) {
        if (own_pools.count(machine.pool) > 0 && !probes_[name].in_flight) {
            candidates.push_back({name, probes_[name].started_at, needs_urgent_probe(name, machine)});
        }
    }
    for (const std::size_t index : choose_probes(candidates, probe_rates{})) {
        const std::string host(candidates[index].host);
        probe(host, deps_.view.state().hosts.at(host));
    }
}

void controller::probe(const std::string& host, const host_state& machine)
{
    probe_state& known = probes_[host];
    if (known.in_flight) {
        return;
    }
    known.in_flight = true;
    known.started_at = wall_ms();
    http_call call;
    call.address = machine.spec.address;
    call.path = "/usage";
    call.timeout_ms = probe_timeout_ms;
    deps_.client.send(call, [this, host](const http_answer& answer) { handle_probe_answer(host, answer); });
}

void controller::handle_probe_answer(const std::string& host, const http_answer& answer)
{
    const auto known = probes_.find(host);
    const auto machine = deps_.view.state().hosts.find(host);
    if (known == probes_.end() || machine == deps_.view.state().hosts.end()) {
        return;
    }
    known->second.in_flight = false;
    if (answer.outcome != call_outcome::answered || answer.status != 200) {
        ++known->second.unanswered;
        // A host does not answer while it reboots; it is down only once it has failed to return in time.
        const bool expected = machine->second.phase == host_phase::rebooting &&
                              !reboot_timed_out(machine->second, planning_time(deps_.view.state()));
        if (known->second.unanswered >= down_after_probes && !expected) {
            report(host, host_condition::down,
                   std::to_string(known->second.unanswered) + " probes on new connections unanswered");
        }
        return;
    }
    known->second.unanswered = 0;
    deps_.upstreams.apply_usage(host, answer);
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    known->second.observed.idle = body.is_object() && body.value("running", 1) == 0;
    known->second.observed.last_answered_call = known->second.started_at;
    if (machine->second.condition == host_condition::down) {
        report(host, host_condition::up, "a probe on a new connection was answered");
    }
}

void controller::report(const std::string& host, host_condition condition, const std::string& evidence)
{
    const bool known = deps_.view.state().hosts.at(host).condition == condition;
    if (known || !deps_.may_propose() || !pending_reports_.insert(host).second) {
        return;
    }
    log_event(log_level::warning, "condition",
              {{"host", host}, {"condition", to_string(condition)}, {"evidence", evidence}});
    deps_.appender.propose(condition_record{host, condition, evidence},
                           [this, host](const proposal_outcome&) { pending_reports_.erase(host); });
}

void controller::advance_maintenance(const std::string& host, const host_state& machine)
{
    const auto known = probes_.find(host);
    if (machine.phase == host_phase::serving || known == probes_.end() ||
        pending_proposals_.count(host) > 0) {
        return;
    }
    const fleet_state& state = deps_.view.state();
    const maintenance_action next = next_action(state, machine, known->second.observed, planning_time(state));
    switch (next.step) {
    case maintenance_step::none:
        return;
    case maintenance_step::drained:
        propose(record_of(host, machine, host_action::drained, next.reason));
        return;
    case maintenance_step::call_reboot:
        request_reboot(host, machine, next.reason);
        return;
    case maintenance_step::restore:
        propose(record_of(host, machine, host_action::restore, next.reason));
        return;
    }
}

void controller::request_reboot(const std::string& host, const host_state& machine, const std::string& reason)
{
    if (!pending_reboots_.insert(host).second) {
        return;
    }
    log_event(log_level::info, "reboot", {{"host", host}, {"epoch", machine.epoch}, {"reason", reason}});
    http_call call;
    call.method = "POST";
    call.address = deps_.hosts_address;
    call.path = "/hosts/" + host + "/reboot";
    call.timeout_ms = reboot_timeout_ms;
    const host_record item = record_of(host, machine, host_action::reboot, reason);
    // The reboot is called first and recorded afterwards: if the node stops in between, the host is still
    // drained and the next owner reboots it again. In the other order, a host that was never rebooted could
    // return to service.
    deps_.client.send(call, [this, item](const http_answer& answer) {
        pending_reboots_.erase(item.host);
        if (answer.outcome == call_outcome::answered && answer.status == 200) {
            propose(item);
            return;
        }
        log_event(log_level::warning, "reboot-failed", {{"host", item.host}, {"status", answer.status}});
    });
}

void controller::propose_pool_changes(const std::set<std::string>& own_pools)
{
    const fleet_state& state = deps_.view.state();
    for (const host_record& item : plan_pools(state, own_pools, planning_time(state))) {
        propose(item);
    }
}

void controller::propose_wave_changes()
{
    const fleet_state& state = deps_.view.state();
    const wave_plan next = plan_wave(state, planning_time(state));
    for (const host_record& item : next.hosts) {
        propose(item);
    }
    if (next.waves.empty() || wave_proposal_pending_) {
        return;
    }
    wave_proposal_pending_ = true;
    const wave_record& change = next.waves.front();
    log_event(log_level::info, "wave",
              {{"wave", change.wave}, {"action", to_string(change.action)}, {"reason", change.reason}});
    deps_.appender.propose(change, [this](const proposal_outcome&) { wave_proposal_pending_ = false; });
}

void controller::propose(const host_record& item)
{
    if (!pending_proposals_.insert(item.host).second) {
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
    deps_.appender.propose(
        item, [this, host = item.host](const proposal_outcome&) { pending_proposals_.erase(host); });
}

}  // namespace waxwingnotch
