#include "waxwingnotch/decision/never_runnable.hpp"

namespace waxwingnotch {

namespace {

std::int64_t memory_mb(const host_state& machine)
{
    constexpr std::int64_t mb_per_gb = 1'024;
    return machine.spec.memory_gb * mb_per_gb;
}

bool belongs_to(const host_state& machine, std::string_view pool)
{
    return !machine.removed && (machine.spec.pool == pool || machine.pool == pool);
}

}  // namespace

const char* to_string(exceeded_limit limit)
{
    switch (limit) {
    case exceeded_limit::none:
        return "none";
    case exceeded_limit::unknown_service:
        return "unknown-service";
    case exceeded_limit::empty_pool:
        return "empty-pool";
    case exceeded_limit::service_size:
        return "service-size";
    case exceeded_limit::host_memory:
        return "host-memory";
    case exceeded_limit::run_time:
        return "run-time";
    }
    return "unnamed";
}

std::string runnable_result::text() const
{
    const std::string declared_text = std::to_string(declared);
    const std::string allowed_text = std::to_string(allowed);
    const std::string versions = " (rules version " + std::to_string(rules_version) + ", inventory version " +
                                 std::to_string(inventory_version) + ")";
    switch (limit) {
    case exceeded_limit::none:
        return {};
    case exceeded_limit::unknown_service:
        return "unknown service '" + service + "'" + versions;
    case exceeded_limit::empty_pool:
        return "pool '" + pool + "' of service '" + service + "' has no host in the inventory" + versions;
    case exceeded_limit::service_size:
        return "declared size " + declared_text + " MB exceeds max_size_mb " + allowed_text +
               " of service '" + service + "'" + versions;
    case exceeded_limit::host_memory:
        return "declared size " + declared_text + " MB exceeds the " + allowed_text + " MB of host '" + host +
               "', the largest of pool '" + pool + "'" + versions;
    case exceeded_limit::run_time:
        return "declared run time " + declared_text + " ms exceeds max_run_time_ms " + allowed_text +
               " of service '" + service + "'" + versions;
    }
    return {};
}

const host_state* runnable_check::largest_host(const fleet_state& state, std::string_view pool,
                                               std::int64_t size_mb)
{
    const auto cached = largest_hosts_.find(pool);
    if (cached != largest_hosts_.end()) {
        const auto machine = state.hosts.find(cached->second);
        if (machine != state.hosts.end() && belongs_to(machine->second, pool) &&
            memory_mb(machine->second) >= size_mb) {
            return &machine->second;
        }
        largest_hosts_.erase(cached);
    }
    const host_state* largest = nullptr;
    for (const auto& [name, machine] : state.hosts) {
        if (belongs_to(machine, pool) && (largest == nullptr || memory_mb(machine) > memory_mb(*largest))) {
            largest = &machine;
        }
    }
    if (largest != nullptr) {
        largest_hosts_.emplace(pool, largest->spec.name);
    }
    return largest;
}

runnable_result runnable_check::check(const fleet_state& state, const declared_job& job)
{
    runnable_result verdict;
    verdict.service = job.service;
    verdict.rules_version = state.rules_document.version;
    verdict.inventory_version = state.inventory_document.version;
    const service_rule* service = find_service(state, job.service);
    if (service == nullptr) {
        verdict.limit = verdict.rules_version > 0 ? exceeded_limit::unknown_service : exceeded_limit::none;
        return verdict;
    }
    verdict.pool = service->pool;
    verdict.declared = job.size_mb;
    if (job.size_mb > service->max_size_mb) {
        verdict.limit = exceeded_limit::service_size;
        verdict.allowed = service->max_size_mb;
        return verdict;
    }
    if (job.run_time_ms > service->max_run_time_ms) {
        verdict.limit = exceeded_limit::run_time;
        verdict.declared = job.run_time_ms;
        verdict.allowed = service->max_run_time_ms;
        return verdict;
    }
    if (verdict.inventory_version == 0) {
        return verdict;
    }
    const host_state* largest = largest_host(state, service->pool, job.size_mb);
    if (largest == nullptr) {
        verdict.limit = exceeded_limit::empty_pool;
    }
    else if (memory_mb(*largest) < job.size_mb) {
        verdict.limit = exceeded_limit::host_memory;
        verdict.host = largest->spec.name;
        verdict.allowed = memory_mb(*largest);
    }
    return verdict;
}

}  // namespace waxwingnotch
