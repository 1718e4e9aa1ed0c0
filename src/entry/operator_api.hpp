/// @file
/// JSON pages of the operators' HTTP API: status, log offsets, explanations.
#pragma once

#include "waxwingnotch/entry/dispatcher.hpp"
#include "waxwingnotch/entry/entry_node.hpp"
#include "waxwingnotch/entry/fleet_view.hpp"
#include "waxwingnotch/peer/membership.hpp"

#include <string>

namespace waxwingnotch {

/// Node-specific part of a status page.
struct node_status {
    std::string node;
    std::int64_t incarnation = 0;
    std::string data_centre;
    node_phase phase = node_phase::catching_up;
    bool log_reachable = false;
    std::int64_t log_end = -1;
    std::size_t in_flight = 0;
};

/// @return JSON of this node, the versions in force, the wave, members and pools
std::string status_page(const node_status& node, const fleet_state& state, const membership& members);

/// @return JSON of this node, its offsets and the versions in force
std::string log_info_page(const node_status& node, const fleet_state& state);

// ---- Explanations: JSON, or an empty string if the name or id is unknown ----

std::string explain_host(const fleet_state& state, const std::string& host);
std::string explain_pool(const fleet_state& state, const std::string& pool);
std::string explain_request(const request_traces& traces, const std::string& request_id);

}  // namespace waxwingnotch
