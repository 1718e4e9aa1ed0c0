/// @file
/// Naive versions of the worker health check: a full recomputation (test oracle), and a detector that
/// counts consecutive failures without a comparison (baseline of the benchmark).
#pragma once

#include "waxwingnotch/decision/worker_health.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

namespace waxwingnotch::naive {

struct past_result {
    std::string host;
    std::string service;
    std::int64_t at = 0;
    bool failed = false;
};

/// Keeps the whole history and recomputes from it whether the last result ejects its worker.
class health_history {
public:
    bool ejects(const past_result& last)
    {
        history_.push_back(last);
        std::vector<past_result> run;
        double score = 0;
        for (const past_result& one : history_) {
            if (one.host == last.host && one.service == last.service) {
                score += one.failed ? std::log(0.9 / 0.05) : std::log(0.1 / 0.95);
                run.push_back(one);
                if (score <= 0 || (one.failed && score >= 8 && peers_share(run, one) > 0.5)) {
                    score = 0;
                    run.clear();
                }
            }
        }
        return last.failed && score >= 17 && evidence(run, peers_share(run, last)) >= 17;
    }

private:
    /// @return median failure share of the peers from the first result of @p run up to @p last; -1 with fewer
    /// than two peers
    double peers_share(const std::vector<past_result>& run, const past_result& last) const
    {
        std::map<std::string, std::vector<bool>> peers;
        for (const past_result& one : history_) {
            if (one.service == last.service && one.host != last.host && one.at >= run.front().at &&
                one.at <= last.at) {
                peers[one.host].push_back(one.failed);
            }
        }
        std::vector<double> shares;
        for (const auto& [host, results] : peers) {
            const auto failures = static_cast<double>(std::count(results.begin(), results.end(), true));
            shares.push_back((failures + 0.05) / (static_cast<double>(results.size()) + 1));
        }
        std::sort(shares.begin(), shares.end());
        return shares.size() < 2 ? -1 : std::max(0.05, shares[shares.size() / 2]);
    }

    static double evidence(const std::vector<past_result>& run, double share)
    {
        double sum = 0;
        for (const past_result& one : run) {
            sum += one.failed ? std::log(0.9 / share) : std::log(0.1 / (1 - share));
        }
        return share < 0 ? 0 : sum;
    }

    std::vector<past_result> history_;
};

/// Ejects a worker for a fixed time after five consecutive failures; it gets full work afterwards.
class failures_in_a_row {
public:
    /// @return true if the result ejects the worker
    bool observe(const std::string& host, bool failed, std::int64_t now_ms)
    {
        int& count = counts_[host];
        count = failed ? count + 1 : 0;
        if (count < 5) {
            return false;
        }
        count = 0;
        out_until_[host] = now_ms + 2'000;
        return true;
    }
    bool is_ejected(const std::string& host, std::int64_t now_ms) { return out_until_[host] > now_ms; }

private:
    std::map<std::string, int> counts_;
    std::map<std::string, std::int64_t> out_until_;
};

}  // namespace waxwingnotch::naive
