#include "waxwingnotch/decision/run_time.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace waxwingnotch {

namespace {

/// Keeps every run time of every key and sorts the newest ones for each estimate.
struct naive_run_times {
    run_time_rules rules;
    std::vector<std::pair<std::string, std::vector<std::int64_t>>> keys;  // least recently learned first

    void add(const std::string& key, std::int64_t ran_ms)
    {
        const auto found =
            std::find_if(keys.begin(), keys.end(), [&](auto& item) { return item.first == key; });
        std::pair<std::string, std::vector<std::int64_t>> item{key, {}};
        if (found != keys.end()) {
            item = *found;
            keys.erase(found);
        }
        else if (keys.size() == rules.max_entries) {
            keys.erase(keys.begin());
        }
        item.second.push_back(ran_ms);
        keys.push_back(item);
    }

    std::optional<std::int64_t> quantile(const std::string& key, std::size_t tenths) const
    {
        const auto found =
            std::find_if(keys.begin(), keys.end(), [&](auto& item) { return item.first == key; });
        if (found == keys.end() || found->second.size() < rules.min_samples) {
            return std::nullopt;
        }
        const std::size_t kept = std::min(rules.window, found->second.size());
        std::vector<std::int64_t> newest(found->second.end() - static_cast<std::ptrdiff_t>(kept),
                                         found->second.end());
        std::sort(newest.begin(), newest.end());
        return newest[newest.size() * tenths / 10];
    }
};

std::string key_of(const work_label& work, int level)
{
    std::string key(work.service);
    key += level > 0 ? "/" + std::string(work.kind) : "";
    return level > 1 ? key + "/" + std::to_string(declared_class(work.declared_ms)) : key;
}

}  // namespace

// Guards against estimates from evicted, outdated or unrelated run times, and against an unbounded table.
RC_GTEST_PROP(run_time_table, agrees_with_sorted_lists, ())
{
    const run_time_rules rules{.max_entries = 7, .window = 5, .min_samples = 3};
    run_time_table table(rules);
    naive_run_times naive{rules, {}};
    const std::vector<std::string> names = {"a", "b", "c"};
    const int steps = *rc::gen::inRange(1, 120);
    for (int step = 0; step < steps; ++step) {
        const work_label work{names[*rc::gen::inRange<std::size_t>(0, 2)],
                              names[*rc::gen::inRange<std::size_t>(0, 3)],
                              *rc::gen::element<std::int64_t>(0, 10, 1'000)};
        const std::int64_t ran = *rc::gen::inRange<std::int64_t>(1, 100'000);
        table.record(work, ran, step);
        for (int level = 2; level >= 0; --level) {
            naive.add(key_of(work, level), ran);
        }
        const run_time_estimate estimate = table.estimate(work);
        RC_ASSERT(table.size() <= rules.max_entries);
        RC_ASSERT(estimate.service_typical_ms == naive.quantile(key_of(work, 0), 5).value_or(0));
        const auto exact = naive.quantile(key_of(work, 2), 5);
        const auto kind = naive.quantile(key_of(work, 1), 5);
        RC_ASSERT((estimate.basis == estimate_basis::declared_class) == exact.has_value());
        if (exact || kind) {
            RC_ASSERT(estimate.median_ms == exact.value_or(kind.value_or(0)));
            const auto p10 = naive.quantile(key_of(work, exact ? 2 : 1), 1);
            RC_ASSERT(estimate.p10_ms == p10.value_or(0));
            const auto left = *rc::gen::inRange<std::int64_t>(1, 100'000);
            RC_ASSERT(table.misses_deadline(estimate, step + left, step) == (left < estimate.p10_ms));
        }
    }
}

// Guards against an estimate dominated by a few stragglers or by a declared run time that is always wrong.
TEST(run_time_table, ignores_stragglers_and_wrong_declarations)
{
    run_time_table table;
    for (int run = 0; run < 31; ++run) {
        table.record({"s", "k", 60'000}, run % 3 == 0 ? 400'000 : 100, run);
    }
    EXPECT_EQ(table.estimate({"s", "k", 60'000}).median_ms, 100);
    EXPECT_EQ(table.estimate({"s", "k", 1}).median_ms, 100);
}

// Guards against cancelled work that makes its kind look short, and against an estimate that refuses work
// forever because refused work adds no samples.
TEST(run_time_table, stopped_work_counts_only_when_it_is_long)
{
    run_time_table table({.min_samples = 1});
    table.record({"s", "k", 0}, 1'000, 0);
    table.record_stopped({"s", "k", 0}, 5, 1);
    EXPECT_EQ(table.estimate({"s", "k", 0}).samples, 1U);
    table.record_stopped({"s", "k", 0}, 9'000, 2);
    const run_time_estimate estimate = table.estimate({"s", "k", 0});
    EXPECT_EQ(estimate.samples, 2U);
    EXPECT_TRUE(table.misses_deadline(estimate, 60'003, 60'002));
    EXPECT_FALSE(table.misses_deadline(estimate, 60'004, 60'003));
    EXPECT_TRUE(table.misses_deadline(estimate, 60'004, 60'004));
    EXPECT_FALSE(table.misses_deadline(estimate, 0, 60'002));
}

}  // namespace waxwingnotch
