/// @file
/// The operators' side of a node's HTTP interface: status, explain, metrics.
#pragma once

#include "waxwingnotch/entry/dispatcher.hpp"
#include "waxwingnotch/entry/entry_node.hpp"
#include "waxwingnotch/entry/fleet_view.hpp"
#include "waxwingnotch/peer/membership.hpp"

#include <string>

namespace waxwingnotch {

/// What a status page shows besides the state.
struct node_status {
    std::string node;
    std::int64_t incarnation = 0;
    std::string data_centre;
    node_phase phase = node_phase::catching_up;
    bool log_reachable = false;
    std::int64_t log_end = -1;
    std::size_t in_flight = 0;
};

/// JSON of this node, the versions in force, members and pools.
std::string status_page(const node_status& node, const fleet_state& state, const membership& members);

/// JSON of the offsets and versions only.
std::string log_info_page(const node_status& node, const fleet_state& state);

// ---- Explanations; an empty text if the thing is unknown ----

std::string explain_host(const fleet_state& state, const std::string& host);
std::string explain_pool(const fleet_state& state, const std::string& pool);
std::string explain_request(const request_traces& traces, const std::string& request_id);

}  // namespace waxwingnotch
