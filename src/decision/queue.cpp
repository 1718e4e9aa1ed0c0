#include "waxwingnotch/decision/queue.hpp"

#include <algorithm>
#include <cassert>

namespace waxwingnotch {

std::int64_t long_from_ms(const queue_rules& rules, std::int64_t median_ms)
{
    return std::max(rules.min_long_ms, rules.long_factor * median_ms);
}

bool expected_long(const queue_rules& rules, std::int64_t estimate_ms, std::int64_t median_ms)
{
    return median_ms > 0 && estimate_ms >= long_from_ms(rules, median_ms);
}

void long_work_counter::start(std::uint64_t id, std::int64_t becomes_long_at)
{
    running_.emplace(id, becomes_long_at);
    not_long_yet_.insert({becomes_long_at, id});
}

void long_work_counter::end(std::uint64_t id)
{
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    not_long_yet_.erase({found->second, id});
    running_.erase(found);
}

std::uint32_t long_work_counter::count(std::int64_t now_ms)
{
    while (!not_long_yet_.empty() && not_long_yet_.begin()->first <= now_ms) {
        not_long_yet_.erase(not_long_yet_.begin());
    }
    return static_cast<std::uint32_t>(running_.size() - not_long_yet_.size());
}

std::uint32_t long_slots(const queue_rules& rules, std::uint32_t slots, std::int64_t waited_ms)
{
    const auto growth_ms = static_cast<double>(std::max<std::int64_t>(1, rules.long_share_growth_ms));
    const double progress = std::clamp(static_cast<double>(waited_ms) / growth_ms, 0.0, 1.0);
    const double share = rules.long_share + (rules.max_long_share - rules.long_share) * progress;
    return std::max(1U, static_cast<std::uint32_t>(share * slots));
}

std::int64_t order_time(const queue_rules& rules, const queued_work& work)
{
    const std::int64_t max_estimate_ms = rules.max_bypass_ms / std::max<std::int64_t>(1, rules.aging);
    const bool capped = work.estimate_ms > max_estimate_ms;
    return work.queued_at + (capped ? rules.max_bypass_ms : rules.aging * work.estimate_ms);
}

void work_queue::push(const queued_work& work)
{
    const bool inserted = work_.emplace(work.id, work).second;
    assert(inserted && "the id is already queued");
    (void)inserted;
    lane_of(work).insert({order_time(rules_, work), work.id});
}

std::optional<work_queue::order_key> work_queue::first(bool urgent, const pool_use& pool,
                                                       std::int64_t now_ms) const
{
    const lane& short_lane = lanes_[urgent ? 1 : 0][0];
    const lane& long_lane = lanes_[urgent ? 1 : 0][1];
    std::optional<order_key> best;
    if (!short_lane.empty()) {
        best = *short_lane.begin();
    }
    if (!long_lane.empty()) {
        const order_key candidate = *long_lane.begin();
        const std::int64_t waited = now_ms - work_.at(candidate.second).queued_at;
        const bool allowed = pool.long_in_flight < long_slots(rules_, pool.slots, waited);
        if (allowed && (!best || candidate < *best)) {
            best = candidate;
        }
    }
    return best;
}

std::optional<queued_work> work_queue::next(const pool_use& pool, std::int64_t now_ms) const
{
    const std::optional<order_key> urgent = first(true, pool, now_ms);
    const std::optional<order_key> normal = first(false, pool, now_ms);
    if (!urgent && !normal) {
        return std::nullopt;
    }
    const bool send_urgent =
        urgent && (!normal || (!pool.urgent_share_used_up && urgent_streak_ < rules_.max_urgent_streak));
    return work_.at(send_urgent ? urgent->second : normal->second);
}

void work_queue::take(std::uint64_t id)
{
    const bool was_urgent = work_.at(id).urgent;
    const bool normal_waits = !lanes_[0][0].empty() || !lanes_[0][1].empty();
    urgent_streak_ = was_urgent && normal_waits ? urgent_streak_ + 1 : 0;
    remove(id);
}

void work_queue::remove(std::uint64_t id)
{
    const auto found = work_.find(id);
    if (found == work_.end()) {
        return;
    }
    lane_of(found->second).erase({order_time(rules_, found->second), id});
    work_.erase(found);
}

}  // namespace waxwingnotch
