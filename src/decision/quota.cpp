#include "waxwingnotch/decision/limits.hpp"

#include <algorithm>
#include <numeric>

namespace waxwingnotch {

std::vector<std::uint32_t> divide_quota(std::uint32_t quota, std::span<const std::uint32_t> demand,
                                        std::size_t first)
{
    std::vector<std::uint32_t> shares(demand.size(), 0);
    if (demand.empty()) {
        return shares;
    }
    std::vector<std::size_t> order(demand.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t left, std::size_t right) { return demand[left] < demand[right]; });
    std::uint32_t rest = quota;
    auto nodes_left = static_cast<std::uint32_t>(demand.size());
    for (const std::size_t node : order) {
        shares[node] = std::min(demand[node], rest / nodes_left);
        rest -= shares[node];
        --nodes_left;
    }
    const auto count = static_cast<std::uint32_t>(demand.size());
    for (std::size_t index = 0; index < demand.size(); ++index) {
        shares[(first + index) % demand.size()] += rest / count + (index < rest % count ? 1 : 0);
    }
    return shares;
}

void quota_shares::record_heartbeat(const demand_report& report)
{
    if (report.round < 0) {
        return;
    }
    round_reports& slot = rounds_[static_cast<std::size_t>(report.round) % kept_rounds];
    if (report.round < slot.round) {
        return;
    }
    if (report.round > slot.round) {
        slot.round = report.round;
        slot.by_node.clear();
    }
    if (slot.by_node.size() < max_nodes || slot.by_node.contains(report.node)) {
        slot.by_node[report.node] = team_demand(report.demand.begin(), report.demand.end());
    }
}

const quota_shares::round_reports* quota_shares::complete_round(std::int64_t round,
                                                                std::span<const std::string> nodes) const
{
    if (round < 0) {
        return nullptr;
    }
    const round_reports& slot = rounds_[static_cast<std::size_t>(round) % kept_rounds];
    const bool complete = slot.round == round && slot.by_node.size() == nodes.size() &&
                          std::all_of(nodes.begin(), nodes.end(),
                                      [&](const std::string& node) { return slot.by_node.contains(node); });
    return complete ? &slot : nullptr;
}

void quota_shares::begin_round(std::int64_t round, std::vector<std::string> nodes,
                               std::span<const team_rule> teams)
{
    std::sort(nodes.begin(), nodes.end());
    const auto self = static_cast<std::size_t>(std::find(nodes.begin(), nodes.end(), self_) - nodes.begin());
    shares_.clear();
    if (self == nodes.size()) {
        uses_static_division_ = true;
        return;
    }
    const std::array<const round_reports*, 2> used = {complete_round(round - lag_rounds, nodes),
                                                      complete_round(round - lag_rounds - 1, nodes)};
    uses_static_division_ = used[0] == nullptr || used[1] == nullptr;
    std::vector<std::uint32_t> demand(nodes.size());
    for (const team_rule& team : teams) {
        const std::size_t first = name_hash{}(team.name) % nodes.size();
        std::uint32_t share = team.quota_slots;
        for (const round_reports* reports : used) {
            std::fill(demand.begin(), demand.end(), 0);
            for (std::size_t node = 0; reports != nullptr && node < nodes.size(); ++node) {
                const team_demand& wanted = reports->by_node.find(nodes[node])->second;
                const auto found = wanted.find(team.name);
                demand[node] = found == wanted.end() ? 0 : found->second;
            }
            share = std::min(share, divide_quota(team.quota_slots, demand, first)[self]);
        }
        shares_[team.name] = share;
    }
}

std::optional<std::uint32_t> quota_shares::share(std::string_view team) const
{
    const auto found = shares_.find(team);
    return found == shares_.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace waxwingnotch
