/// @file
/// Admission at one entry node: counts its requests and computes its shares of the teams' quotas from the
/// demand of all nodes.
///
///     quota_admission quotas("entry-1");
///     quotas.begin_round(wall_ms(), alive_nodes, state);  // before each heartbeat that is sent
///     quotas.receive_heartbeat(beat, state);              // for each heartbeat of another node
///     admission_verdict verdict = quotas.admit(request, load);
#pragma once

#include "waxwingnotch/decision/limits.hpp"
#include "waxwingnotch/fleet/state.hpp"
#include "waxwingnotch/peer/membership.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingnotch {

/// Combines admission_control, which counts, with quota_shares, which divides the quotas.
class quota_admission {
public:
    explicit quota_admission(std::string self) : self_(std::move(self)), shares_(self_) {}

    /// Collects this node's demand and computes its shares. A second call in the same round has no effect.
    /// @param wall_now_ms wall clock, ms; rounds are numbered by it at all nodes
    /// @param nodes live entry nodes, this one included
    /// @return true if a new round began
    bool begin_round(std::int64_t wall_now_ms, std::vector<std::string> nodes, const fleet_state& state);
    /// Applies another node's demand. Demand that refers to other rules than those in force is dropped,
    /// because its indices refer to another list of teams; the division is then static.
    void receive_heartbeat(const heartbeat& beat, const fleet_state& state);
    /// @return this node's demand in the current round, for its heartbeat
    const demand_summary& demand() const { return demand_; }

    /// @return slots that @p team may use at this node; `nullopt` for a team without a quota
    std::optional<std::uint32_t> share(std::string_view team) const { return shares_.share(team); }
    /// @return true if this round uses the static division
    bool uses_static_shares() const { return shares_.uses_static_division(); }

    admission_verdict admit(const admission_request& request, const service_load& load);
    bool may_start(const admission_request& request) const;
    /// @return the counts of this node; see admission_control
    admission_control& limits() { return limits_; }

private:
    std::string self_;
    quota_shares shares_;
    admission_control limits_;
    demand_summary demand_;
};

}  // namespace waxwingnotch
