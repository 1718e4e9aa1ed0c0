// The dispatcher's admission: which requests may join, and which must wait for their team's share.
#include "entry/active_request.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

#include <algorithm>

namespace waxwingnotch {

admission_request dispatcher::admission_view(const active_request& item)
{
    admission_request view;
    view.service = item.request.service;
    view.team = item.request.team;
    view.urgent = item.request.urgent;
    view.run_estimate_ms = item.admitted_estimate_ms;
    // refuse_late() judges the run time: a median refuses work that could have ended in time.
    view.min_run_ms = 0;
    if (item.deadline_at > 0) {
        view.deadline_left_ms = std::max<std::int64_t>(1, item.deadline_at - monotonic_ms());
    }
    return view;
}

std::optional<caller_answer> dispatcher::refuse_admission(active_request& item)
{
    const service_rule* service = find_service(parts_.view.state(), item.request.service);
    if (item.use != slot_use::none || service == nullptr) {
        return std::nullopt;
    }
    item.admitted_estimate_ms = run_times_.estimate(item.label()).median_ms;
    const service_load load{use_of(service->pool, monotonic_ms()).slots, service->queue_limit};
    const admission_verdict verdict = quotas_.admit(admission_view(item), load);
    if (verdict.refusal == admission_refusal::none) {
        item.use = slot_use::waiting;
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
               {"static_shares", quotas_.fell_back()},
               {"expected_wait_ms", verdict.expected_wait_ms},
               {"longest_wait_ms", verdict.longest_wait_ms}});
    constexpr int too_many = 429;
    const bool sends_too_much = verdict.refusal != admission_refusal::deadline;
    caller_answer answer =
        make_refusal(outcome::not_run, verdict.text(), std::max(retry_after_ms, verdict.expected_wait_ms));
    answer.status = sends_too_much ? too_many : answer.status;
    return answer;
}

bool dispatcher::repeats_key(const active_request& item) const
{
    if (!item.request.non_idempotent || item.request.idempotency_key.empty()) {
        return false;
    }
    const std::string key = claim_key(item.request.service, item.request.idempotency_key);
    return parts_.view.state().claims.count(key) > 0;
}

void dispatcher::count_start(active_request& item)
{
    if (item.use == slot_use::waiting) {
        quotas_.limits().started(admission_view(item));
        item.use = slot_use::running;
    }
}

void dispatcher::count_end(active_request& item, std::optional<std::int64_t> ran_ms)
{
    if (item.use != slot_use::running) {
        return;
    }
    if (ran_ms) {
        quotas_.limits().ended(admission_view(item), ran_ms);
        item.use = slot_use::none;
    }
    else {
        quotas_.limits().requeued(admission_view(item));
        item.use = slot_use::waiting;
    }
    release_parked(item.request.team);
}

void dispatcher::count_gone(active_request& item)
{
    if (item.use == slot_use::waiting) {
        quotas_.limits().left_queue(admission_view(item));
    }
    if (item.use == slot_use::running) {
        quotas_.limits().ended(admission_view(item), std::nullopt);
        release_parked(item.request.team);
    }
    item.use = slot_use::none;
}

void dispatcher::park(const active_ptr& item)
{
    queues_[item->request.service].order.remove(item->number);
    parked_[item->request.team].push_back(item);
}

void dispatcher::release_parked(std::string_view team)
{
    const auto found = parked_.find(team);
    if (found == parked_.end()) {
        return;
    }
    for (const active_ptr& item : found->second) {
        if (item->queued) {
            queues_[item->request.service].order.push(item->queue_entry());
        }
    }
    parked_.erase(found);
}

void dispatcher::begin_round(std::int64_t wall_now_ms)
{
    auto nodes = parts_.member_ids ? parts_.member_ids() : std::vector<std::string>{options_.node_id};
    if (!quotas_.begin_round(wall_now_ms, std::move(nodes), parts_.view.state())) {
        return;
    }
    while (!parked_.empty()) {
        release_parked(std::string(parked_.begin()->first));
    }
    pump();
}

}  // namespace waxwingnotch
