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
constexpr std::int64_t short_ms = 1'000;  // work up to this true run time is short
constexpr double latency_ms = 1;          // added to both waits, so that a ratio exists when nobody waits
constexpr double burst_mean_load = 0.5;   // over a whole period of peak and calm
constexpr double burst_peak = 5;          // times the mean
constexpr double burst_calm = 0.05;       // times the mean
constexpr std::int64_t burst_period_ms = 20'800;  // with 4 s at the peak the mean load is as above
constexpr std::int64_t burst_peak_ms = 4'000;

struct job {
    double arrives_ms = 0;
    std::int64_t ran_ms = 0;       // true run time
    std::int64_t declared_ms = 0;  // 0: not declared
    std::string_view kind;
    double median_ms = 0;    // of its kind
    double deadline_ms = 0;  // 0: none
    bool urgent = false;
};

/// Kinds of work. Two of them are long with a heavy tail; the rest is short but for stragglers.
struct kind_row {
    const char* name;
    double share;
    double median_ms;
    bool heavy;
};

constexpr std::array<kind_row, 6> kinds = {{{"label", 0.40, 40, false},
                                            {"ledger", 0.25, 90, false},
                                            {"photo", 0.20, 150, false},
                                            {"certificate", 0.10, 300, false},
                                            {"plan", 0.03, 2'000, true},
                                            {"audit", 0.02, 4'000, true}}};

double run_time_of(const kind_row& kind, std::mt19937_64& random)
{
    constexpr double tail = 1.5;  // Pareto exponent: the variance is infinite
    constexpr double longest_ms = 120'000;
    constexpr double straggler_share = 0.02;
    constexpr double straggler_factor = 20;
    std::uniform_real_distribution<double> uniform(0, 1);
    if (kind.heavy) {
        return std::min(longest_ms, kind.median_ms * std::pow(1 - uniform(random), -1 / tail));
    }
    std::lognormal_distribution<double> around(std::log(kind.median_ms), 0.5);
    const double ran = around(random);
    return uniform(random) < straggler_share ? ran * straggler_factor : ran;
}

/// A tenth declares nothing, a tenth anything at all, the rest is off by a factor of 4 or more in a third
/// of the cases. A fifth of the work names no kind.
std::vector<job> make_work(std::mt19937_64& random)
{
    std::uniform_real_distribution<double> uniform(0, 1);
    std::lognormal_distribution<double> wrong(0, 1.5);
    std::vector<job> work(job_count);
    for (job& item : work) {
        double left = uniform(random);
        std::size_t index = 0;
        while (index + 1 < kinds.size() && left >= kinds[index].share) {
            left -= kinds[index++].share;
        }
        item.ran_ms = std::max<std::int64_t>(1, std::llround(run_time_of(kinds[index], random)));
        item.median_ms = kinds[index].median_ms;
        item.kind = uniform(random) < 0.2 ? "" : kinds[index].name;
        const double honesty = uniform(random);
        const double said = honesty < 0.2 ? std::pow(10, 1 + 4 * uniform(random))
                                          : static_cast<double>(item.ran_ms) * wrong(random);
        item.declared_ms = honesty < 0.1 ? 0 : std::max<std::int64_t>(1, std::llround(said));
    }
    return work;
}

/// Load of the pool at a time, as a share of its slots.
double load_at(double load, bool burst, double now_ms)
{
    if (!burst) {
        return load;
    }
    const bool peak = std::fmod(now_ms, burst_period_ms) < burst_peak_ms;
    return burst_mean_load * (peak ? burst_peak : burst_calm);
}

std::vector<job> make_arrivals(double load, bool burst)
{
    std::mt19937_64 random(seed);
    std::vector<job> work = make_work(random);
    const double mean_ms =
        std::accumulate(work.begin(), work.end(), 0.0,
                        [](double sum, const job& item) { return sum + static_cast<double>(item.ran_ms); }) /
        static_cast<double>(work.size());
    // Arrivals are thinned from the highest rate, so that the rate may change at any time.
    const double highest = burst ? burst_mean_load * burst_peak : load;
    std::exponential_distribution<double> gap(highest * pool_slots / mean_ms);
    std::uniform_real_distribution<double> uniform(0, highest);
    double now = 0;
    for (job& item : work) {
        do {
            now += gap(random);
        } while (uniform(random) >= load_at(load, burst, now));
        item.arrives_ms = now;
    }
    return work;
}

// ---- Policies: what is sent next ----

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
    virtual void done(std::size_t index, const job& item, double now) = 0;
    /// The job was refused.
    virtual void leave(std::size_t /*index*/) {}
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
    void done(std::size_t /*index*/, const job& /*item*/, double /*now*/) override {}

private:
    std::deque<std::size_t> waiting_;
};

/// Strictly shortest first by the true run times, with the same slots for long work and no aging: long
/// work pays any price for the sake of short work.
constexpr queue_rules oracle_rules{
    .aging = 1'000, .max_bypass_ms = 1'000'000'000'000, .long_share = 0.75, .max_long_share = 0.75};

/// The queue of the product, with learned run times or, as oracle, with the true ones.
class ordered_policy : public policy {
public:
    explicit ordered_policy(bool knows, bool sees_urgency = true)
        : knows_(knows), sees_urgency_(sees_urgency), rules_(knows ? oracle_rules : queue_rules{})
    {
    }

    void arrive(std::size_t index, const job& item) override
    {
        const run_time_estimate guess = table_.estimate({"service", item.kind, item.declared_ms});
        const bool is_long = knows_ ? item.ran_ms > short_ms
                                    : expected_long(rules_, guess.median_ms, guess.service_typical_ms);
        typical_ms_ = guess.service_typical_ms;
        queue_.push({index, sees_urgency_ && item.urgent, is_long, static_cast<std::int64_t>(item.arrives_ms),
                     knows_ ? item.ran_ms : guess.median_ms});
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
    void done(std::size_t index, const job& item, double now) override
    {
        long_.end(index);
        table_.record({"service", item.kind, item.declared_ms}, item.ran_ms, static_cast<std::int64_t>(now));
    }

    void leave(std::size_t index) override { long_.end(index); }

protected:
    run_time_estimate estimate(const job& item) const
    {
        return table_.estimate({"service", item.kind, item.declared_ms});
    }
    const run_time_table& table() const { return table_; }

private:
    bool knows_;
    bool sees_urgency_;
    queue_rules rules_;
    run_time_table table_;
    work_queue queue_{rules_};
    long_work_counter long_;
    std::int64_t typical_ms_ = 0;
};

/// What is done about deadlines that have not passed yet.
enum class lateness {
    ignored,    // baseline: only work whose deadline has passed is refused
    estimated,  // the product: by learned run times
    known,      // oracle: by the true run time
};

class deadline_policy : public ordered_policy {
public:
    explicit deadline_policy(lateness how) : ordered_policy(false), how_(how) {}

    bool refuses(const job& item, double now) override
    {
        if (how_ == lateness::known) {
            return now + static_cast<double>(item.ran_ms) > item.deadline_ms;
        }
        return how_ == lateness::estimated &&
               table().misses_deadline(estimate(item), static_cast<std::int64_t>(item.deadline_ms),
                                       static_cast<std::int64_t>(now));
    }

private:
    lateness how_;
};

// ---- The loop ----

struct waits {
    std::vector<double> of_short;
    std::vector<double> of_urgent;
    double mean_long = 0;
    double longest_long = 0;
    std::size_t in_time = 0;          // work that ended by its deadline
    std::size_t refused_wrongly = 0;  // work that would have ended by its deadline if it had been started
    double busy_ms = 0;               // slot time
    double wasted_ms = 0;             // slot time of work that missed its deadline
};

/// Counts a decision about work with a deadline. @return true if the work is refused
bool refused(waits& result, policy& order, const job& item, double now)
{
    if (item.deadline_ms == 0) {
        return false;
    }
    const bool makes_it = now + static_cast<double>(item.ran_ms) <= item.deadline_ms;
    if (now >= item.deadline_ms || order.refuses(item, now)) {
        result.refused_wrongly += makes_it ? 1 : 0;
        return true;
    }
    result.in_time += makes_it ? 1 : 0;
    result.wasted_ms += makes_it ? 0 : static_cast<double>(item.ran_ms);
    result.busy_ms += static_cast<double>(item.ran_ms);
    return false;
}

struct running_job {
    double ends_ms = 0;
    std::size_t index = 0;
    bool operator>(const running_job& other) const { return ends_ms > other.ends_ms; }
};

waits run(const std::vector<job>& work, policy& order)
{
    waits result;
    std::size_t long_count = 0;
    std::priority_queue<running_job, std::vector<running_job>, std::greater<>> running;
    std::size_t arrived = 0;
    while (arrived < work.size() || !running.empty()) {
        double now = 0;
        if (running.empty() || (arrived < work.size() && work[arrived].arrives_ms <= running.top().ends_ms)) {
            now = work[arrived].arrives_ms;
            order.arrive(arrived, work[arrived]);
            ++arrived;
        }
        else {
            now = running.top().ends_ms;
            order.done(running.top().index, work[running.top().index], now);
            running.pop();
        }
        while (running.size() < pool_slots) {
            const auto index = order.next(now);
            if (!index) {
                break;
            }
            const job& item = work[*index];
            if (refused(result, order, item, now)) {
                order.leave(*index);
                continue;
            }
            const double waited = now - item.arrives_ms;
            if (item.urgent) {
                result.of_urgent.push_back(waited);
            }
            running.push({now + static_cast<double>(item.ran_ms), *index});
            if (item.ran_ms <= short_ms) {
                result.of_short.push_back(waited);
                continue;
            }
            ++long_count;
            result.mean_long += (waited - result.mean_long) / static_cast<double>(long_count);
            result.longest_long = std::max(result.longest_long, waited);
        }
    }
    std::sort(result.of_short.begin(), result.of_short.end());
    std::sort(result.of_urgent.begin(), result.of_urgent.end());
    return result;
}

double quantile(const std::vector<double>& sorted, double share)
{
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))] + latency_ms;
}

void measure(figures& out, const std::string& name, double load, bool burst)
{
    const std::vector<job> work = make_arrivals(load, burst);
    fifo_policy fifo;
    ordered_policy learned(false);
    ordered_policy knowing(true);
    const waits plain = run(work, fifo);
    const waits ours = run(work, learned);
    const waits best = run(work, knowing);
    for (const auto& [label, share] : {std::pair{"p50", 0.5}, {"p99", 0.99}, {"p999", 0.999}}) {
        const double oracle = quantile(best.of_short, share);
        const std::string figure_name = std::string("short_wait_") + label + "_" + name;
        out.push_back({figure_name, quantile(ours.of_short, share) / oracle, "x_oracle",
                       quantile(plain.of_short, share) / oracle});
        out.push_back(
            {figure_name + "_ms", quantile(ours.of_short, share), "ms", quantile(plain.of_short, share)});
    }
    out.push_back({"long_wait_mean_" + name, ours.mean_long, "ms", plain.mean_long});
    out.push_back({"long_wait_max_" + name, ours.longest_long, "ms", plain.longest_long});
}

/// A tenth of the work is urgent; the baseline treats it like the rest.
void measure_urgent(figures& out, const std::string& name, double load, bool burst)
{
    std::vector<job> work = make_arrivals(load, burst);
    std::mt19937_64 random(seed);
    for (job& item : work) {
        item.urgent = random() % 10 == 0;
    }
    ordered_policy plain_order(false, false);
    ordered_policy order(false);
    const waits plain = run(work, plain_order);
    const waits ours = run(work, order);
    constexpr double p999 = 0.999;
    out.push_back(
        {"urgent_wait_p999_" + name, quantile(ours.of_urgent, p999), "ms", quantile(plain.of_urgent, p999)});
    out.push_back({"urgent_short_wait_p999_" + name, quantile(ours.of_short, p999), "ms",
                   quantile(plain.of_short, p999)});
}

/// Deadlines of 1.2 to 6 times the median of the kind after the arrival.
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
    deadline_policy ignoring(lateness::ignored);
    deadline_policy estimating(lateness::estimated);
    deadline_policy knowing(lateness::known);
    const waits plain = run(work, ignoring);
    const waits ours = run(work, estimating);
    const waits best = run(work, knowing);
    const auto share = [](std::size_t count) {
        return static_cast<double>(count) / job_count;
    };
    out.push_back({"deadline_made_" + name, share(ours.in_time), "share", share(plain.in_time)});
    out.push_back(
        {"deadline_made_" + name + "_vs_oracle", share(ours.in_time), "share", share(best.in_time)});
    out.push_back(
        {"deadline_wasted_" + name, ours.wasted_ms / ours.busy_ms, "share", plain.wasted_ms / plain.busy_ms});
    out.push_back(
        {"deadline_wrong_" + name, share(ours.refused_wrongly), "share", share(plain.refused_wrongly)});
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
