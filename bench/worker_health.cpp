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
constexpr std::uint32_t max_ejected = 3;
constexpr std::int64_t fault_start_ms = 10'000;
constexpr std::int64_t fault_end_ms = 30'000;
constexpr std::int64_t end_ms = 80'000;

/// A failure detector under test.
struct detector {
    /// @return requests that the host may have in flight
    std::function<std::uint32_t(const std::string& host, std::int64_t now)> work_limit;
    /// Takes the result of a request. @return true if the host is ejected now
    std::function<bool(const std::string& host, bool failed, std::int64_t sent, std::int64_t now)> observe;
};

detector make_detector(waxwingnotch::worker_health& health)
{
    return {[&](const std::string& host, std::int64_t now) { return health.work_limit(host, slots, now); },
            [&](const std::string& host, bool failed, std::int64_t sent, std::int64_t now) {
                const work_result result = failed ? work_result::failed : work_result::succeeded;
                return health.observe({host, "pool", "service", result, now, sent, {}, max_ejected}).action ==
                       health_action::eject;
            }};
}

detector make_baseline(waxwingnotch::naive::failures_in_a_row& baseline)
{
    return {
        [&](const std::string& host, std::int64_t now) { return baseline.is_ejected(host, now) ? 0 : slots; },
        [&](const std::string& host, bool failed, std::int64_t, std::int64_t now) {
            return baseline.observe(host, failed, now);
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
    double lost = 0;                // requests that the faulty workers failed
    double lost_until_ejected = 0;  // of those, up to the first ejection
    double sent = 0;                // requests sent during the fault
    double back_after_ms = 0;       // from the end of the fault until the first worker gets full work
};

/// Simulates ten workers at 60 % load with a mean run time of 100 ms. During the fault the first
/// `faulty_workers` fail every request after 2 ms.
class pool_simulation {
public:
    explicit pool_simulation(detector tested, std::size_t faulty_workers = 1)
        : detector_(std::move(tested)), faulty_workers_(faulty_workers), names_(host_names(10)), busy_(10)
    {
    }

    outage_result run()
    {
        std::poisson_distribution<int> arrivals(0.48);
        for (now_ = 0; now_ < end_ms; ++now_) {
            complete();
            for (int count = arrivals(random_); count > 0; --count) {
                send();
            }
            if (now_ >= fault_end_ms && result_.back_after_ms == 0 &&
                detector_.work_limit(names_[0], now_) == slots) {
                result_.back_after_ms = static_cast<double>(now_ - fault_end_ms);
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

    bool fault_active() const { return now_ >= fault_start_ms && now_ < fault_end_ms; }

    void complete()
    {
        while (!tasks_.empty() && tasks_.begin()->first <= now_) {
            const task done = tasks_.begin()->second;
            tasks_.erase(tasks_.begin());
            --busy_[done.host];
            const bool lost =
                done.host < faulty_workers_ && done.sent >= fault_start_ms && done.sent < fault_end_ms;
            result_.lost += lost ? 1 : 0;
            result_.lost_until_ejected += lost && !faulty_worker_ejected_ ? 1 : 0;
            const bool ejected = detector_.observe(names_[done.host], done.failed, done.sent, now_);
            faulty_worker_ejected_ = faulty_worker_ejected_ || (ejected && lost);
        }
    }

    void send()
    {
        std::vector<waxwingnotch::route_candidate> candidates;
        for (std::size_t host = 0; host < names_.size(); ++host) {
            const std::uint32_t limit = detector_.work_limit(names_[host], now_);
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
        const bool faulty = host < faulty_workers_ && fault_active();
        std::exponential_distribution<double> run_time(0.01);
        const std::int64_t took = faulty ? 2 : 1 + static_cast<std::int64_t>(run_time(random_));
        const bool failed = faulty || random_() % 100 < 5;
        result_.sent += fault_active() ? 1 : 0;
        ++busy_[host];
        tasks_.emplace(now_ + took, task{host, now_, failed});
    }

    detector detector_;
    std::size_t faulty_workers_;
    std::vector<std::string> names_;
    std::vector<std::uint32_t> busy_;
    std::multimap<std::int64_t, task> tasks_;
    std::mt19937_64 random_{seed};
    std::int64_t now_ = 0;
    bool faulty_worker_ejected_ = false;
    outage_result result_;
};

/// @return ejections among 50 healthy workers over @p results results with the given share of failures
double false_ejections(const detector& tested, int results, double failure_share)
{
    const std::vector<std::string> names = host_names(50);
    std::mt19937_64 random(seed);
    std::bernoulli_distribution fails(failure_share);
    double ejections = 0;
    for (int index = 0; index < results; ++index) {
        const std::int64_t now = index / 4;
        ejections += tested.observe(names[random() % names.size()], fails(random), now, now) ? 1 : 0;
    }
    return ejections;
}

double measure_false(int results, double failure_share, bool use_baseline)
{
    waxwingnotch::worker_health health;
    waxwingnotch::naive::failures_in_a_row baseline;
    return false_ejections(use_baseline ? make_baseline(baseline) : make_detector(health), results,
                           failure_share);
}

}  // namespace

void bench_worker_health(figures& out)
{
    waxwingnotch::worker_health health;
    waxwingnotch::naive::failures_in_a_row baseline;
    const outage_result ours = pool_simulation(make_detector(health)).run();
    const outage_result naive = pool_simulation(make_baseline(baseline)).run();
    const outage_result none = pool_simulation({[](const std::string&, std::int64_t) { return slots; },
                                                [](const std::string&, bool, std::int64_t, std::int64_t) {
                                                    return false;
                                                }})
                                   .run();
    out.push_back({"health_lost_until_out", ours.lost_until_ejected, "requests", naive.lost_until_ejected});
    out.push_back({"health_lost_share", ours.lost / ours.sent, "share", naive.lost / naive.sent});
    waxwingnotch::worker_health three_health;
    waxwingnotch::naive::failures_in_a_row three_baseline;
    const outage_result three = pool_simulation(make_detector(three_health), 3).run();
    const outage_result three_naive = pool_simulation(make_baseline(three_baseline), 3).run();
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
