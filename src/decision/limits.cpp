#include "waxwingnotch/decision/limits.hpp"

#include <algorithm>
#include <cassert>

namespace waxwingnotch {

namespace {

constexpr std::int64_t unknown_run_ms = 1'000;   // any value works: the correction adapts it
constexpr double decay_per_request = 63.0 / 64;  // factor on the past sums at each ended request
constexpr double max_correction = 1'000;

std::int64_t estimate_of(const admission_request& request)
{
    return request.run_estimate_ms > 0 ? request.run_estimate_ms : unknown_run_ms;
}

}  // namespace

const char* to_string(admission_refusal refusal)
{
    switch (refusal) {
    case admission_refusal::none:
        return "none";
    case admission_refusal::queue_full:
        return "queue full";
    case admission_refusal::team_quota:
        return "quota of the team used up";
    case admission_refusal::deadline:
        return "deadline cannot be met";
    }
    return "unnamed";
}

std::string admission_verdict::text() const
{
    return std::string(refusal == admission_refusal::none ? "admitted" : to_string(refusal)) + "; waiting " +
           std::to_string(waiting) + " of " + std::to_string(queue_limit) + "; team holds " +
           std::to_string(team_held) + " with a share of " + std::to_string(team_share) +
           " slots; expected wait " + std::to_string(expected_wait_ms) + " ms of " +
           std::to_string(longest_wait_ms) + " ms";
}

bool admission_control::too_late(const admission_request& request, std::int64_t deadline_left_ms) const
{
    const auto found = services_.find(request.service);
    const bool idle =
        found == services_.end() || found->second.running[0].count + found->second.running[1].count == 0;
    return deadline_left_ms <= 0 || (!idle && needed_run_ms(request) >= deadline_left_ms);
}

std::int64_t admission_control::needed_run_ms(const admission_request& request) const
{
    return request.min_run_ms ? *request.min_run_ms : corrected_run_ms(request);
}

double admission_control::correction(const service_use& use)
{
    return use.estimated_ms > 0
               ? std::clamp(use.ran_ms / use.estimated_ms, 1 / max_correction, max_correction)
               : 1;
}

std::int64_t admission_control::corrected_run_ms(const admission_request& request) const
{
    const auto found = services_.find(request.service);
    const double factor = found == services_.end() ? 1 : correction(found->second);
    return static_cast<std::int64_t>(static_cast<double>(estimate_of(request)) * factor);
}

std::int64_t admission_control::expected_wait(const service_use& use, bool urgent, const service_load& load)
{
    const std::uint32_t running = use.running[0].count + use.running[1].count;
    if (load.slots == 0 || running + use.waiting[0].count + use.waiting[1].count < load.slots) {
        return 0;
    }
    // Running requests are half done on average. Urgent work waits only behind urgent work, but gets no
    // more than its share of the slots while normal work waits.
    const std::int64_t running_ms = (use.running[0].run_ms + use.running[1].run_ms) / 2;
    const std::int64_t urgent_ms = use.waiting[1].run_ms;
    const auto slots = static_cast<double>(load.slots);
    const double ahead = urgent ? static_cast<double>(urgent_ms) / urgent_share
                                : static_cast<double>(urgent_ms + use.waiting[0].run_ms);
    return static_cast<std::int64_t>((ahead + static_cast<double>(running_ms)) * correction(use) / slots);
}

admission_control::team_use* admission_control::team(std::string_view name)
{
    const auto found = teams_.find(name);
    return found == teams_.end() ? nullptr : &found->second;
}

admission_verdict admission_control::admit(const admission_request& request, const service_load& load,
                                           std::optional<std::uint32_t> team_share)
{
    auto service = services_.find(request.service);
    if (service == services_.end()) {
        service = services_.emplace(request.service, service_use{}).first;
    }
    service_use& use = service->second;
    team_use* requester = team(request.team);
    if (requester == nullptr && team_share) {
        requester = &teams_.emplace(request.team, team_use{}).first->second;
    }
    admission_verdict verdict;
    verdict.waiting = use.waiting[0].count + use.waiting[1].count;
    verdict.queue_limit = load.queue_limit;
    verdict.team_held = requester == nullptr ? 0 : requester->waiting + requester->running;
    verdict.team_share = team_share.value_or(0);
    verdict.expected_wait_ms = expected_wait(use, request.urgent, load);
    const std::int64_t run_ms = needed_run_ms(request);
    const std::int64_t slack_ms = std::max<std::int64_t>(0, request.deadline_left_ms - run_ms);
    verdict.longest_wait_ms = static_cast<std::int64_t>(static_cast<double>(slack_ms) * usable_wait_share);
    // With a share of 0, requests may still wait for the shares of later rounds.
    const std::uint32_t max_held = std::max(1U, verdict.team_share) * queued_per_slot + verdict.team_share;
    if (verdict.waiting >= load.queue_limit) {
        verdict.refusal = admission_refusal::queue_full;
    }
    else if (team_share && verdict.team_held >= max_held) {
        verdict.refusal = admission_refusal::team_quota;
    }
    else if (request.deadline_left_ms > 0 && (too_late(request, request.deadline_left_ms) ||
                                              verdict.expected_wait_ms > verdict.longest_wait_ms)) {
        verdict.refusal = admission_refusal::deadline;
    }
    const bool admitted = verdict.refusal == admission_refusal::none;
    if (admitted) {
        work_sum& queue = use.waiting[request.urgent ? 1 : 0];
        ++queue.count;
        queue.run_ms += estimate_of(request);
    }
    if (requester != nullptr) {
        requester->waiting += admitted ? 1 : 0;
        requester->refused += verdict.refusal == admission_refusal::team_quota ? 1 : 0;
        requester->peak =
            std::max(requester->peak, requester->waiting + requester->running + requester->refused);
    }
    return verdict;
}

bool admission_control::urgent_next(std::string_view service, const service_load& load) const
{
    const auto found = services_.find(service);
    if (found == services_.end() || found->second.waiting[1].count == 0) {
        return false;
    }
    const double bound = std::max(1.0, urgent_share * load.slots);
    return found->second.waiting[0].count == 0 || found->second.running[1].count < bound;
}

bool admission_control::may_start(const admission_request& request,
                                  std::optional<std::uint32_t> team_share) const
{
    const auto found = teams_.find(request.team);
    return !team_share || (found == teams_.end() ? 0 : found->second.running) < *team_share;
}

void admission_control::started(const admission_request& request)
{
    left_queue(request);
    work_sum& running = services_.find(request.service)->second.running[request.urgent ? 1 : 0];
    ++running.count;
    running.run_ms += estimate_of(request);
    if (team_use* known = team(request.team)) {
        ++known->running;
    }
}

void admission_control::requeued(const admission_request& request)
{
    ended(request, std::nullopt);
    work_sum& queue = services_.find(request.service)->second.waiting[request.urgent ? 1 : 0];
    ++queue.count;
    queue.run_ms += estimate_of(request);
    if (team_use* known = team(request.team)) {
        ++known->waiting;
    }
}

void admission_control::left_queue(const admission_request& request)
{
    const auto service = services_.find(request.service);
    assert(service != services_.end() && "the request was not admitted");
    work_sum& queue = service->second.waiting[request.urgent ? 1 : 0];
    assert(queue.count > 0 && "the request was not admitted or has already left the queue");
    --queue.count;
    queue.run_ms -= estimate_of(request);
    if (team_use* known = team(request.team); known != nullptr && known->waiting > 0) {
        --known->waiting;
    }
}

void admission_control::ended(const admission_request& request, std::optional<std::int64_t> ran_ms)
{
    const auto service = services_.find(request.service);
    assert(service != services_.end() && "the request was not admitted");
    work_sum& running = service->second.running[request.urgent ? 1 : 0];
    assert(running.count > 0 && "the request was not started or has already ended");
    --running.count;
    running.run_ms -= estimate_of(request);
    if (ran_ms) {
        service_use& use = service->second;
        use.ran_ms = use.ran_ms * decay_per_request + static_cast<double>(*ran_ms);
        use.estimated_ms = use.estimated_ms * decay_per_request + static_cast<double>(estimate_of(request));
    }
    if (team_use* known = team(request.team); known != nullptr && known->running > 0) {
        --known->running;
    }
}

std::vector<std::pair<std::string, std::uint32_t>> admission_control::collect_demand()
{
    std::vector<std::pair<std::string, std::uint32_t>> demand;
    for (auto at = teams_.begin(); at != teams_.end();) {
        team_use& use = at->second;
        if (use.peak > 0) {
            demand.emplace_back(at->first, use.peak);
        }
        use.refused = 0;
        use.peak = use.waiting + use.running;
        at = use.peak == 0 ? teams_.erase(at) : std::next(at);
    }
    std::sort(demand.begin(), demand.end());
    return demand;
}

}  // namespace waxwingnotch
