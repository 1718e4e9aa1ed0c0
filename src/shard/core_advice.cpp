/// Permissions of the policy service for the steps of a shard.
#include "shard/core_parts.hpp"

#include "waxwingnotch/base/log.hpp"

#include <algorithm>
#include <utility>

namespace waxwingnotch {

namespace {

constexpr std::int64_t advice_retry_ms = 300;    // between requests for the same step
constexpr std::int64_t ticket_margin_ms = 500;   // a ticket is not used this close to its expiry
constexpr std::size_t max_advice_workers = 100;  // limit of the policy service for one request

}  // namespace

/// Requests permissions for the step if it needs any, for workers without a decision: also for those that
/// have come since the last request.
/// @return whether the step needs no permissions, or a worker has a valid one
bool shard_core::advice_ready(occurrence_entry& occurrence, std::uint32_t step, std::int64_t now_ms)
{
    const std::string name = occurrence.key() + "." + std::to_string(step);
    const queue_config* queue = config_ ? config_->queue(occurrence.job->spec.queue) : nullptr;
    if (queue == nullptr || !queue->needs_advice) {
        if (!advice_.empty()) {
            advice_.erase(name);  // the queue needed permissions under an earlier configuration
        }
        return true;
    }
    advice_entry& entry = advice_[name];
    std::vector<std::string> workers;
    bool any_valid = false;
    for (const placement_view& view : make_round(occurrence.job->spec.service, now_ms).views) {
        const std::string& id = view.worker->entry.id;
        if (entry.valid_ticket(id, now_ms + ticket_margin_ms) != nullptr) {
            any_valid = true;
        }
        else if (!entry.refused.contains(id) && workers.size() < max_advice_workers) {
            workers.push_back(id);
        }
    }
    const bool may_ask = !entry.asked_ms || now_ms - *entry.asked_ms >= advice_retry_ms;
    if (!workers.empty() && may_ask) {
        entry.asked_ms = now_ms;
        entry.asked = workers;
        advice_requests_.push_back({name, std::move(workers)});
    }
    return any_valid;
}

void shard_core::on_advice(const std::string& step, const advice_answer& answer, std::int64_t now_ms)
{
    const auto found = advice_.find(step);
    if (found == advice_.end()) {
        return;
    }
    advice_entry& entry = found->second;
    const std::vector<std::string> asked = std::exchange(entry.asked, {});
    if (!answer.ok) {
        log_event(log_level::warning, "advice",
                  {{"step", step}, {"workers", asked.size()}, {"outcome", "no usable answer"}});
        return;
    }
    const std::int64_t valid_ms = answer.valid_ms > 0 ? answer.valid_ms : advice_valid_ms(step);
    std::set<std::string> allowed;
    for (const advice_row& row : answer.allowed) {
        if (std::find(asked.begin(), asked.end(), row.worker_id) != asked.end()) {
            entry.tickets[row.worker_id] = {row.ticket, now_ms + valid_ms};
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
    schedule_needed_ = true;
}

/// @return for how long the queue of the step's job lets a ticket be valid
std::int64_t shard_core::advice_valid_ms(const std::string& step) const
{
    const auto job = jobs_.find(step.substr(0, step.find('.')));
    const queue_config* queue =
        config_ && job != jobs_.end() ? config_->queue(job->second->spec.queue) : nullptr;
    return queue == nullptr ? 0 : queue->advice_valid_ms;
}

}  // namespace waxwingnotch
