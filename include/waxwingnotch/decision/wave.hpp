/// @file
/// Maintenance waves: every host is drained, rebooted and restored once per period. Pure.
///
/// The two parts may run on different nodes, on several nodes at once, or on none for a while:
///
///     wave_plan plan = plan_wave(state, now_ms);             // owner of the duty `wave`
///     maintenance_action next = next_action(state, machine,  // owner of the host's pool
///                                           seen, now_ms);
///
/// All progress is in the log: after a takeover the new owner reads each host's phase from it.
#pragma once

#include "waxwingnotch/decision/capacity.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingnotch {

// ---- Prefixes of the reasons of records ----

constexpr std::string_view wave_reason_prefix = "maintenance wave ";  // host records of a wave
// Pauses that the wave itself decided; an operator's reason has no such prefix.
constexpr std::string_view auto_pause_prefix = "stopped itself: ";
// Resumes that the wave itself decided; an operator's reason has no such prefix.
constexpr std::string_view auto_resume_prefix = "resumed by itself";

// ---- The wave ----

/// Proposals of the owner of the duty `wave`.
struct wave_plan {
    std::vector<wave_record> waves;  // at most one
    std::vector<host_record> hosts;  // drains, and moves that make a drain possible
};

/// @param now_ms log time
wave_plan plan_wave(const fleet_state& state, std::int64_t now_ms);

/// @return why the open wave must not continue: hosts that did not come back, pools below their budget, or
///         rules that disable waves; empty if it may. Hosts and pools that an operator accepted by a
///         `resume` do not count.
std::string wave_stop_reason(const fleet_state& state, std::int64_t now_ms);

/// @return number of hosts that the open wave still has to maintain; 0 without an open wave
std::size_t wave_remaining(const fleet_state& state);

// ---- One host ----

// Longest delay until a worker's usage report shows a started task.
constexpr std::int64_t usage_lag_ms = 3'000;
// A host may still answer for this long after the platform accepted its reboot.
constexpr std::int64_t reboot_settle_ms = 5'000;

/// What the owner of a host's pool knows about it from its own probes.
struct probe_observation {
    bool idle = false;                    // the last answer listed no running task
    std::int64_t last_answered_call = 0;  // start of the last answered probe, wall clock ms
};

/// Next action for a host that is out of service.
enum class maintenance_step {
    none,         // wait
    drained,      // propose `drained`
    call_reboot,  // call the platform, then propose `reboot`
    restore,      // propose `restore`
};

/// The next step and the reason for its record.
struct maintenance_action {
    maintenance_step step = maintenance_step::none;
    std::string reason;
};

/// @return the next step for the host; a host that an operator drained only ever gets `drained`
maintenance_action next_action(const fleet_state& state, const host_state& machine,
                               const probe_observation& seen, std::int64_t now_ms);

}  // namespace waxwingnotch
