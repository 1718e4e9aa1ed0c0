// Admission in the dispatcher: which requests are accepted, and which are held until their team is below
// its share.
#include "entry/active_request.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

#include <algorithm>

namespace waxwingnotch {

admission_request dispatcher::to_admission_request(const active_request& item)
{
    admission_request request;
    request.service = item.request.service;
    request.team = item.request.team;
    request.urgent = item.request.urgent;
    request.run_estimate_ms = item.admitted_estimate_ms;
    // refuse_if_late() checks the run time: the median would refuse work that could have ended in time.
    request.min_run_ms = 0;
    if (item.deadline_at > 0) {
        request.deadline_left_ms = std::max<std::int64_t>(1, item.deadline_at - monotonic_ms());
    }
    return request;
}

std::optional<caller_answer> dispatcher::refuse_admission(active_request& item)
{
    const service_rule* service = find_service(deps_.view.state(), item.request.service);
    if (item.admission != admission_state::none || service == nullptr) {
        return std::nullopt;
    }
    item.admitted_estimate_ms = run_times_.estimate(item.label()).median_ms;
    const service_load load{pool_use_of(service->pool, monotonic_ms()).slots, service->queue_limit};
    const admission_verdict verdict = quotas_.admit(to_admission_request(item), load);
    if (verdict.refusal == admission_refusal::none) {
        item.admission = admission_state::waiting;
        return std::nullopt;
    }
    log_event(log_level::info, "refuse",
              {{"request", item.id},
               {"service", item.request.service},
               {"team", item.request.team},
               {"reason", to_string(verdict.refusal)},
               {"waiting", verdict.waiting},
               {"queue_limit", verdict.queue_limit},
               {"slots", load.slots},
               {"team_held", verdict.team_held},
               {"team_share", verdict.team_share},
               {"static_shares", quotas_.uses_static_shares()},
               {"expected_wait_ms", verdict.expected_wait_ms},
               {"longest_wait_ms", verdict.longest_wait_ms}});
    constexpr int too_many_requests = 429;
    const bool over_limit = verdict.refusal != admission_refusal::deadline;
    caller_answer answer =
        make_refusal(outcome::not_run, verdict.text(), std::max(retry_after_ms, verdict.expected_wait_ms));
    answer.status = over_limit ? too_many_requests : answer.status;
    return answer;
}

bool dispatcher::key_is_claimed(const active_request& item) const
{
    if (!item.request.non_idempotent || item.request.idempotency_key.empty()) {
        return false;
    }
    const std::string key = claim_key(item.request.service, item.request.idempotency_key);
    return deps_.view.state().claims.count(key) > 0;
}

void dispatcher::count_start(active_request& item)
{
    if (item.admission == admission_state::waiting) {
        quotas_.limits().started(to_admission_request(item));
        item.admission = admission_state::running;
    }
}

void dispatcher::count_end(active_request& item, std::optional<std::int64_t> ran_ms)
{
    if (item.admission != admission_state::running) {
        return;
    }
    if (ran_ms) {
        quotas_.limits().ended(to_admission_request(item), ran_ms);
        item.admission = admission_state::none;
    }
    else {
        quotas_.limits().requeued(to_admission_request(item));
        item.admission = admission_state::waiting;
    }
    release_held(item.request.team);
}

void dispatcher::count_finished(active_request& item)
{
    if (item.admission == admission_state::waiting) {
        quotas_.limits().left_queue(to_admission_request(item));
    }
    if (item.admission == admission_state::running) {
        quotas_.limits().ended(to_admission_request(item), std::nullopt);
        release_held(item.request.team);
    }
    item.admission = admission_state::none;
}

void dispatcher::hold_for_quota(const active_ptr& item)
{
    queues_[item->request.service].order.remove(item->number);
    held_for_quota_[item->request.team].push_back(item);
}

void dispatcher::release_held(std::string_view team)
{
    const auto found = held_for_quota_.find(team);
    if (found == held_for_quota_.end()) {
        return;
    }
    for (const active_ptr& item : found->second) {
        if (item->queued) {
            queues_[item->request.service].order.push(item->queue_entry());
        }
    }
    held_for_quota_.erase(found);
}

void dispatcher::begin_quota_round(std::int64_t wall_now_ms)
{
    auto nodes = deps_.member_ids ? deps_.member_ids() : std::vector<std::string>{options_.node_id};
    if (!quotas_.begin_round(wall_now_ms, std::move(nodes), deps_.view.state())) {
        return;
    }
    while (!held_for_quota_.empty()) {
        release_held(std::string(held_for_quota_.begin()->first));
    }
    pump();
}

}  // namespace waxwingnotch
