#include "waxwingnotch/decision/limits.hpp"

#include "../tests/decision/naive_limits.hpp"
#include "bench.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <map>
#include <random>

namespace bench {

namespace {

constexpr std::uint64_t seed = 20261204;

// ---- Goodput ----

constexpr std::uint32_t slots = 80;
constexpr std::int64_t mean_run_ms = 100;
constexpr std::int64_t deadline_ms = 1'000;
constexpr std::int64_t load_end_ms = 30'000;

/// Simulates one pool under a constant load, a multiple of its capacity. Every request has a deadline.
class overload_simulation {
public:
    overload_simulation(double load_factor, bool use_admission, std::int64_t estimate_ms = mean_run_ms)
        : load_factor_(load_factor),
          use_admission_(use_admission), request_{"service", "", false, estimate_ms, deadline_ms}
    {
    }

    /// @return requests that were answered by their deadline, as a share of the pool's capacity
    double run()
    {
        constexpr double capacity_per_ms = static_cast<double>(slots) / mean_run_ms;
        std::poisson_distribution<int> arrivals(load_factor_ * capacity_per_ms);
        for (now_ = 0; now_ < load_end_ms; ++now_) {
            while (!running_.empty() && running_.begin()->first <= now_) {
                in_time_ += now_ <= running_.begin()->second.arrived + deadline_ms ? 1 : 0;
                if (use_admission_) {
                    admission_.ended(request_, now_ - running_.begin()->second.started);
                }
                running_.erase(running_.begin());
            }
            for (int count = arrivals(random_); count > 0; --count) {
                arrive();
            }
            start();
        }
        return in_time_ / (capacity_per_ms * load_end_ms);
    }

private:
    struct task {
        std::int64_t arrived = 0;
        std::int64_t started = 0;
    };

    void arrive()
    {
        constexpr waxwingnotch::service_load load = {slots, 4'096};
        if (!use_admission_ ||
            admission_.admit(request_, load, std::nullopt).refusal == waxwingnotch::admission_refusal::none) {
            queue_.push_back(now_);
        }
    }

    void start()
    {
        std::exponential_distribution<double> run_time(1.0 / mean_run_ms);
        while (!queue_.empty() && running_.size() < slots) {
            const std::int64_t arrived = queue_.front();
            queue_.pop_front();
            if (use_admission_ && admission_.too_late(request_, arrived + deadline_ms - now_)) {
                admission_.left_queue(request_);
                continue;
            }
            if (use_admission_) {
                admission_.started(request_);
            }
            running_.emplace(now_ + 1 + static_cast<std::int64_t>(run_time(random_)), task{arrived, now_});
        }
    }

    double load_factor_;
    bool use_admission_;
    waxwingnotch::admission_request request_;
    waxwingnotch::admission_control admission_;
    std::deque<std::int64_t> queue_;             // arrival times
    std::multimap<std::int64_t, task> running_;  // by end
    std::mt19937_64 random_{seed};
    std::int64_t now_ = 0;
    double in_time_ = 0;
};

// ---- Quotas ----

constexpr std::size_t team_count = 650;
constexpr std::int64_t rounds = 200;
constexpr std::int64_t rounds_per_shift = 40;  // then another node gets most of a team's demand

struct quota_error {
    double unused = 0;         // share of the demand within the quotas that was not granted
    double unused_static = 0;  // the same with a static division of the quotas
    double exceeded = 0;       // largest excess over a quota, as a share of the quota
};

/// @return slots that a team wants at a node. One node has four fifths of the team's demand; every
///         rounds_per_shift rounds it is another one.
std::uint32_t demand_at(std::size_t team, std::size_t node, std::size_t nodes, std::int64_t round)
{
    const auto busiest_node = (team + static_cast<std::size_t>(round / rounds_per_shift) * 3) % nodes;
    const std::uint32_t total = 4 + static_cast<std::uint32_t>(team % 24);
    return node == busiest_node ? total * 4 / 5 : total / 5 / static_cast<std::uint32_t>(nodes);
}

quota_error measure_quota(std::size_t node_count)
{
    std::mt19937_64 random(seed);
    std::vector<waxwingnotch::team_rule> teams;
    std::vector<std::string> nodes;
    std::vector<waxwingnotch::quota_shares> quotas_by_node;
    for (std::size_t team = 0; team < team_count; ++team) {
        teams.push_back({"team-" + std::to_string(team), 4 + static_cast<std::uint32_t>(team % 13)});
    }
    for (std::size_t node = 0; node < node_count; ++node) {
        nodes.push_back("entry-" + std::to_string(node));
        quotas_by_node.emplace_back(nodes.back());
    }
    quota_error error;
    double ideal = 0;
    double granted = 0;
    double granted_static = 0;
    for (std::int64_t round = 0; round < rounds; ++round) {
        for (std::size_t from = 0; from < node_count; ++from) {
            waxwingnotch::demand_report beat = {nodes[from], round, {}};
            for (std::size_t team = 0; team < team_count; ++team) {
                beat.demand.emplace_back(teams[team].name, demand_at(team, from, node_count, round));
            }
            for (std::size_t to = 0; to < node_count; ++to) {
                if (to == from || random() % 1'000 > 0) {  // one heartbeat in a thousand does not arrive
                    quotas_by_node[to].record_heartbeat(beat);
                }
            }
        }
        for (waxwingnotch::quota_shares& quotas : quotas_by_node) {
            quotas.begin_round(round, nodes, teams);
        }
        for (std::size_t team = 0; team < team_count && round >= 4; ++team) {
            const std::uint32_t quota = teams[team].quota_slots;
            double demand = 0;
            double granted_shares = 0;
            for (std::size_t node = 0; node < node_count; ++node) {
                const std::uint32_t want = demand_at(team, node, node_count, round);
                const std::uint32_t share = quotas_by_node[node].share(teams[team].name).value_or(0);
                demand += want;
                granted_shares += share;
                granted += std::min(want, share);
                granted_static += std::min(want, waxwingnotch::naive::static_share(quota, node_count, node));
            }
            ideal += std::min<double>(demand, quota);
            error.exceeded = std::max(error.exceeded, (granted_shares - quota) / quota);
        }
    }
    error.unused = 1 - granted / ideal;
    error.unused_static = 1 - granted_static / ideal;
    return error;
}

// ---- Cost ----

/// @return mean time of admission, start and end of a request in ns; 0 if a request was refused
double admission_ns()
{
    constexpr int requests = 1'000'000;
    constexpr waxwingnotch::service_load load = {400, 512};
    std::mt19937_64 random(seed);
    std::vector<std::string> teams;
    waxwingnotch::quota_shares quotas("entry-0");
    std::vector<waxwingnotch::team_rule> rules;
    for (std::size_t team = 0; team < team_count; ++team) {
        teams.push_back("team-" + std::to_string(team));
        rules.push_back({teams.back(), 8});
    }
    quotas.begin_round(10, {"entry-0"}, rules);
    waxwingnotch::admission_control admission;
    int refused = 0;
    const auto start = std::chrono::steady_clock::now();
    for (int index = 0; index < requests; ++index) {
        const waxwingnotch::admission_request request = {"service", teams[random() % team_count], false, 100,
                                                         1'000};
        const auto verdict = admission.admit(request, load, quotas.share(request.team));
        if (verdict.refusal != waxwingnotch::admission_refusal::none) {
            ++refused;
            continue;
        }
        admission.started(request);
        admission.ended(request, 100);
    }
    const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - start;
    return refused > 0 ? 0 : took.count() / requests;
}

/// @return time in us to compute this node's shares of all teams once; 0 if the last round fell back to
///         the static division
double quota_round_us()
{
    constexpr int repeats = 50;
    std::vector<waxwingnotch::team_rule> rules;
    std::vector<std::string> nodes;
    waxwingnotch::quota_shares quotas("entry-0");
    for (std::size_t team = 0; team < team_count; ++team) {
        rules.push_back({"team-" + std::to_string(team), 8});
    }
    for (int node = 0; node < 8; ++node) {
        nodes.push_back("entry-" + std::to_string(node));
        for (const std::int64_t round : {7, 8}) {
            waxwingnotch::demand_report beat = {nodes.back(), round, {}};
            for (const waxwingnotch::team_rule& team : rules) {
                beat.demand.emplace_back(team.name, 3);
            }
            quotas.record_heartbeat(beat);
        }
    }
    const auto start = std::chrono::steady_clock::now();
    for (int repeat = 0; repeat < repeats; ++repeat) {
        quotas.begin_round(10, nodes, rules);
    }
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - start;
    return quotas.uses_static_division() ? 0 : took.count() / repeats;
}

}  // namespace

void bench_limits(figures& out)
{
    out.push_back(
        {"goodput_at_1x", overload_simulation(1, true).run(), "share", overload_simulation(1, false).run()});
    out.push_back(
        {"goodput_at_2x", overload_simulation(2, true).run(), "share", overload_simulation(2, false).run()});
    out.push_back(
        {"goodput_at_5x", overload_simulation(5, true).run(), "share", overload_simulation(5, false).run()});
    out.push_back({"goodput_at_5x_estimate_quarter", overload_simulation(5, true, mean_run_ms / 4).run(),
                   "share", overload_simulation(5, false).run()});
    out.push_back({"goodput_at_5x_estimate_unknown", overload_simulation(5, true, 0).run(), "share",
                   overload_simulation(5, false).run()});
    for (const std::size_t nodes : {3U, 8U}) {
        const quota_error error = measure_quota(nodes);
        const std::string suffix = "_" + std::to_string(nodes) + "_nodes";
        out.push_back({"quota_unused" + suffix, error.unused, "share", error.unused_static});
        out.push_back({"quota_exceeded" + suffix, error.exceeded, "share", 0});
    }
    out.push_back({"admission_ns_650_teams", admission_ns(), "ns", 0});
    out.push_back({"quota_round_us_650_teams", quota_round_us(), "us", 0});
}

}  // namespace bench
