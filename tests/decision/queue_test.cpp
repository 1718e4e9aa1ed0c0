#include "waxwingnotch/decision/queue.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace waxwingnotch {

namespace {

/// Computes a score from the age of every waiting request at each choice.
struct naive_queue {
    queue_rules rules;
    std::vector<queued_work> work;
    std::uint32_t urgent_streak = 0;

    const queued_work* best(bool urgent, const pool_use& pool, std::int64_t now) const
    {
        const queued_work* chosen = nullptr;
        std::int64_t lowest_short_score = 0;
        const queued_work* long_head = nullptr;
        std::int64_t lowest_long_score = 0;
        for (const queued_work& item : work) {
            if (item.urgent != urgent) {
                continue;
            }
            const std::int64_t penalty = std::min(rules.max_bypass_ms, rules.aging * item.estimate_ms);
            const std::int64_t score = penalty - (now - item.queued_at);
            const queued_work*& head = item.expected_long ? long_head : chosen;
            std::int64_t& lowest = item.expected_long ? lowest_long_score : lowest_short_score;
            if (head == nullptr || score < lowest || (score == lowest && item.id < head->id)) {
                head = &item;
                lowest = score;
            }
        }
        if (long_head == nullptr) {
            return chosen;
        }
        const auto waited =
            static_cast<double>(std::min(now - long_head->queued_at, rules.long_share_growth_ms));
        const double progress = waited / static_cast<double>(rules.long_share_growth_ms);
        const double share = rules.long_share + (rules.max_long_share - rules.long_share) * progress;
        const auto max_long = std::max(1U, static_cast<std::uint32_t>(share * pool.slots));
        if (pool.long_in_flight >= max_long) {
            return chosen;
        }
        const bool before = chosen == nullptr || lowest_long_score < lowest_short_score ||
                            (lowest_long_score == lowest_short_score && long_head->id < chosen->id);
        return before ? long_head : chosen;
    }

    std::optional<queued_work> next(const pool_use& pool, std::int64_t now) const
    {
        const queued_work* urgent = best(true, pool, now);
        const queued_work* normal = best(false, pool, now);
        const queued_work* chosen =
            urgent != nullptr && (normal == nullptr || urgent_streak < rules.max_urgent_streak) ? urgent
                                                                                                : normal;
        return chosen == nullptr ? std::nullopt : std::optional(*chosen);
    }

    void take(std::uint64_t id, bool urgent)
    {
        const bool waits = std::any_of(work.begin(), work.end(), [](auto& item) { return !item.urgent; });
        urgent_streak = urgent && waits ? urgent_streak + 1 : 0;
        std::erase_if(work, [&](const queued_work& item) { return item.id == id; });
    }
};

queue_rules small_rules()
{
    return {.aging = 3, .max_bypass_ms = 400, .max_urgent_streak = 2, .long_share_growth_ms = 300};
}

}  // namespace

// Guards against an order that differs from scoring every request, against too many consecutive urgent
// requests, and against long work that exceeds its slots.
RC_GTEST_PROP(work_queue, agrees_with_scoring_every_request, ())
{
    work_queue queue(small_rules());
    naive_queue naive{small_rules(), {}, 0};
    std::int64_t now = 0;
    const int steps = *rc::gen::inRange(1, 100);
    for (int step = 1; step <= steps; ++step) {
        now += *rc::gen::inRange<std::int64_t>(0, 60);
        const int action = *rc::gen::inRange(0, 8);
        if (action < 4) {
            const queued_work item{static_cast<std::uint64_t>(step), *rc::gen::arbitrary<bool>(),
                                   *rc::gen::arbitrary<bool>(), now, *rc::gen::inRange<std::int64_t>(0, 300)};
            queue.push(item);
            naive.work.push_back(item);
        }
        else if (action == 4) {
            const auto id = *rc::gen::inRange<std::uint64_t>(1, 100);
            queue.remove(id);
            std::erase_if(naive.work, [&](const queued_work& item) { return item.id == id; });
        }
        else {
            const pool_use pool{8, *rc::gen::inRange<std::uint32_t>(0, 9)};
            const auto chosen = queue.next(pool, now);
            const auto expected = naive.next(pool, now);
            RC_ASSERT(chosen.has_value() == expected.has_value());
            if (chosen) {
                RC_ASSERT(chosen->id == expected->id);
                queue.take(chosen->id);
                naive.take(expected->id, expected->urgent);
            }
        }
        RC_ASSERT(queue.size() == naive.work.size());
    }
}

// Guards against starvation: a request is passed only by requests that arrive within max_bypass_ms
// after it, whatever its expected run time.
RC_GTEST_PROP(work_queue, work_beyond_the_longest_bypass_does_not_pass, ())
{
    const queue_rules rules = small_rules();
    const std::int64_t estimate = *rc::gen::inRange<std::int64_t>(0, 1'000'000'000'000);
    const std::int64_t later = *rc::gen::inRange<std::int64_t>(rules.max_bypass_ms, 1'000'000);
    work_queue queue(rules);
    queue.push({1, false, *rc::gen::arbitrary<bool>(), 0, estimate});
    queue.push({2, false, false, later, 0});
    RC_ASSERT(queue.next({8, 0}, later)->id == 1U);
}

}  // namespace waxwingnotch
