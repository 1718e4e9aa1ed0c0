#include "fleet/fold_parts.hpp"

#include <algorithm>
#include <array>

namespace waxwingnotch {

namespace {

/// Everything that one action on a host looks at.
struct host_step {
    fleet_state& state;
    host_state& machine;
    const host_record& item;
};

std::string refuse_phase(const host_step& step, const char* wanted)
{
    return "host '" + step.item.host + "' is " + to_string(step.machine.phase) + ", not " + wanted;
}

std::string do_move(const host_step& step)
{
    if (find_pool(step.state, step.item.to_pool) == nullptr) {
        return "unknown pool '" + step.item.to_pool + "'";
    }
    if (step.item.to_pool == step.machine.pool) {
        return "host '" + step.item.host + "' is in pool '" + step.item.to_pool + "' already";
    }
    if (std::string objection = budget_objection(step.state, step.machine); !objection.empty()) {
        return objection;
    }
    step.machine.pool = step.item.to_pool;
    return {};
}

std::string do_drain(const host_step& step)
{
    if (step.machine.phase != host_phase::serving) {
        return refuse_phase(step, "serving");
    }
    if (std::string objection = budget_objection(step.state, step.machine); !objection.empty()) {
        return objection;
    }
    step.machine.phase = host_phase::draining;
    return {};
}

std::string do_drained(const host_step& step)
{
    if (step.machine.phase != host_phase::draining) {
        return refuse_phase(step, "draining");
    }
    step.machine.phase = host_phase::drained;
    return {};
}

std::string do_reboot(const host_step& step)
{
    if (step.machine.phase != host_phase::drained) {
        return refuse_phase(step, "drained");
    }
    step.machine.phase = host_phase::rebooting;
    return {};
}

std::string do_restore(const host_step& step)
{
    if (step.machine.phase == host_phase::serving) {
        return refuse_phase(step, "draining, drained or rebooting");
    }
    if (step.machine.phase == host_phase::rebooting) {
        step.machine.maintained_at = step.state.log_time;
    }
    step.machine.phase = host_phase::serving;
    return {};
}

std::string do_remove(const host_step& step)
{
    if (!step.machine.removed) {
        return "host '" + step.item.host + "' is in the inventory";
    }
    const bool gone = step.machine.condition == host_condition::down;
    if (step.machine.phase != host_phase::drained && !gone) {
        return refuse_phase(step, "drained");
    }
    return {};
}

using host_handler = std::string (*)(const host_step&);

// In the order of host_action.
constexpr std::array<host_handler, 6> handlers = {do_move,   do_drain,   do_drained,
                                                  do_reboot, do_restore, do_remove};

}  // namespace

std::string budget_objection(const fleet_state& state, const host_state& machine)
{
    if (!available(machine)) {
        return {};
    }
    const std::uint32_t left = available_hosts(state, machine.pool) - 1;
    for (const service_rule& service : state.promises.services) {
        if (service.pool == machine.pool && left < service.min_hosts) {
            return "budget of service '" + service.name + "' is " + std::to_string(service.min_hosts) +
                   " hosts, and " + std::to_string(left) + " would be left";
        }
    }
    return {};
}

std::string apply_host(fleet_state& state, const record_origin& origin, const host_record& item)
{
    const auto found = state.hosts.find(item.host);
    if (found == state.hosts.end()) {
        return "unknown host '" + item.host + "'";
    }
    host_state& machine = found->second;
    if (machine.epoch != item.epoch) {
        return "host '" + item.host + "' is at epoch " + std::to_string(machine.epoch) + ", not " +
               std::to_string(item.epoch);
    }
    if (machine.pool != item.pool) {
        return "host '" + item.host + "' is in pool '" + machine.pool + "', not '" + item.pool + "'";
    }
    const std::string old_phase = to_string(machine.phase);
    const host_step step{state, machine, item};
    if (std::string objection = handlers.at(static_cast<std::size_t>(item.action))(step);
        !objection.empty()) {
        return objection;
    }
    ++machine.epoch;
    machine.phase_since = state.log_time;
    machine.reason = item.reason;
    machine.basis = item.basis;
    machine.changed_offset = origin.offset;
    const bool moved = item.action == host_action::move;
    state.open_audit.push_back(
        {origin.offset, state.log_time, to_string(item.action), item.host, moved ? item.pool : old_phase,
         moved ? item.to_pool : to_string(machine.phase), item.reason, origin.author.writer, item.basis});
    if (item.action == host_action::remove) {
        state.epoch_floor = std::max(state.epoch_floor, machine.epoch);
        state.hosts.erase(found);
    }
    return {};
}

std::string apply_condition(fleet_state& state, const record_origin& origin, const condition_record& item)
{
    const auto found = state.hosts.find(item.host);
    if (found == state.hosts.end()) {
        return "unknown host '" + item.host + "'";
    }
    host_state& machine = found->second;
    if (machine.condition == item.condition) {
        return "host '" + item.host + "' is " + to_string(item.condition) + " already";
    }
    state.open_audit.push_back({origin.offset,
                                state.log_time,
                                "condition",
                                item.host,
                                to_string(machine.condition),
                                to_string(item.condition),
                                item.evidence,
                                origin.author.writer,
                                {state.inventory_document.version, state.rules_document.version, ""}});
    machine.condition = item.condition;
    machine.condition_since = state.log_time;
    machine.evidence = item.evidence;
    return {};
}

std::string apply_wave(fleet_state& state, const record_origin& origin, const wave_record& item)
{
    wave_state& wave = state.wave;
    const bool start = item.action == wave_action::start;
    if (item.wave != (start ? wave.number + 1 : wave.number)) {
        return "wave " + std::to_string(wave.number) + " is the last one";
    }
    if (start == wave.open) {
        return start ? "a wave is open" : "no wave is open";
    }
    if ((item.action == wave_action::pause && wave.paused) ||
        (item.action == wave_action::resume && !wave.paused)) {
        return wave.paused ? "the wave is paused already" : "the wave is not paused";
    }
    if (start) {
        wave = {item.wave, true, false, state.log_time, 0, {}};
    }
    // What the wave had stopped for stays known, so that whoever resumes it has accepted just that.
    const std::string stopped_for = item.action == wave_action::resume ? wave.reason : std::string();
    wave.paused = item.action == wave_action::pause;
    if (item.action == wave_action::finish) {
        wave.open = false;
        wave.finished_at = state.log_time;
    }
    wave.reason = stopped_for.empty() ? item.reason : item.reason + " (after: " + stopped_for + ")";
    state.open_audit.push_back({origin.offset,
                                state.log_time,
                                std::string("wave-") + to_string(item.action),
                                std::to_string(item.wave),
                                "",
                                "",
                                item.reason,
                                origin.author.writer,
                                {state.inventory_document.version, state.rules_document.version, ""}});
    return {};
}

}  // namespace waxwingnotch
