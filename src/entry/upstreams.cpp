#include "waxwingnotch/entry/upstreams.hpp"

#include <algorithm>
#include <cstdlib>

namespace waxwingnotch {

namespace {
bool reports_leaving(const http_answer& answer)
{
    return answer.header("X-Leaving").value_or("") == "1";
}
}  // namespace

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

void upstream_table::use_members(std::string self, member_source members)
{
    self_ = std::move(self);
    members_ = std::move(members);
    index_stale_ = true;
}

void upstream_table::rebuild(const fleet_state& state)
{
    pools_.clear();
    for (const auto& [name, machine] : state.hosts) {
        pool_index& pool = pools_[machine.pool];
        pool.hosts.push_back({name, &at(name), machine.spec.slots});
        pool.slots += available(machine) ? machine.spec.slots : 0;
    }
    if (!members_) {
        return;
    }
    const std::vector<std::string> members = members_();
    for (auto& [name, pool] : pools_) {
        restrict_to_subset(state, members, pool);
    }
}

void upstream_table::restrict_to_subset(const fleet_state& state, const std::vector<std::string>& members,
                                        pool_index& pool) const
{
    if (pool.hosts.size() < subset_pool_hosts) {
        return;
    }
    std::erase_if(pool.hosts, [&](const pool_host& item) {
        const host& spec = state.hosts.at(item.name).spec;
        const std::uint32_t max_users = nodes_per_worker(spec.connections, spec.slots);
        pool.subset = pool.subset || members.size() > max_users;
        return !uses_worker(self_, members, item.name, max_users);
    });
}

const upstream_table::pool_index& upstream_table::index_of(const fleet_state& state, std::string_view pool,
                                                           std::int64_t now_ms)
{
    static const pool_index no_hosts;
    if (index_stale_ || now_ms - indexed_at_ >= index_valid_ms) {
        rebuild(state);
        index_stale_ = false;
        indexed_at_ = now_ms;
    }
    const auto found = pools_.find(pool);
    return found == pools_.end() ? no_hosts : found->second;
}

std::optional<route_candidate> upstream_table::candidate(const upstream_query& query, const pool_index& pool,
                                                         const pool_host& item,
                                                         const std::vector<std::string>& exclude) const
{
    const upstream& known = *item.known;
    if (known.listed_leaving || known.worker_reported_leaving || known.peer_reported_leaving ||
        known.ejected_until > query.now_ms) {
        return std::nullopt;
    }
    const auto found = query.state.hosts.find(item.name);
    if (found == query.state.hosts.end()) {
        return std::nullopt;
    }
    const host_state& machine = found->second;
    const bool serves = machine.pool == query.pool && machine.phase == host_phase::serving &&
                        machine.condition != host_condition::down;
    if (!serves || std::find(exclude.begin(), exclude.end(), item.name) != exclude.end()) {
        return std::nullopt;
    }
    const std::uint32_t limit = health_.work_limit(item.name, machine.spec.slots, query.now_ms);
    if (limit < machine.spec.slots) {
        // Suspected or on probation: the limit applies to this node's own requests only.
        if (known.in_flight >= limit) {
            return std::nullopt;
        }
        return route_candidate{item.name, limit, known.in_flight, 0, limit - known.in_flight};
    }
    const std::uint32_t max_users = nodes_per_worker(machine.spec.connections, machine.spec.slots);
    const std::uint32_t users = pool.subset ? std::min(query.nodes, max_users) : query.nodes;
    const std::uint32_t share = std::max(1U, machine.spec.connections / std::max(1U, users));
    return route_candidate{item.name, machine.spec.slots, known.in_flight,
                           busy_elsewhere(known.report, query.now_ms),
                           share > known.in_flight ? share - known.in_flight : 0};
}

std::optional<upstream_choice> upstream_table::choose(const upstream_query& query,
                                                      const std::vector<std::string>& exclude)
{
    const pool_index& pool = index_of(query.state, query.pool, query.now_ms);
    const auto open_candidate = [&](std::size_t index) -> std::optional<route_candidate> {
        const pool_host& item = pool.hosts[index];
        // Skips full hosts before the lookup in the state, because every host of a saturated pool is
        // examined.
        const std::uint32_t busy = item.known->in_flight + busy_elsewhere(item.known->report, query.now_ms);
        return busy < item.slots ? candidate(query, pool, item, exclude) : std::nullopt;
    };
    const auto choice = sample_upstreams(pool.hosts.size(), open_candidate, query.random);
    if (!choice) {
        return std::nullopt;
    }
    return upstream_choice{pool.hosts[choice->index].name,
                           choice->runner_up ? pool.hosts[*choice->runner_up].name : std::string(),
                           choice->load, pool.hosts.size()};
}

bool upstream_table::any_serving(const upstream_query& query, const std::vector<std::string>& exclude)
{
    const pool_index& pool = index_of(query.state, query.pool, query.now_ms);
    return std::any_of(pool.hosts.begin(), pool.hosts.end(), [&](const pool_host& item) {
        return candidate(query, pool, item, exclude).has_value();
    });
}

std::uint32_t upstream_table::pool_slots(const fleet_state& state, std::string_view pool, std::int64_t now_ms)
{
    return index_of(state, pool, now_ms).slots;
}

std::uint32_t upstream_table::hosts_over_budget(const fleet_state& state, std::string_view pool,
                                                std::int64_t now_ms) const
{
    std::uint32_t usable = 0;
    for (const auto& [name, machine] : state.hosts) {
        const upstream* known = machine.pool == pool && available(machine) ? find(name) : nullptr;
        const bool refuses = known != nullptr && known->ejected_until > now_ms;
        usable += machine.pool == pool && available(machine) && !refuses ? 1 : 0;
    }
    const std::uint32_t budget = budget_of(state, pool);
    return usable > budget ? usable - budget : 0;
}

void upstream_table::apply_host_list(const std::vector<listed_host>& hosts)
{
    for (auto& [name, known] : upstreams_) {
        known.listed_leaving = false;
    }
    for (const listed_host& item : hosts) {
        upstream& known = at(item.host);
        known.listed_leaving = item.leaving;
    }
}

void upstream_table::apply_answer(std::string_view host, std::uint32_t slots, const http_answer& answer,
                                  std::int64_t now_ms)
{
    constexpr int too_many_requests = 429;
    upstream& known = at(host);
    if (answer.status == too_many_requests) {
        // A refusal overrides the number of free slots in the same answer.
        known.report = {slots > known.in_flight ? slots - known.in_flight : 0, now_ms};
    }
    else if (const auto text = answer.header("X-Free-Slots")) {
        const auto free = static_cast<std::uint32_t>(std::strtoul(text->c_str(), nullptr, 10));
        const std::uint32_t busy = slots > free ? slots - free : 0;
        known.report = {busy > known.in_flight ? busy - known.in_flight : 0, now_ms};
    }
    known.worker_reported_leaving = reports_leaving(answer);
    known.peer_reported_leaving = false;
}

void upstream_table::apply_usage(std::string_view host, const http_answer& answer)
{
    const bool leaving = reports_leaving(answer);
    if (leaving || find(host) != nullptr) {
        upstream& known = at(host);
        known.worker_reported_leaving = leaving;
        known.peer_reported_leaving = false;
    }
}

std::vector<std::string> upstream_table::hosts_with(bool upstream::*flag) const
{
    std::vector<std::string> hosts;
    for (const auto& [name, known] : upstreams_) {
        if (known.*flag) {
            hosts.push_back(name);
        }
    }
    return hosts;
}

}  // namespace waxwingnotch
