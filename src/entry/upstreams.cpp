#include "waxwingnotch/entry/upstreams.hpp"

#include <algorithm>
#include <cstdlib>

namespace waxwingnotch {

upstream& upstream_table::at(std::string_view host)
{
    const auto found = upstreams_.find(host);
    return found != upstreams_.end() ? found->second : upstreams_[std::string(host)];
}

const upstream* upstream_table::find(std::string_view host) const
{
    const auto found = upstreams_.find(host);
    return found == upstreams_.end() ? nullptr : &found->second;
}

std::vector<route_candidate> upstream_table::candidates(const fleet_state& state, std::string_view pool,
                                                        std::uint32_t nodes, std::int64_t now_ms,
                                                        const std::vector<std::string>& exclude) const
{
    static const upstream untouched;
    std::vector<route_candidate> found;
    for (const auto& [name, machine] : state.hosts) {
        const bool serves = machine.pool == pool && machine.phase == host_phase::serving &&
                            machine.condition != host_condition::down;
        if (!serves || std::find(exclude.begin(), exclude.end(), name) != exclude.end()) {
            continue;
        }
        const upstream* known = find(name);
        const upstream& here = known != nullptr ? *known : untouched;
        if (here.listed_leaving || here.said_leaving || here.ejected_until > now_ms) {
            continue;
        }
        const std::uint32_t share = std::max(1U, machine.spec.connections / std::max(1U, nodes));
        found.push_back({name, machine.spec.slots, here.in_flight, here.busy_elsewhere,
                         share > here.in_flight ? share - here.in_flight : 0});
    }
    return found;
}

std::uint32_t upstream_table::pool_slots(const fleet_state& state, std::string_view pool) const
{
    std::uint32_t slots = 0;
    for (const auto& [name, machine] : state.hosts) {
        slots += machine.pool == pool && available(machine) ? machine.spec.slots : 0;
    }
    return slots;
}

void upstream_table::take_list(const std::vector<listed_host>& hosts)
{
    for (auto& [name, known] : upstreams_) {
        known.listed_leaving = false;
    }
    for (const listed_host& item : hosts) {
        upstream& known = at(item.host);
        known.listed_leaving = item.leaving;
    }
}

void upstream_table::take_answer(std::string_view host, std::uint32_t slots, const http_answer& answer)
{
    upstream& known = at(host);
    if (const auto text = answer.header("X-Free-Slots")) {
        const auto free = static_cast<std::uint32_t>(std::strtoul(text->c_str(), nullptr, 10));
        const std::uint32_t busy = slots > free ? slots - free : 0;
        known.busy_elsewhere = busy > known.in_flight ? busy - known.in_flight : 0;
    }
    known.said_leaving = answer.header("X-Leaving").value_or("") == "1";
}

}  // namespace waxwingnotch
