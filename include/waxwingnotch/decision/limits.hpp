/// @file
/// Admission control: bounded queues, deadlines, team quotas and the share of the slots for urgent work.
/// Pure: it takes counts and heartbeat data and returns verdicts; time and rounds are arguments.
///
///     quota_shares quotas("entry-1");           // divides each team's quota among the live nodes
///     admission_control limits;                 // decides on each request
///     quotas.begin_round(round, live_nodes, rules.teams);
///     admission_verdict verdict = limits.admit(request, load, quotas.share(request.team));
#pragma once

#include "waxwingnotch/config/model.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace waxwingnotch {

/// Hash for lookups by `std::string_view` without a copy.
struct name_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view name) const { return std::hash<std::string_view>{}(name); }
};

template <class Value>
using name_table = std::unordered_map<std::string, Value, name_hash, std::equal_to<>>;

// ---- Quotas ----

/// Divides @p quota slots among nodes by max-min fairness: no node gets more than its demand while another
/// node's demand is not met. Slots beyond the total demand are spread evenly.
/// @param first node that gets the first of the remaining slots
/// @return a share per node; the sum is always @p quota
std::vector<std::uint32_t> divide_quota(std::uint32_t quota, std::span<const std::uint32_t> demand,
                                        std::size_t first = 0);

/// Demand of a node in one round; part of its heartbeat. Teams without demand are omitted.
struct demand_report {
    std::string node;
    std::int64_t round = 0;                                     // wall-clock ms / quota_shares::round_ms
    std::vector<std::pair<std::string, std::uint32_t>> demand;  // team and slots
};

/// This node's share of every team's quota.
///
/// In round r each node divides the quota by the heartbeats of rounds r-2 and r-3 and uses the smaller
/// share. Nodes whose clocks differ by less than a round and that have all heartbeats therefore never
/// exceed a quota together. A node that lacks a heartbeat, or counts other members, falls back to the
/// static division: with m such nodes of n, a quota Q is exceeded by at most m * ceil(Q / n).
class quota_shares {
public:
    static constexpr std::int64_t round_ms = 500;  // heartbeat interval
    static constexpr std::int64_t lag_rounds = 2;  // rounds until a heartbeat is used
    static constexpr std::size_t kept_rounds = 5;
    static constexpr std::size_t max_nodes = 64;  // heartbeats of further nodes are dropped

    explicit quota_shares(std::string self) : self_(std::move(self)) {}

    /// Records a heartbeat; this node's own must be passed too.
    void record_heartbeat(const demand_report& report);
    /// Computes the shares of round @p round.
    /// @param nodes live entry nodes, this one included, in any order
    void begin_round(std::int64_t round, std::vector<std::string> nodes, std::span<const team_rule> teams);
    /// @return slots that @p team may use at this node; nullopt if the rules set no quota for it
    std::optional<std::uint32_t> share(std::string_view team) const;
    /// @return true if the last round used the static division
    bool uses_static_division() const { return uses_static_division_; }

private:
    using team_demand = name_table<std::uint32_t>;
    struct round_reports {
        std::int64_t round = -1;
        std::map<std::string, team_demand, std::less<>> by_node;
    };

    const round_reports* complete_round(std::int64_t round, std::span<const std::string> nodes) const;

    std::string self_;
    std::array<round_reports, kept_rounds> rounds_;
    name_table<std::uint32_t> shares_;
    bool uses_static_division_ = true;
};

// ---- Admission ----

/// The properties of a request that admission uses.
struct admission_request {
    std::string_view service;
    std::string_view team;
    bool urgent = false;
    std::int64_t run_estimate_ms = 0;   // 0: unknown; must not change between calls for a request
    std::int64_t deadline_left_ms = 0;  // 0: none
    // Run time that the deadline must leave; nullopt: the estimate.
    std::optional<std::int64_t> min_run_ms = {};
};

/// Limits of the service at this node.
struct service_load {
    std::uint32_t slots = 0;        // this node's share of the pool's slots
    std::uint32_t queue_limit = 0;  // waiting requests
};

/// Why a request is not admitted.
enum class admission_refusal {
    none,
    queue_full,  // 429
    team_quota,  // 429
    deadline,    // 503: it could not finish in time
};

const char* to_string(admission_refusal refusal);

/// The decision with its inputs.
struct admission_verdict {
    admission_refusal refusal = admission_refusal::none;
    std::uint32_t waiting = 0;  // in the service's queue
    std::uint32_t queue_limit = 0;
    std::uint32_t team_held = 0;   // the team's waiting and running requests at this node
    std::uint32_t team_share = 0;  // 0 without a quota
    std::int64_t expected_wait_ms = 0;
    std::int64_t longest_wait_ms = 0;  // longest wait that the deadline allows; 0 without one
    std::string text() const;          // for the response to the caller
};

/// Counts the waiting and running requests of this node, admits requests, and chooses between urgent and
/// normal work.
class admission_control {
public:
    static constexpr double urgent_share = 0.5;          // of the slots, while normal work waits
    static constexpr std::uint32_t queued_per_slot = 2;  // waiting requests of a team per slot of its share
    // Share of the slack before the deadline that a request may spend in the queue. Estimates are inexact,
    // and work that ends late is wasted.
    static constexpr double usable_wait_share = 0.5;

    /// Decides and, if the request is admitted, counts it as waiting.
    /// @param team_share nullopt: the team has no quota
    admission_verdict admit(const admission_request& request, const service_load& load,
                            std::optional<std::uint32_t> team_share);
    /// @return true if urgent work must be sent next, false for normal work
    bool urgent_next(std::string_view service, const service_load& load) const;
    /// @param deadline_left_ms until the caller's deadline
    /// @return true if a waiting request can no longer finish in time; it is answered "not run".
    ///         While no request of the service runs, only a deadline that has passed counts: estimates that
    ///         are too long would otherwise refuse every request and never be corrected.
    bool too_late(const admission_request& request, std::int64_t deadline_left_ms) const;
    /// @return false if the request's team uses its whole share
    bool may_start(const admission_request& request, std::optional<std::uint32_t> team_share) const;

    void started(const admission_request& request);     // waiting -> running
    void requeued(const admission_request& request);    // running -> waiting, to be sent again
    void left_queue(const admission_request& request);  // waiting -> removed
    /// Removes a running request from the counts.
    /// @param ran_ms run time, if the request ran to its end; corrects later estimates
    void ended(const admission_request& request, std::optional<std::int64_t> ran_ms);

    /// @return the request's estimated run time, corrected by the past estimation error of its service
    std::int64_t corrected_run_ms(const admission_request& request) const;

    /// @return each team's peak demand since the last call, refused requests included
    std::vector<std::pair<std::string, std::uint32_t>> collect_demand();

private:
    std::int64_t needed_run_ms(const admission_request& request) const;

    struct work_sum {
        std::uint32_t count = 0;
        std::int64_t run_ms = 0;  // sum of the estimated run times
    };
    struct service_use {
        work_sum waiting[2];  // normal, urgent
        work_sum running[2];
        double ran_ms = 0;        // of past requests, decayed
        double estimated_ms = 0;  // of the same requests, decayed
    };
    struct team_use {
        std::uint32_t waiting = 0;
        std::uint32_t running = 0;
        std::uint32_t refused = 0;  // since the last collect_demand
        std::uint32_t peak = 0;     // largest demand since the last collect_demand
    };

    static double correction(const service_use& use);
    static std::int64_t expected_wait(const service_use& use, bool urgent, const service_load& load);
    team_use* team(std::string_view name);

    name_table<service_use> services_;
    name_table<team_use> teams_;
};

}  // namespace waxwingnotch
