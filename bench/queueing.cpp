#include "bench.hpp"

#include "waxwingnotch/decision/queue.hpp"
#include "waxwingnotch/decision/run_time.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <numeric>
#include <queue>
#include <random>
#include <string>

namespace bench {

namespace {

using namespace waxwingnotch;

constexpr std::uint64_t seed = 20261204;
constexpr std::uint32_t pool_slots = 80;  // 10 workers with 8 slots
constexpr std::size_t job_count = 200'000;
constexpr std::int64_t short_ms = 1'000;    // longest true run time of short work
constexpr double latency_ms = 1;            // added to both waits, so that their ratio exists if no job waits
constexpr double burst_mean_load = 0.5;     // over a whole period
constexpr double burst_peak_factor = 5;     // times the mean
constexpr double burst_calm_factor = 0.05;  // times the mean
constexpr std::int64_t burst_period_ms = 20'800;  // with a peak of 4 s the mean load is burst_mean_load
constexpr std::int64_t burst_peak_ms = 4'000;

struct job {
    double arrives_ms = 0;
    std::int64_t run_ms = 0;       // true run time
    std::int64_t declared_ms = 0;  // 0: not declared
    std::string_view kind;
    double median_ms = 0;    // of its kind
    double deadline_ms = 0;  // 0: none
    bool urgent = false;
};

/// Run times of a kind of work.
struct kind_profile {
    const char* name;
    double share;
    double median_ms;
    bool heavy_tailed;
};

/// Two kinds are long with a heavy tail. The others are short except for stragglers.
constexpr std::array<kind_profile, 6> kinds = {{{"label", 0.40, 40, false},
                                                {"ledger", 0.25, 90, false},
                                                {"photo", 0.20, 150, false},
                                                {"certificate", 0.10, 300, false},
                                                {"plan", 0.03, 2'000, true},
                                                {"audit", 0.02, 4'000, true}}};

double run_time_of(const kind_profile& kind, std::mt19937_64& random)
{
    constexpr double tail_exponent = 1.5;  // of the Pareto distribution; its variance is infinite
    constexpr double longest_ms = 120'000;
    constexpr double straggler_share = 0.02;
    constexpr double straggler_factor = 20;
    std::uniform_real_distribution<double> uniform(0, 1);
    if (kind.heavy_tailed) {
        return std::min(longest_ms, kind.median_ms * std::pow(1 - uniform(random), -1 / tail_exponent));
    }
    std::lognormal_distribution<double> around(std::log(kind.median_ms), 0.5);
    const double ran = around(random);
    return uniform(random) < straggler_share ? ran * straggler_factor : ran;
}

/// Makes jobs without arrival times. A tenth declares no run time and a tenth a random one; a third of the
/// others is off by a factor of 4 or more. A fifth of the jobs names no kind.
std::vector<job> make_work(std::mt19937_64& random)
{
    std::uniform_real_distribution<double> uniform(0, 1);
    std::lognormal_distribution<double> error(0, 1.5);
    std::vector<job> work(job_count);
    for (job& item : work) {
        double left = uniform(random);
        std::size_t index = 0;
        while (index + 1 < kinds.size() && left >= kinds[index].share) {
            left -= kinds[index++].share;
        }
        item.run_ms = std::max<std::int64_t>(1, std::llround(run_time_of(kinds[index], random)));
        item.median_ms = kinds[index].median_ms;
        item.kind = uniform(random) < 0.2 ? "" : kinds[index].name;
        const double declaration = uniform(random);
        const double declared = declaration < 0.2 ? std::pow(10, 1 + 4 * uniform(random))
                                                  : static_cast<double>(item.run_ms) * error(random);
        item.declared_ms = declaration < 0.1 ? 0 : std::max<std::int64_t>(1, std::llround(declared));
    }
    return work;
}

/// @return load of the pool at @p now_ms, as a share of its slots
double load_at(double load, bool burst, double now_ms)
{
    if (!burst) {
        return load;
    }
    const bool peak = std::fmod(now_ms, burst_period_ms) < burst_peak_ms;
    return burst_mean_load * (peak ? burst_peak_factor : burst_calm_factor);
}

std::vector<job> make_arrivals(double load, bool burst)
{
    std::mt19937_64 random(seed);
    std::vector<job> work = make_work(random);
    const double mean_ms =
        std::accumulate(work.begin(), work.end(), 0.0,
                        [](double sum, const job& item) { return sum + static_cast<double>(item.run_ms); }) /
        static_cast<double>(work.size());
    // Thinning: arrivals are drawn at the highest rate and kept with the probability of the current rate, so
    // that the rate may change at any time.
    const double highest_load = burst ? burst_mean_load * burst_peak_factor : load;
    std::exponential_distribution<double> interarrival(highest_load * pool_slots / mean_ms);
    std::uniform_real_distribution<double> uniform(0, highest_load);
    double now = 0;
    for (job& item : work) {
        do {
            now += interarrival(random);
        } while (uniform(random) >= load_at(load, burst, now));
        item.arrives_ms = now;
    }
    return work;
}

// ---- Queue policies ----

/// Decides which job starts next.
class policy {
public:
    policy() = default;
    policy(const policy&) = delete;
    policy& operator=(const policy&) = delete;
    policy(policy&&) = delete;
    policy& operator=(policy&&) = delete;
    virtual ~policy() = default;
    virtual void arrive(std::size_t index, const job& item) = 0;
    /// @return index of the job to start, or none
    virtual std::optional<std::size_t> next(double now) = 0;
    virtual void finish(std::size_t index, const job& item, double now) = 0;
    /// Called for a job that was refused.
    virtual void drop(std::size_t /*index*/) {}
    /// @return true if @p item is refused instead of being started
    virtual bool refuses(const job& /*item*/, double /*now*/) { return false; }
};

class fifo_policy : public policy {
public:
    void arrive(std::size_t index, const job& /*item*/) override { waiting_.push_back(index); }
    std::optional<std::size_t> next(double /*now*/) override
    {
        if (waiting_.empty()) {
            return std::nullopt;
        }
        const std::size_t index = waiting_.front();
        waiting_.pop_front();
        return index;
    }
    void finish(std::size_t /*index*/, const job& /*item*/, double /*now*/) override {}

private:
    std::deque<std::size_t> waiting_;
};

/// Shortest job first by the true run times, practically without aging, and with a constant share of the
/// slots for long work. Long work may wait without limit in favour of short work.
constexpr queue_rules oracle_rules{
    .aging = 1'000, .max_bypass_ms = 1'000'000'000'000, .long_share = 0.75, .max_long_share = 0.75};

/// The queue of the product. It uses learned run times or, as the oracle, the true ones.
class ordered_policy : public policy {
public:
    explicit ordered_policy(bool is_oracle, bool use_urgency = true)
        : is_oracle_(is_oracle), use_urgency_(use_urgency), rules_(is_oracle ? oracle_rules : queue_rules{})
    {
    }

    void arrive(std::size_t index, const job& item) override
    {
        const run_time_estimate expected = table_.estimate({"service", item.kind, item.declared_ms});
        const bool is_long = is_oracle_
                                 ? item.run_ms > short_ms
                                 : expected_long(rules_, expected.median_ms, expected.service_typical_ms);
        typical_ms_ = expected.service_typical_ms;
        queue_.push({index, use_urgency_ && item.urgent, is_long, static_cast<std::int64_t>(item.arrives_ms),
                     is_oracle_ ? item.run_ms : expected.median_ms});
    }
    std::optional<std::size_t> next(double now) override
    {
        const auto now_ms = static_cast<std::int64_t>(now);
        const auto chosen = queue_.next({pool_slots, long_.count(now_ms)}, now_ms);
        if (!chosen) {
            return std::nullopt;
        }
        queue_.take(chosen->id);
        long_.start(chosen->id, chosen->expected_long ? now_ms : now_ms + long_from_ms(rules_, typical_ms_));
        return chosen->id;
    }
    void finish(std::size_t index, const job& item, double now) override
    {
        long_.end(index);
        table_.record({"service", item.kind, item.declared_ms}, item.run_ms, static_cast<std::int64_t>(now));
    }

    void drop(std::size_t index) override { long_.end(index); }

protected:
    run_time_estimate estimate(const job& item) const
    {
        return table_.estimate({"service", item.kind, item.declared_ms});
    }
    const run_time_table& table() const { return table_; }

private:
    bool is_oracle_;
    bool use_urgency_;
    queue_rules rules_;
    run_time_table table_;
    work_queue queue_{rules_};
    long_work_counter long_;
    std::int64_t typical_ms_ = 0;
};

/// Which work is refused when it is about to start.
enum class deadline_check {
    none,       // baseline: only work whose deadline has passed
    estimated,  // the product: also work that will miss its deadline by the learned run times
    exact,      // oracle: also work that will miss its deadline by its true run time
};

class deadline_policy : public ordered_policy {
public:
    explicit deadline_policy(deadline_check mode) : ordered_policy(false), mode_(mode) {}

    bool refuses(const job& item, double now) override
    {
        if (mode_ == deadline_check::exact) {
            return now + static_cast<double>(item.run_ms) > item.deadline_ms;
        }
        return mode_ == deadline_check::estimated &&
               table().misses_deadline(estimate(item), static_cast<std::int64_t>(item.deadline_ms),
                                       static_cast<std::int64_t>(now));
    }

private:
    deadline_check mode_;
};

// ---- Simulation ----

struct queue_result {
    std::vector<double> short_waits;
    std::vector<double> urgent_waits;
    double long_wait_mean = 0;
    double long_wait_max = 0;
    std::size_t in_time = 0;          // work that ended by its deadline
    std::size_t wrongly_refused = 0;  // refused work that would have ended by its deadline
    double busy_ms = 0;               // slot time
    double wasted_ms = 0;             // slot time of work that missed its deadline
};

/// Decides whether a job with a deadline is refused at its start, and counts the decision.
/// @return true if the job is refused
bool refuse_late_job(queue_result& result, policy& queue, const job& item, double now)
{
    if (item.deadline_ms == 0) {
        return false;
    }
    const bool meets_deadline = now + static_cast<double>(item.run_ms) <= item.deadline_ms;
    if (now >= item.deadline_ms || queue.refuses(item, now)) {
        result.wrongly_refused += meets_deadline ? 1 : 0;
        return true;
    }
    result.in_time += meets_deadline ? 1 : 0;
    result.wasted_ms += meets_deadline ? 0 : static_cast<double>(item.run_ms);
    result.busy_ms += static_cast<double>(item.run_ms);
    return false;
}

struct running_job {
    double ends_ms = 0;
    std::size_t index = 0;
    bool operator>(const running_job& other) const { return ends_ms > other.ends_ms; }
};

queue_result run(const std::vector<job>& work, policy& queue)
{
    queue_result result;
    std::size_t long_count = 0;
    std::priority_queue<running_job, std::vector<running_job>, std::greater<>> running;
    std::size_t arrived = 0;
    while (arrived < work.size() || !running.empty()) {
        double now = 0;
        if (running.empty() || (arrived < work.size() && work[arrived].arrives_ms <= running.top().ends_ms)) {
            now = work[arrived].arrives_ms;
            queue.arrive(arrived, work[arrived]);
            ++arrived;
        }
        else {
            now = running.top().ends_ms;
            queue.finish(running.top().index, work[running.top().index], now);
            running.pop();
        }
        while (running.size() < pool_slots) {
            const auto index = queue.next(now);
            if (!index) {
                break;
            }
            const job& item = work[*index];
            if (refuse_late_job(result, queue, item, now)) {
                queue.drop(*index);
                continue;
            }
            const double waited = now - item.arrives_ms;
            if (item.urgent) {
                result.urgent_waits.push_back(waited);
            }
            running.push({now + static_cast<double>(item.run_ms), *index});
            if (item.run_ms <= short_ms) {
                result.short_waits.push_back(waited);
                continue;
            }
            ++long_count;
            result.long_wait_mean += (waited - result.long_wait_mean) / static_cast<double>(long_count);
            result.long_wait_max = std::max(result.long_wait_max, waited);
        }
    }
    std::sort(result.short_waits.begin(), result.short_waits.end());
    std::sort(result.urgent_waits.begin(), result.urgent_waits.end());
    return result;
}

double quantile(const std::vector<double>& sorted, double share)
{
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))] + latency_ms;
}

void measure(figures& out, const std::string& name, double load, bool burst)
{
    const std::vector<job> work = make_arrivals(load, burst);
    fifo_policy fifo_queue;
    ordered_policy learned_queue(false);
    ordered_policy oracle_queue(true);
    const queue_result baseline = run(work, fifo_queue);
    const queue_result ours = run(work, learned_queue);
    const queue_result oracle = run(work, oracle_queue);
    for (const auto& [label, share] : {std::pair{"p50", 0.5}, {"p99", 0.99}, {"p999", 0.999}}) {
        const double oracle_wait = quantile(oracle.short_waits, share);
        const std::string figure_name = std::string("short_wait_") + label + "_" + name;
        out.push_back({figure_name, quantile(ours.short_waits, share) / oracle_wait, "x_oracle",
                       quantile(baseline.short_waits, share) / oracle_wait});
        out.push_back({figure_name + "_ms", quantile(ours.short_waits, share), "ms",
                       quantile(baseline.short_waits, share)});
    }
    out.push_back({"long_wait_mean_" + name, ours.long_wait_mean, "ms", baseline.long_wait_mean});
    out.push_back({"long_wait_max_" + name, ours.long_wait_max, "ms", baseline.long_wait_max});
}

/// Measures with a tenth of the work urgent. The baseline ignores urgency.
void measure_urgent(figures& out, const std::string& name, double load, bool burst)
{
    std::vector<job> work = make_arrivals(load, burst);
    std::mt19937_64 random(seed);
    for (job& item : work) {
        item.urgent = random() % 10 == 0;
    }
    ordered_policy baseline_queue(false, false);
    ordered_policy queue(false);
    const queue_result baseline = run(work, baseline_queue);
    const queue_result ours = run(work, queue);
    constexpr double p999 = 0.999;
    out.push_back({"urgent_wait_p999_" + name, quantile(ours.urgent_waits, p999), "ms",
                   quantile(baseline.urgent_waits, p999)});
    out.push_back({"urgent_short_wait_p999_" + name, quantile(ours.short_waits, p999), "ms",
                   quantile(baseline.short_waits, p999)});
}

/// Sets the deadline of each job to 1.2 to 6 times the median run time of its kind after its arrival.
void set_deadlines(std::vector<job>& work)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> slack(1.2, 6);
    for (job& item : work) {
        item.deadline_ms = item.arrives_ms + item.median_ms * slack(random);
    }
}

void measure_deadlines(figures& out, const std::string& name, double load, bool burst)
{
    std::vector<job> work = make_arrivals(load, burst);
    set_deadlines(work);
    deadline_policy baseline_queue(deadline_check::none);
    deadline_policy estimated_queue(deadline_check::estimated);
    deadline_policy oracle_queue(deadline_check::exact);
    const queue_result baseline = run(work, baseline_queue);
    const queue_result ours = run(work, estimated_queue);
    const queue_result oracle = run(work, oracle_queue);
    const auto share = [](std::size_t count) {
        return static_cast<double>(count) / job_count;
    };
    out.push_back({"deadline_made_" + name, share(ours.in_time), "share", share(baseline.in_time)});
    out.push_back(
        {"deadline_made_" + name + "_vs_oracle", share(ours.in_time), "share", share(oracle.in_time)});
    out.push_back({"deadline_wasted_" + name, ours.wasted_ms / ours.busy_ms, "share",
                   baseline.wasted_ms / baseline.busy_ms});
    out.push_back(
        {"deadline_wrong_" + name, share(ours.wrongly_refused), "share", share(baseline.wrongly_refused)});
}

}  // namespace

void bench_queueing(figures& out)
{
    measure(out, "050", 0.5, false);
    measure(out, "080", 0.8, false);
    measure(out, "095", 0.95, false);
    measure(out, "burst", 0, true);
    measure_urgent(out, "095", 0.95, false);
    measure_urgent(out, "burst", 0, true);
    measure_deadlines(out, "095", 0.95, false);
    measure_deadlines(out, "120", 1.2, false);
    measure_deadlines(out, "burst", 0, true);
}

}  // namespace bench
