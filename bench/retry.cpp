#include "waxwingnotch/decision/retry.hpp"

#include "../tests/decision/naive_retry.hpp"
#include "bench.hpp"

#include <algorithm>
#include <map>
#include <random>

namespace bench {

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr std::int64_t end_at = 60'000;
constexpr std::int64_t window_ms = 100;
constexpr double requests_per_ms = 5;
constexpr int teams = 20;

/// Share of sends that fail at a time.
using failure_share = double (*)(std::int64_t now);

struct load_result {
    double first = 0;         // requests
    double sends = 0;         // all sends
    double worst_window = 0;  // most sends in 100 ms per mean first attempts, from 30 s on
};

/// Sends requests to workers that answer at once and repeats what fails.
class load_run {
public:
    load_run(failure_share fails, bool budgeted) : fails_(fails), budgeted_(budgeted) {}

    load_result run()
    {
        std::poisson_distribution<int> arrivals(requests_per_ms);
        std::vector<double> per_window(end_at / window_ms, 0);
        for (now_ = 0; now_ < end_at; ++now_) {
            const double before = result_.sends;
            for (int count = arrivals(random_); count > 0; --count) {
                const std::string team = "team-" + std::to_string(random_() % teams);
                budget_.note_first_attempt("service", team, rule_.budget_ratio);
                ++result_.first;
                send(team, 1);
            }
            while (!waiting_.empty() && waiting_.begin()->first <= now_) {
                const repeat next = waiting_.begin()->second;
                waiting_.erase(waiting_.begin());
                send(next.team, next.attempt);
            }
            per_window[static_cast<std::size_t>(now_ / window_ms)] += result_.sends - before;
        }
        result_.worst_window = *std::max_element(per_window.begin() + 30'000 / window_ms, per_window.end()) /
                               (requests_per_ms * window_ms);
        return result_;
    }

private:
    struct repeat {
        std::string team;
        std::uint32_t attempt = 1;
    };

    void send(const std::string& team, std::uint32_t attempt)
    {
        ++result_.sends;
        if (!std::bernoulli_distribution(fails_(now_))(random_)) {
            return;
        }
        const std::uint64_t bits = random_();
        waxwingnotch::failed_send question;
        question.service = "service";
        question.team = team;
        question.safety = waxwingnotch::retry_safety::idempotent;
        question.attempts = attempt;
        if (!budgeted_) {
            if (waxwingnotch::naive::repeat_up_to(rule_.max_attempts, attempt)) {
                const auto pause = waxwingnotch::retry_backoff_ms(rule_.backoff_ms, attempt, bits);
                waiting_.emplace(now_ + pause, repeat{team, attempt + 1});
            }
            return;
        }
        const waxwingnotch::retry_verdict verdict = budget_.decide(question, rule_, bits);
        if (verdict.retry) {
            waiting_.emplace(now_ + verdict.backoff_ms, repeat{team, attempt + 1});
        }
    }

    failure_share fails_;
    bool budgeted_;
    waxwingnotch::retry_rule rule_;
    waxwingnotch::retry_budget budget_;
    std::multimap<std::int64_t, repeat> waiting_;
    std::mt19937_64 random_{seed};
    std::int64_t now_ = 0;
    load_result result_;
};

double half(std::int64_t)
{
    return 0.5;
}

/// Everything fails until 30 s, nothing afterwards.
double outage(std::int64_t now)
{
    return now < 30'000 ? 1 : 0;
}

}  // namespace

void bench_retry(figures& out)
{
    const load_result ours = load_run(half, true).run();
    const load_result naive = load_run(half, false).run();
    out.push_back({"retry_amplification", ours.sends / ours.first, "ratio", naive.sends / naive.first});
    const load_result after = load_run(outage, true).run();
    const load_result naive_after = load_run(outage, false).run();
    out.push_back(
        {"retry_amplification_after_outage", after.worst_window, "ratio", naive_after.worst_window});
    out.push_back({"retry_amplification_outage_mean", after.sends / after.first, "ratio",
                   naive_after.sends / naive_after.first});
}

}  // namespace bench
