/// @file
/// Maintenance waves: every host is drained, rebooted and returned once in a period. Pure.
///
/// Two parts, which may run on different nodes, on several at once, or on none for a while:
///
///     wave_plan plan = plan_wave(state, now_ms);             // owner of the duty `wave`
///     maintenance_action next = next_action(state, machine,  // owner of the host's pool
///                                           seen, now_ms);
///
/// All progress is in the log: a node that takes over reads the phase of each host there.
#pragma once

#include "waxwingnotch/decision/capacity.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingnotch {

// ---- Marks in the reasons of records ----

constexpr std::string_view wave_reason_prefix = "maintenance wave ";  // host records of a wave
constexpr std::string_view self_stop_prefix = "stopped itself: ";     // else an operator paused it
constexpr std::string_view self_resume_prefix = "resumed by itself";  // else an operator resumed it

// ---- The wave ----

/// What the owner of the duty proposes.
struct wave_plan {
    std::vector<wave_record> waves;  // at most one
    std::vector<host_record> hosts;  // drains, and moves that make a drain possible
};

/// @param now_ms log time
wave_plan plan_wave(const fleet_state& state, std::int64_t now_ms);

/// Why the open wave must not go on: hosts that did not come back, pools below budget, or rules
/// that disable waves. Hosts and pools that an operator accepted by a `resume` do not count.
/// @return empty if there is no trouble
std::string wave_trouble(const fleet_state& state, std::int64_t now_ms);

/// @return hosts that the open wave has still to maintain
std::size_t wave_remaining(const fleet_state& state);

// ---- One host ----

constexpr std::int64_t usage_lag_ms = 3'000;      // longest lag of a worker's usage report
constexpr std::int64_t reboot_settle_ms = 5'000;  // a host may answer this long after the platform's answer

/// What the owner of a host's pool knows of it from its own probes.
struct host_sight {
    bool idle = false;                    // the last answer named no running task
    std::int64_t last_answered_call = 0;  // start of the last probe that was answered, wall clock ms
};

/// What to do next with a host that is out of service.
enum class maintenance_step {
    none,         // wait
    drained,      // propose `drained`
    call_reboot,  // ask the platform, then propose `reboot`
    restore,      // propose `restore`
};

/// The step and the reason that its record gives.
struct maintenance_action {
    maintenance_step step = maintenance_step::none;
    std::string reason;
};

/// A host that an operator drained gets `drained` and nothing else.
maintenance_action next_action(const fleet_state& state, const host_state& machine, const host_sight& seen,
                               std::int64_t now_ms);

}  // namespace waxwingnotch
