#include "entry/operator_api.hpp"

#include "waxwingnotch/base/clock.hpp"

#include <nlohmann/json.hpp>

namespace waxwingnotch {

namespace {

using nlohmann::ordered_json;

std::string text_of(const ordered_json& value)
{
    return value.dump(2, ' ', false, ordered_json::error_handler_t::replace) + "\n";
}

ordered_json version_of(const document_state& item)
{
    return {{"version", item.version},
            {"author", item.author},
            {"note", item.note},
            {"offset", item.offset},
            {"published_at", item.published_at},
            {"hash", item.hash}};
}

ordered_json basis_of(const authority& basis)
{
    return {{"inventory_version", basis.inventory_version},
            {"rules_version", basis.rules_version},
            {"author", basis.author}};
}

ordered_json head(const node_status& node, const fleet_state& state)
{
    return {{"node", node.node},
            {"incarnation", node.incarnation},
            {"data_centre", node.data_centre},
            {"phase", to_string(node.phase)},
            {"next_offset", state.next_offset},
            {"log_reachable", node.log_reachable},
            {"log_end", node.log_end},
            {"in_flight", node.in_flight},
            {"inventory", version_of(state.inventory_document)},
            {"rules", version_of(state.rules_document)}};
}

ordered_json pool_line(const fleet_state& state, const std::string& name, bool spare)
{
    std::size_t hosts = 0;
    for (const auto& [host, machine] : state.hosts) {
        hosts += machine.pool == name ? 1 : 0;
    }
    return {{"pool", name},
            {"spare", spare},
            {"hosts", hosts},
            {"available", available_hosts(state, name)},
            {"budget", budget_of(state, name)}};
}

ordered_json host_line(const std::string& name, const host_state& machine)
{
    return {{"host", name},
            {"pool", machine.pool},
            {"home_pool", machine.spec.pool},
            {"rack", machine.spec.rack},
            {"epoch", machine.epoch},
            {"phase", to_string(machine.phase)},
            {"condition", to_string(machine.condition)},
            {"reason", machine.reason},
            {"basis", basis_of(machine.basis)},
            {"decided_at_offset", machine.changed_offset}};
}

}  // namespace

std::string status_page(const node_status& node, const fleet_state& state, const membership& members)
{
    ordered_json page = head(node, state);
    page["wave"] = {{"number", state.wave.number},
                    {"open", state.wave.open},
                    {"paused", state.wave.paused},
                    {"reason", state.wave.reason}};
    page["members"] = ordered_json::array();
    const std::int64_t now = monotonic_ms();
    for (const auto& [name, known] : members.members()) {
        page["members"].push_back({{"node", name},
                                   {"incarnation", known.incarnation},
                                   {"data_centre", known.data_centre},
                                   {"alive", members.alive(name, now)},
                                   {"serving", known.serving},
                                   {"next_offset", known.offset}});
    }
    page["pools"] = ordered_json::array();
    for (const pool& item : state.inventory_in_force.pools) {
        page["pools"].push_back(pool_line(state, item.name, item.spare));
    }
    return text_of(page);
}

std::string log_info_page(const node_status& node, const fleet_state& state)
{
    return text_of(head(node, state));
}

std::string explain_host(const fleet_state& state, const std::string& host)
{
    const auto found = state.hosts.find(host);
    if (found == state.hosts.end()) {
        return {};
    }
    ordered_json page = host_line(host, found->second);
    page["evidence"] = found->second.evidence;
    page["budget_if_taken_out"] = budget_violation(state, found->second);
    page["recent"] = ordered_json::array();
    for (const audit_entry& entry : state.open_audit) {
        if (entry.subject == host) {
            page["recent"].push_back({{"offset", entry.offset},
                                      {"at", entry.at},
                                      {"what", entry.what},
                                      {"from", entry.from},
                                      {"to", entry.to},
                                      {"reason", entry.reason},
                                      {"by", entry.by},
                                      {"basis", basis_of(entry.basis)}});
        }
    }
    return text_of(page);
}

std::string explain_pool(const fleet_state& state, const std::string& pool)
{
    const struct pool* known = find_pool(state, pool);
    if (known == nullptr) {
        return {};
    }
    ordered_json page = pool_line(state, pool, known->spare);
    page["services"] = ordered_json::array();
    for (const service_rule& service : state.rules_in_force.services) {
        if (service.pool == pool) {
            page["services"].push_back({{"service", service.name}, {"min_hosts", service.min_hosts}});
        }
    }
    page["members"] = ordered_json::array();
    for (const auto& [name, machine] : state.hosts) {
        if (machine.pool == pool) {
            page["members"].push_back(host_line(name, machine));
        }
    }
    return text_of(page);
}

std::string explain_request(const request_traces& traces, const std::string& request_id)
{
    const request_trace* found = traces.find(request_id);
    if (found == nullptr) {
        return {};
    }
    ordered_json page = {{"request", request_id}, {"service", found->service}};
    page["steps"] = ordered_json::array();
    for (const trace_step& step : found->steps) {
        page["steps"].push_back({{"at", step.at}, {"text", step.text}});
    }
    return text_of(page);
}

}  // namespace waxwingnotch
