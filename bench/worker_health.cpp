#include "waxwingnotch/decision/worker_health.hpp"

#include "../tests/decision/naive_worker_health.hpp"
#include "bench.hpp"

#include "waxwingnotch/decision/routing.hpp"

#include <functional>
#include <map>
#include <random>

namespace bench {

namespace {

using waxwingnotch::health_action;
using waxwingnotch::work_result;

constexpr std::uint64_t seed = 20261204;
constexpr std::uint32_t slots = 8;
constexpr std::uint32_t may_be_out = 3;
constexpr std::int64_t fault_at = 10'000;
constexpr std::int64_t recovered_at = 30'000;
constexpr std::int64_t end_at = 80'000;

/// How a detector is asked and told.
struct detector {
    std::function<std::uint32_t(const std::string& host, std::int64_t now)> work_limit;
    std::function<bool(const std::string& host, bool failed, std::int64_t sent, std::int64_t now)> observe;
};

detector make_judge(waxwingnotch::worker_health& health)
{
    return {[&](const std::string& host, std::int64_t now) { return health.work_limit(host, slots, now); },
            [&](const std::string& host, bool failed, std::int64_t sent, std::int64_t now) {
                const work_result result = failed ? work_result::failed : work_result::succeeded;
                return health.observe({host, "pool", "service", result, now, sent, {}, may_be_out}).action ==
                       health_action::eject;
            }};
}

detector make_baseline(waxwingnotch::naive::failures_in_a_row& rows)
{
    return {[&](const std::string& host, std::int64_t now) { return rows.out(host, now) ? 0 : slots; },
            [&](const std::string& host, bool failed, std::int64_t, std::int64_t now) {
                return rows.observe(host, failed, now);
            }};
}

std::vector<std::string> host_names(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t index = 0; index < count; ++index) {
        names.push_back("host-" + std::to_string(index));
    }
    return names;
}

struct outage_result {
    double lost = 0;            // failed by the bad worker
    double lost_until_out = 0;  // of those, before its first ejection
    double sent = 0;            // while it was bad
    double back_after_ms = 0;   // from recovery to full work
};

/// Ten workers at 60 % load; the first ones fail everything after 2 ms, the others take 100 ms.
class pool_run {
public:
    explicit pool_run(detector judge, std::size_t bad_workers = 1)
        : judge_(std::move(judge)), bad_workers_(bad_workers), names_(host_names(10)), busy_(10)
    {
    }

    outage_result run()
    {
        std::poisson_distribution<int> arrivals(0.48);
        for (now_ = 0; now_ < end_at; ++now_) {
            complete();
            for (int count = arrivals(random_); count > 0; --count) {
                send();
            }
            if (now_ >= recovered_at && result_.back_after_ms == 0 &&
                judge_.work_limit(names_[0], now_) == slots) {
                result_.back_after_ms = static_cast<double>(now_ - recovered_at);
            }
        }
        return result_;
    }

private:
    struct task {
        std::size_t host = 0;
        std::int64_t sent = 0;
        bool failed = false;
    };

    bool bad() const { return now_ >= fault_at && now_ < recovered_at; }

    void complete()
    {
        while (!tasks_.empty() && tasks_.begin()->first <= now_) {
            const task done = tasks_.begin()->second;
            tasks_.erase(tasks_.begin());
            --busy_[done.host];
            const bool lost = done.host < bad_workers_ && done.sent >= fault_at && done.sent < recovered_at;
            result_.lost += lost ? 1 : 0;
            result_.lost_until_out += lost && !out_ ? 1 : 0;
            const bool ejected = judge_.observe(names_[done.host], done.failed, done.sent, now_);
            out_ = out_ || (ejected && lost);
        }
    }

    void send()
    {
        std::vector<waxwingnotch::route_candidate> candidates;
        for (std::size_t host = 0; host < names_.size(); ++host) {
            const std::uint32_t limit = judge_.work_limit(names_[host], now_);
            if (busy_[host] < limit) {
                candidates.push_back({names_[host], slots, busy_[host], 0, slots});
            }
        }
        const auto choice = waxwingnotch::choose_upstream(candidates, random_());
        if (!choice) {
            return;
        }
        const std::string name(candidates[choice->index].host);
        const auto host = static_cast<std::size_t>(std::stoul(name.substr(5)));
        const bool poisoned = host < bad_workers_ && bad();
        std::exponential_distribution<double> run_time(0.01);
        const std::int64_t took = poisoned ? 2 : 1 + static_cast<std::int64_t>(run_time(random_));
        const bool failed = poisoned || random_() % 100 < 5;
        result_.sent += bad() ? 1 : 0;
        ++busy_[host];
        tasks_.emplace(now_ + took, task{host, now_, failed});
    }

    detector judge_;
    std::size_t bad_workers_;
    std::vector<std::string> names_;
    std::vector<std::uint32_t> busy_;
    std::multimap<std::int64_t, task> tasks_;
    std::mt19937_64 random_{seed};
    std::int64_t now_ = 0;
    bool out_ = false;
    outage_result result_;
};

/// Ejections among 50 healthy workers over @p results results with the given share of failures.
double false_ejections(const detector& judge, int results, double failure_share)
{
    const std::vector<std::string> names = host_names(50);
    std::mt19937_64 random(seed);
    std::bernoulli_distribution fails(failure_share);
    double ejections = 0;
    for (int index = 0; index < results; ++index) {
        const std::int64_t now = index / 4;
        ejections += judge.observe(names[random() % names.size()], fails(random), now, now) ? 1 : 0;
    }
    return ejections;
}

double measure_false(int results, double failure_share, bool baseline)
{
    waxwingnotch::worker_health health;
    waxwingnotch::naive::failures_in_a_row rows;
    return false_ejections(baseline ? make_baseline(rows) : make_judge(health), results, failure_share);
}

}  // namespace

void bench_worker_health(figures& out)
{
    waxwingnotch::worker_health health;
    waxwingnotch::naive::failures_in_a_row rows;
    const outage_result ours = pool_run(make_judge(health)).run();
    const outage_result naive = pool_run(make_baseline(rows)).run();
    const outage_result none = pool_run({[](const std::string&, std::int64_t) { return slots; },
                                         [](const std::string&, bool, std::int64_t, std::int64_t) {
                                             return false;
                                         }})
                                   .run();
    out.push_back({"health_lost_until_out", ours.lost_until_out, "requests", naive.lost_until_out});
    out.push_back({"health_lost_share", ours.lost / ours.sent, "share", naive.lost / naive.sent});
    waxwingnotch::worker_health three_health;
    waxwingnotch::naive::failures_in_a_row three_rows;
    const outage_result three = pool_run(make_judge(three_health), 3).run();
    const outage_result three_naive = pool_run(make_baseline(three_rows), 3).run();
    out.push_back(
        {"health_lost_share_3_bad", three.lost / three.sent, "share", three_naive.lost / three_naive.sent});
    out.push_back({"health_lost_share_undetected", none.lost / none.sent, "share", 0});
    out.push_back({"health_back_after_ms", ours.back_after_ms, "ms", naive.back_after_ms});
    constexpr int results = 10'000'000;
    out.push_back({"health_false_ejections_5pct", measure_false(results, 0.05, false), "in-10M",
                   measure_false(results, 0.05, true)});
    out.push_back({"health_false_ejections_service", measure_false(results / 10, 1, false), "in-1M",
                   measure_false(results / 10, 1, true)});
}

}  // namespace bench
