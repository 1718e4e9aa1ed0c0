/// Permissions of the policy service for the steps of a shard.
#include "shard/core_parts.hpp"

#include "waxwingnotch/base/log.hpp"

#include <algorithm>
#include <utility>

namespace waxwingnotch {

namespace {

constexpr std::int64_t advice_retry_ms = 300;       // after a request without a usable answer
constexpr std::int64_t max_ticket_margin_ms = 500;  // to store the assignment and deliver the start
constexpr std::int64_t ticket_margin_parts = 4;     // at most this part of the time that a ticket is valid
constexpr std::size_t max_advice_workers = 100;     // limit of the policy service for one request
// The policy service handles the calls of a host one by one; the second one is on its way meanwhile.
constexpr std::size_t max_open_requests = 2;

}  // namespace

/// Whether the steps of the job need permissions, as its queue says, or a worker: the records of earlier
/// versions do not tell, and a route of the same name may have come back without a policy.
bool shard_core::needs_advice(const job_entry& job)
{
    return job.terms.needs_advice || job.wants_ticket;
}

/// @return a ticket is not used this close to its expiry
std::int64_t shard_core::ticket_margin_ms(const std::string& step) const
{
    const auto found = advice_.find(step);
    const std::int64_t answered_ms = found == advice_.end() ? 0 : found->second.valid_ms;
    const std::int64_t valid_ms = answered_ms > 0 ? answered_ms : advice_valid_ms(step);
    return std::min(max_ticket_margin_ms, valid_ms / ticket_margin_parts);
}

/// Wants permissions for the step if it needs any, for workers without a decision: also for those that have
/// come since the last request, and those whose tickets would lapse before the next answer.
/// @return whether the step needs no permissions, or a worker has a valid one
bool shard_core::advice_ready(occurrence_entry& occurrence, std::uint32_t step, std::int64_t now_ms)
{
    const std::string name = occurrence.key() + "." + std::to_string(step);
    const queue_terms& terms = occurrence.job->terms;
    if (!needs_advice(*occurrence.job)) {
        if (!advice_.empty()) {
            advice_.erase(name);  // the queue needed permissions under an earlier configuration
        }
        return true;
    }
    advice_entry& entry = advice_[name];
    const std::vector<placement_view> views = make_round(occurrence.job->spec.service, now_ms).views;
    const std::int64_t valid_ms = entry.valid_ms > 0 ? entry.valid_ms : terms.advice_valid_ms;
    const auto call_ms = [&terms](std::size_t workers) {
        return terms.advice_call_ms +
               terms.advice_worker_ms * static_cast<std::int64_t>(std::min(workers, max_advice_workers));
    };
    const std::int64_t usable_ms = now_ms + ticket_margin_ms(name);
    const std::int64_t renewal_ms =
        usable_ms + std::min(2 * call_ms(views.size()), valid_ms / 2);  // a call may wait for another one
    std::vector<std::string> workers;
    bool any_valid = false;
    for (const placement_view& view : views) {
        const std::string& id = view.worker->entry.id;
        any_valid = any_valid || entry.valid_ticket(id, usable_ms) != nullptr;
        if (entry.valid_ticket(id, renewal_ms) == nullptr && !entry.refused.contains(id) &&
            workers.size() < max_advice_workers) {
            workers.push_back(id);
        }
    }
    if (!workers.empty() && now_ms >= entry.retry_ms && !open_advice_.contains(name)) {
        const std::int64_t expected_ms = call_ms(workers.size());
        wanted_advice_.push_back(
            {.asked_ms = entry.asked_ms.value_or(-1),
             .order = {.step = name, .workers = std::move(workers), .expected_ms = expected_ms}});
    }
    return any_valid;
}

/// Requests permissions for the steps whose latest request is the oldest, so that none waits for ever behind
/// others that ask again and again. Of those that were not asked about the most urgent job is the first.
void shard_core::request_advice(std::int64_t now_ms)
{
    std::stable_sort(wanted_advice_.begin(), wanted_advice_.end(),
                     [](const wanted_advice& a, const wanted_advice& b) { return a.asked_ms < b.asked_ms; });
    for (wanted_advice& wanted : wanted_advice_) {
        if (open_advice_.size() >= max_open_requests) {
            break;
        }
        advice_entry& entry = advice_[wanted.order.step];
        entry.asked_ms = now_ms;
        entry.asked = wanted.order.workers;
        open_advice_.insert(wanted.order.step);
        advice_requests_.push_back(std::move(wanted.order));
    }
    wanted_advice_.clear();
}

void shard_core::on_advice(const std::string& step, const advice_answer& answer, std::int64_t now_ms)
{
    open_advice_.erase(step);
    schedule_needed_ = true;  // another step may be asked about
    const auto found = advice_.find(step);
    if (found == advice_.end()) {
        return;
    }
    advice_entry& entry = found->second;
    const std::vector<std::string> asked = std::exchange(entry.asked, {});
    if (!answer.ok) {
        entry.retry_ms = now_ms + advice_retry_ms;
        log_event(log_level::warning, "advice",
                  {{"step", step},
                   {"workers", asked.size()},
                   {"outcome", "no usable answer"},
                   {"late", answer.late},
                   {"ms", now_ms - entry.asked_ms.value_or(now_ms)}});
        return;
    }
    entry.valid_ms = answer.valid_ms > 0 ? answer.valid_ms : advice_valid_ms(step);
    std::set<std::string> allowed;
    for (const advice_row& row : answer.allowed) {
        if (std::find(asked.begin(), asked.end(), row.worker_id) != asked.end()) {
            entry.tickets[row.worker_id] = {row.ticket, now_ms + entry.valid_ms};
            allowed.insert(row.worker_id);
        }
    }
    for (const std::string& worker : asked) {
        if (!allowed.contains(worker)) {
            entry.tickets.erase(worker);
            entry.refused.insert(worker);
        }
    }
    if (entry.tickets.empty()) {
        log_event(log_level::warning, "advice",
                  {{"step", step}, {"workers", entry.refused.size()}, {"outcome", "no worker is allowed"}});
    }
}

/// Forgets what was said about a worker whose life has ended: neither a ticket nor a refusal holds for the
/// next one.
void shard_core::forget_advice(const std::string& worker)
{
    for (auto& [step, entry] : advice_) {
        entry.tickets.erase(worker);
        entry.refused.erase(worker);
        std::erase(entry.asked, worker);
    }
}

/// @return for how long a ticket of the step is valid where the policy service does not say it
std::int64_t shard_core::advice_valid_ms(const std::string& step) const
{
    const auto job = jobs_.find(step.substr(0, step.find('.')));
    return job == jobs_.end() ? 0 : job->second->terms.advice_valid_ms;
}

}  // namespace waxwingnotch
