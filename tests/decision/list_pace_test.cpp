/// Lists of hosts on links that are narrow for them, and on links that are not.
#include "waxwingnotch/decision/list_pace.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace waxwingnotch {
namespace {

constexpr std::int64_t tick_ms = 250;     // between checks for a list, as in host_manager
constexpr std::int64_t host_bytes = 157;  // of a list: 24.3 KB for 155 hosts
constexpr std::int64_t minute_ms = 60'000;
constexpr std::int64_t narrow_bytes_per_ms = 250;  // 2 Mbit/s
constexpr std::int64_t today_bytes = 155 * host_bytes;
constexpr std::int64_t two_year_bytes = 2'100 * host_bytes;

/// Requests lists whenever they are admitted, each answered after @p answer_ms.
/// @return how many were requested in @p duration_ms
std::int64_t count_lists(list_pace& pace, list_need need, std::int64_t hosts, std::int64_t answer_ms,
                         std::int64_t duration_ms, std::int64_t from_ms = 0)
{
    std::int64_t lists = 0;
    for (std::int64_t now = from_ms; now < from_ms + duration_ms; now += tick_ms) {
        if (pace.admits(need, now)) {
            const std::int64_t expected = pace.begin(now);
            pace.end(expected, hosts * host_bytes, true, now + answer_ms);
            ++lists;
        }
    }
    return lists;
}

/// The same rule from the whole history: what was spent is earned again at a fixed rate.
struct naive_pace {
    struct expense {
        std::int64_t at_ms;
        double bytes;
    };
    double rate = 0;
    double list_bytes = 0;
    std::vector<expense> expenses;

    double owed(std::int64_t now_ms) const
    {
        double sum = 0;
        std::int64_t last_ms = 0;
        for (const expense& item : expenses) {
            sum = std::max(0.0, sum - rate * static_cast<double>(item.at_ms - last_ms));
            sum = std::max(0.0, sum + item.bytes);
            last_ms = item.at_ms;
        }
        return std::max(0.0, sum - rate * static_cast<double>(now_ms - last_ms));
    }
    bool admits(list_need need, std::int64_t now_ms) const
    {
        const double most = std::max(rate * 4'000, 2 * list_bytes);
        return need == list_need::refresh ? owed(now_ms) <= 0 : owed(now_ms) + list_bytes <= most;
    }
};

}  // namespace

// Four lists a second of 155 hosts took 39 % of a link of 2 Mbit/s.
TEST(list_pace, lists_take_a_tenth_of_a_narrow_link)
{
    list_pace pace(2'000);
    const std::int64_t lists = count_lists(pace, list_need::refresh, 155, 100, minute_ms);
    const std::int64_t link_bytes = narrow_bytes_per_ms * minute_ms;
    EXPECT_LE(lists * today_bytes, link_bytes / 10 + 2 * today_bytes);
    EXPECT_GE(lists, 55);  // one a second
}

TEST(list_pace, lists_of_the_two_year_size_take_no_more)
{
    list_pace pace(2'000);
    const std::int64_t lists = count_lists(pace, list_need::refresh, 2'100, 1'300, 10 * minute_ms);
    const std::int64_t link_bytes = 10 * narrow_bytes_per_ms * minute_ms;
    EXPECT_LE(lists * two_year_bytes, link_bytes / 10 + 2 * two_year_bytes);
    EXPECT_GE(lists, 44);  // one each 13.25 s
}

// Guards against another rhythm of the moves on links that have room for all lists.
TEST(list_pace, wide_links_keep_the_interval)
{
    struct wide_link {
        std::int64_t link_kbps;
        std::int64_t hosts;
    };
    for (const wide_link& link : {wide_link{10'000, 155}, wide_link{200'000, 2'100}, wide_link{0, 2'100}}) {
        list_pace pace(link.link_kbps);
        constexpr std::int64_t warm_up_ms = 1'000;  // the first list shows what one costs
        (void)count_lists(pace, list_need::refresh, link.hosts, 200, warm_up_ms);
        EXPECT_EQ(count_lists(pace, list_need::refresh, link.hosts, 200, minute_ms, warm_up_ms),
                  minute_ms / tick_ms)
            << link.link_kbps;
    }
}

// Guards against a move that waits for the next regular list, 13 s at the two-year size on 2 Mbit/s.
TEST(list_pace, a_list_for_an_order_does_not_wait_for_the_regular_one)
{
    list_pace pace(2'000);
    (void)count_lists(pace, list_need::refresh, 2'100, 1'300, minute_ms);
    const std::int64_t now = minute_ms;
    ASSERT_FALSE(pace.admits(list_need::refresh, now));
    EXPECT_TRUE(pace.admits(list_need::order, now));
}

// Guards against orders that go on for minutes, a wave of all hosts, and take the link with their lists.
TEST(list_pace, lists_for_orders_take_no_more_than_the_share_in_the_long_run)
{
    list_pace pace(2'000);
    const std::int64_t lists = count_lists(pace, list_need::order, 155, 100, minute_ms);
    const std::int64_t share = narrow_bytes_per_ms * minute_ms / 10;
    const std::int64_t saved = narrow_bytes_per_ms * list_pace::saved_ms / 10;
    EXPECT_LE(lists * today_bytes, share + saved + today_bytes);
}

// Guards against a host service whose answers come too late: each repeat brings the same bytes again.
TEST(list_pace, a_list_that_failed_has_cost_what_a_whole_one_costs)
{
    list_pace pace(2'000);
    (void)count_lists(pace, list_need::refresh, 155, 100, minute_ms);
    const std::int64_t later = 2 * minute_ms;
    pace.end(pace.begin(later), 0, false, later + 100);
    EXPECT_FALSE(pace.admits(list_need::refresh, later + tick_ms));
    EXPECT_TRUE(pace.admits(list_need::refresh, later + 1'000));
}

RC_GTEST_PROP(list_pace, agrees_with_the_naive_rule, ())
{
    const std::int64_t link_kbps = *rc::gen::inRange<std::int64_t>(1, 1'000'000);
    list_pace pace(link_kbps);
    naive_pace naive{.rate = static_cast<double>(link_kbps) / 8 / 10};
    std::int64_t now = 0;
    for (int i = 0; i < 60; ++i) {
        now += *rc::gen::inRange<std::int64_t>(0, 3'000);
        const list_need need = *rc::gen::element(list_need::refresh, list_need::order);
        RC_ASSERT(pace.admits(need, now) == naive.admits(need, now));
        if (!pace.admits(need, now)) {
            continue;
        }
        const std::int64_t expected = pace.begin(now);
        naive.expenses.push_back({now, naive.list_bytes});
        now += *rc::gen::inRange<std::int64_t>(0, 1'500);
        const std::int64_t bytes = *rc::gen::inRange<std::int64_t>(0, 400'000);
        const bool whole = *rc::gen::inRange(0, 4) != 0;
        pace.end(expected, bytes, whole, now);
        if (whole || bytes > expected) {
            naive.expenses.push_back({now, static_cast<double>(bytes - expected)});
        }
        naive.list_bytes = whole ? static_cast<double>(bytes) : naive.list_bytes;
    }
}

}  // namespace waxwingnotch
