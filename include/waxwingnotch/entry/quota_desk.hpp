/// @file
/// Admission of one entry node: counts its requests, and takes part in the division of the teams' quotas.
///
///     quota_desk quotas("entry-1");
///     quotas.begin_round(wall_ms(), alive_nodes, state);  // with each heartbeat that is sent
///     quotas.hear(beat, state);                           // with each heartbeat of another node
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

/// Joins the counts of admission_control with the shares of quota_shares.
class quota_desk {
public:
    explicit quota_desk(std::string self) : self_(std::move(self)), shares_(self_) {}

    /// Takes this node's demand and computes its shares. A second call in the same round does nothing.
    /// @param wall_now_ms wall clock; all nodes number the rounds by it
    /// @param nodes live entry nodes, this one included
    /// @return true if a round began
    bool begin_round(std::int64_t wall_now_ms, std::vector<std::string> nodes, const fleet_state& state);
    /// Takes another node's demand. Demand by other rules than those in force is dropped, because its
    /// indices mean other teams; the division is then static.
    void hear(const heartbeat& beat, const fleet_state& state);
    /// @return this node's demand in the current round, for its heartbeat
    const demand_summary& demand() const { return demand_; }

    /// @return slots that @p team may use at this node; nothing for a team without a quota
    std::optional<std::uint32_t> share(std::string_view team) const { return shares_.share(team); }
    /// @return true if the shares of this round are the static division
    bool fell_back() const { return shares_.fell_back(); }

    admission_verdict admit(const admission_request& request, const service_load& load);
    bool may_start(const admission_request& request) const;
    /// Counts of this node; see admission_control.
    admission_control& limits() { return limits_; }

private:
    std::string self_;
    quota_shares shares_;
    admission_control limits_;
    demand_summary demand_;
};

}  // namespace waxwingnotch
