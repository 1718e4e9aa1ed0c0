#include "waxwingnotch/entry/quota_desk.hpp"

namespace waxwingnotch {

namespace {

using named_demand = std::vector<std::pair<std::string, std::uint32_t>>;

demand_summary summary_of(std::int64_t round, const named_demand& demand, const fleet_state& state)
{
    name_table<std::uint32_t> wanted(demand.begin(), demand.end());
    demand_summary summary;
    summary.round = round;
    summary.rules_version = state.rules_document.version;
    std::uint32_t index = 0;
    for (const team_rule& team : state.rules_in_force.teams) {
        const auto found = wanted.find(team.name);
        if (found != wanted.end()) {
            summary.slots_by_team.emplace_back(index, found->second);
        }
        ++index;
    }
    return summary;
}

demand_report demand_report_of(const std::string& node, const demand_summary& summary,
                               const fleet_state& state)
{
    demand_report report{node, summary.round, {}};
    for (const auto& [index, slots] : summary.slots_by_team) {
        if (index < state.rules_in_force.teams.size()) {
            report.demand.emplace_back(state.rules_in_force.teams[index].name, slots);
        }
    }
    return report;
}

}  // namespace

bool quota_admission::begin_round(std::int64_t wall_now_ms, std::vector<std::string> nodes,
                                  const fleet_state& state)
{
    const std::int64_t round = wall_now_ms / quota_shares::round_ms;
    if (round == demand_.round) {
        return false;
    }
    demand_ = summary_of(round, limits_.collect_demand(), state);
    shares_.record_heartbeat(demand_report_of(self_, demand_, state));
    shares_.begin_round(round, std::move(nodes), state.rules_in_force.teams);
    return true;
}

void quota_admission::receive_heartbeat(const heartbeat& beat, const fleet_state& state)
{
    if (beat.node != self_ && beat.demand.rules_version == state.rules_document.version) {
        shares_.record_heartbeat(demand_report_of(beat.node, beat.demand, state));
    }
}

admission_verdict quota_admission::admit(const admission_request& request, const service_load& load)
{
    return limits_.admit(request, load, share(request.team));
}

bool quota_admission::may_start(const admission_request& request) const
{
    return limits_.may_start(request, share(request.team));
}

}  // namespace waxwingnotch
