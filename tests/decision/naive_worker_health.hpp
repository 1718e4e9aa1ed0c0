/// @file
/// Naive versions of the worker health judge: a full recomputation (oracle) and a detector that
/// counts failures in a row without a comparison (baseline of the bench).
#pragma once

#include "waxwingnotch/decision/worker_health.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

namespace waxwingnotch::naive {

struct seen {
    std::string host;
    std::string service;
    std::int64_t at = 0;
    bool failed = false;
};

/// Keeps the whole history and tells from it whether the last result condemns its worker.
class health_history {
public:
    bool condemned_by(const seen& last)
    {
        all_.push_back(last);
        std::vector<seen> run;
        double score = 0;
        for (const seen& one : all_) {
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
    /// Median failure share of the peers during the run, up to the result @p last; -1 with under two peers.
    double peers_share(const std::vector<seen>& run, const seen& last) const
    {
        std::map<std::string, std::vector<bool>> peers;
        for (const seen& one : all_) {
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

    static double evidence(const std::vector<seen>& run, double share)
    {
        double sum = 0;
        for (const seen& one : run) {
            sum += one.failed ? std::log(0.9 / share) : std::log(0.1 / (1 - share));
        }
        return share < 0 ? 0 : sum;
    }

    std::vector<seen> all_;
};

/// Ejects for a fixed time after five failures in a row; full work afterwards.
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
    bool out(const std::string& host, std::int64_t now_ms) { return out_until_[host] > now_ms; }

private:
    std::map<std::string, int> counts_;
    std::map<std::string, std::int64_t> out_until_;
};

}  // namespace waxwingnotch::naive
