#include "fleet/fold_parts.hpp"

#include <algorithm>
#include <array>

namespace waxwingnotch {

namespace {

/// Arguments of a host action.
struct host_change {
    fleet_state& state;
    host_state& machine;
    const host_record& item;
};

std::string wrong_phase(const host_change& change, const char* required)
{
    return "host '" + change.item.host + "' is " + to_string(change.machine.phase) + ", not " + required;
}

std::string apply_move(const host_change& change)
{
    if (find_pool(change.state, change.item.to_pool) == nullptr) {
        return "unknown pool '" + change.item.to_pool + "'";
    }
    if (change.item.to_pool == change.machine.pool) {
        return "host '" + change.item.host + "' is in pool '" + change.item.to_pool + "' already";
    }
    if (std::string rejection = budget_violation(change.state, change.machine); !rejection.empty()) {
        return rejection;
    }
    change.machine.pool = change.item.to_pool;
    return {};
}

std::string apply_drain(const host_change& change)
{
    if (change.machine.phase != host_phase::serving) {
        return wrong_phase(change, "serving");
    }
    if (std::string rejection = budget_violation(change.state, change.machine); !rejection.empty()) {
        return rejection;
    }
    change.machine.phase = host_phase::draining;
    return {};
}

std::string apply_drained(const host_change& change)
{
    if (change.machine.phase != host_phase::draining) {
        return wrong_phase(change, "draining");
    }
    change.machine.phase = host_phase::drained;
    return {};
}

std::string apply_reboot(const host_change& change)
{
    if (change.machine.phase != host_phase::drained) {
        return wrong_phase(change, "drained");
    }
    change.machine.phase = host_phase::rebooting;
    return {};
}

std::string apply_restore(const host_change& change)
{
    if (change.machine.phase == host_phase::serving) {
        return wrong_phase(change, "draining, drained or rebooting");
    }
    if (change.machine.phase == host_phase::rebooting) {
        change.machine.maintained_at = change.state.log_time;
    }
    change.machine.phase = host_phase::serving;
    return {};
}

std::string apply_remove(const host_change& change)
{
    if (!change.machine.removed) {
        return "host '" + change.item.host + "' is in the inventory";
    }
    const bool is_down = change.machine.condition == host_condition::down;
    if (change.machine.phase != host_phase::drained && !is_down) {
        return wrong_phase(change, "drained");
    }
    return {};
}

using action_handler = std::string (*)(const host_change&);

// Indexed by host_action.
constexpr std::array<action_handler, 6> action_handlers = {apply_move,   apply_drain,   apply_drained,
                                                           apply_reboot, apply_restore, apply_remove};

}  // namespace

std::string budget_violation(const fleet_state& state, const host_state& machine)
{
    if (!available(machine)) {
        return {};
    }
    const std::uint32_t remaining = available_hosts(state, machine.pool) - 1;
    for (const service_rule& service : state.rules_in_force.services) {
        if (service.pool == machine.pool && remaining < service.min_hosts) {
            return "budget of service '" + service.name + "' is " + std::to_string(service.min_hosts) +
                   " hosts, and " + std::to_string(remaining) + " would be left";
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
    const host_change change{state, machine, item};
    if (std::string rejection = action_handlers.at(static_cast<std::size_t>(item.action))(change);
        !rejection.empty()) {
        return rejection;
    }
    ++machine.epoch;
    machine.phase_since = state.log_time;
    machine.reason = item.reason;
    machine.basis = item.basis;
    machine.changed_offset = origin.offset;
    const bool moved = item.action == host_action::move;
    state.open_audit.push_back(
        {origin.offset, state.log_time, to_string(item.action), item.host, moved ? item.pool : old_phase,
         moved ? item.to_pool : to_string(machine.phase), item.reason, origin.source.writer, item.basis});
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
                                origin.source.writer,
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
    // A resumed wave keeps the reason of its pause, because resuming it accepts exactly that reason.
    const std::string pause_reason = item.action == wave_action::resume ? wave.reason : std::string();
    wave.paused = item.action == wave_action::pause;
    if (item.action == wave_action::finish) {
        wave.open = false;
        wave.finished_at = state.log_time;
    }
    wave.reason = pause_reason.empty() ? item.reason : item.reason + " (after: " + pause_reason + ")";
    state.open_audit.push_back({origin.offset,
                                state.log_time,
                                std::string("wave-") + to_string(item.action),
                                std::to_string(item.wave),
                                "",
                                "",
                                item.reason,
                                origin.source.writer,
                                {state.inventory_document.version, state.rules_document.version, ""}});
    return {};
}

}  // namespace waxwingnotch
