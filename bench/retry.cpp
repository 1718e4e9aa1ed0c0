#include "waxwingnotch/decision/retry.hpp"

#include "../tests/decision/naive_retry.hpp"
#include "bench.hpp"

#include <algorithm>
#include <map>
#include <random>

namespace bench {

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr std::int64_t end_ms = 60'000;
constexpr std::int64_t window_ms = 100;
constexpr double requests_per_ms = 5;
constexpr int teams = 20;

/// @return share of the sends at @p now that fail
using failure_share_function = double (*)(std::int64_t now);

struct retry_result {
    double first_attempts = 0;
    double sends = 0;  // first attempts and retries
    /// Most sends in a window of 100 ms from 30 s on, divided by the mean number of first attempts in a
    /// window.
    double worst_window = 0;
};

/// Simulates requests to workers that answer at once, and the retries of those that fail.
class retry_simulation {
public:
    retry_simulation(failure_share_function failure_share, bool use_budget)
        : failure_share_(failure_share), use_budget_(use_budget)
    {
    }

    retry_result run()
    {
        std::poisson_distribution<int> arrivals(requests_per_ms);
        std::vector<double> per_window(end_ms / window_ms, 0);
        for (now_ = 0; now_ < end_ms; ++now_) {
            const double before = result_.sends;
            for (int count = arrivals(random_); count > 0; --count) {
                const std::string team = "team-" + std::to_string(random_() % teams);
                budget_.note_first_attempt("service", team, rule_.budget_ratio);
                ++result_.first_attempts;
                send(team, 1);
            }
            while (!pending_retries_.empty() && pending_retries_.begin()->first <= now_) {
                const pending_retry next = pending_retries_.begin()->second;
                pending_retries_.erase(pending_retries_.begin());
                send(next.team, next.attempt);
            }
            per_window[static_cast<std::size_t>(now_ / window_ms)] += result_.sends - before;
        }
        result_.worst_window = *std::max_element(per_window.begin() + 30'000 / window_ms, per_window.end()) /
                               (requests_per_ms * window_ms);
        return result_;
    }

private:
    struct pending_retry {
        std::string team;
        std::uint32_t attempt = 1;
    };

    void send(const std::string& team, std::uint32_t attempt)
    {
        ++result_.sends;
        if (!std::bernoulli_distribution(failure_share_(now_))(random_)) {
            return;
        }
        const std::uint64_t bits = random_();
        waxwingnotch::failed_send input;
        input.service = "service";
        input.team = team;
        input.safety = waxwingnotch::retry_safety::idempotent;
        input.attempts = attempt;
        if (!use_budget_) {
            if (waxwingnotch::naive::repeat_up_to(rule_.max_attempts, attempt)) {
                const auto pause = waxwingnotch::retry_backoff_ms(rule_.backoff_ms, attempt, bits);
                pending_retries_.emplace(now_ + pause, pending_retry{team, attempt + 1});
            }
            return;
        }
        const waxwingnotch::retry_verdict verdict = budget_.decide(input, rule_, bits);
        if (verdict.retry) {
            pending_retries_.emplace(now_ + verdict.backoff_ms, pending_retry{team, attempt + 1});
        }
    }

    failure_share_function failure_share_;
    bool use_budget_;
    waxwingnotch::retry_rule rule_;
    waxwingnotch::retry_budget budget_;
    std::multimap<std::int64_t, pending_retry> pending_retries_;
    std::mt19937_64 random_{seed};
    std::int64_t now_ = 0;
    retry_result result_;
};

double fail_half(std::int64_t)
{
    return 0.5;
}

/// Every send fails until 30 s, none afterwards.
double fail_first_30_s(std::int64_t now)
{
    return now < 30'000 ? 1 : 0;
}

}  // namespace

void bench_retry(figures& out)
{
    const retry_result ours = retry_simulation(fail_half, true).run();
    const retry_result naive = retry_simulation(fail_half, false).run();
    out.push_back({"retry_amplification", ours.sends / ours.first_attempts, "ratio",
                   naive.sends / naive.first_attempts});
    const retry_result after = retry_simulation(fail_first_30_s, true).run();
    const retry_result naive_after = retry_simulation(fail_first_30_s, false).run();
    out.push_back(
        {"retry_amplification_after_outage", after.worst_window, "ratio", naive_after.worst_window});
    out.push_back({"retry_amplification_outage_mean", after.sends / after.first_attempts, "ratio",
                   naive_after.sends / naive_after.first_attempts});
}

}  // namespace bench
