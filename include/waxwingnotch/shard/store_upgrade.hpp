/// @file
/// What a version has to find out about a store that earlier versions have written to, before it answers the
/// first request.
///
/// Until homes were stored, nothing told where the jobs of a path, or of a service, lie. The first node of
/// this version reads all jobs once and stores, each under the condition that nobody else has,
///   1. the shard of each service of which jobs are stored: the one that holds most of them;
///   2. if there are stored jobs at all, the home of each path of the configuration: where most jobs of its
///      queue lie, else the shard of its service;
///   3. a home of its own for each job that does not lie at the home of its path or in the shard of its
///      service; the owners hand the latter over (core_forwards.cpp);
///   4. last, the format of the store, after which no node reads the jobs again.
/// A node that dies in between leaves claims that the next one keeps; what several nodes claim at once is
/// decided by the store, as all homes are.
///
/// A format that is higher than store_format was written by a later version, which this one cannot read.
///
///     upgrade.run(config, {.done = [&] { ... requests can be answered ... }, .unsupported = ...});
#pragma once

#include "waxwingnotch/decision/stored_jobs.hpp"
#include "waxwingnotch/job/spec.hpp"
#include "waxwingnotch/net/event_loop.hpp"
#include "waxwingnotch/shard/service_shards.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace waxwingnotch {

/// Format of what this version stores; earlier versions have stored none. See section 13 of docs/design.md.
constexpr int store_format = 1;

class store_upgrade {
public:
    struct handlers {
        std::function<void()> done;                   // the homes of all stored jobs are known
        std::function<void(int format)> unsupported;  // a later version has written to the store
    };

    /// @param shards number of shards
    store_upgrade(event_loop& loop, log_store& store, job_homes& homes, service_shards& services, int shards);
    ~store_upgrade();
    store_upgrade(const store_upgrade&) = delete;
    store_upgrade& operator=(const store_upgrade&) = delete;
    store_upgrade(store_upgrade&&) = delete;
    store_upgrade& operator=(store_upgrade&&) = delete;

    /// @return whether the homes of all jobs are known that were stored before this version
    bool complete() const { return complete_; }
    /// Finds out what the store holds; goes on until the store has answered. A later call, with a newer
    /// configuration, replaces an earlier one that has not finished.
    void run(std::shared_ptr<const cluster_config> config, handlers on);
    /// @return ids of jobs that lie in other shards and will be handed over to @p shard, or have been
    std::set<std::string> jobs_to_hand_over(int shard) const;
    /// Gives a job of this shard a home if requests for its path would not find it: a node of an earlier
    /// version has accepted it after the jobs were read.
    void add_late(stored_job job);

private:
    using claims = std::vector<std::pair<std::string, job_home>>;

    void begin();
    void read_jobs(int shard, const std::string& after);
    void keep(const keyed_record& record, int shard);
    void claim_services();
    void claim_homes();
    std::map<std::string, int> homes_of_queues() const;
    void store_claims(claims wanted, std::size_t from, std::function<void()> done);
    void finish();
    void place_late_jobs();
    void retry();
    template <class Action>
    auto guarded(Action action);

    event_loop& loop_;
    log_store& store_;
    job_homes& homes_;
    service_shards& services_;
    int shards_;
    std::shared_ptr<const cluster_config> config_;
    handlers on_;
    std::vector<stored_job> jobs_;
    std::vector<stored_job> late_;  // not placed yet
    bool placing_ = false;
    bool complete_ = false;
    int runs_ = 0;  // distinguishes answers to an earlier run()
    timer retry_;
    timer late_retry_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace waxwingnotch
