/// @file
/// The shard of each service. It is stored when the first node reads a configuration with the service, and
/// never changes: a shard that followed from the list of services would move with it, and two owners would
/// act on the workers of one service. Their tokens are ordered within a shard only, so no worker would refuse
/// either of them.
///
///     shards.ensure(names, [&] { ... find() knows all of them ... });
///     const int shard = shards.find("desk");
#pragma once

#include "waxwingnotch/net/event_loop.hpp"
#include "waxwingnotch/shard/job_homes.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace waxwingnotch {

class service_shards {
public:
    static constexpr int no_shard = job_homes::no_shard;

    /// @param homes holds the shards of services beside the homes of paths; outlives this object
    /// @param shards their number; a stored shard beyond it is refused
    service_shards(event_loop& loop, job_homes& homes, int shards);
    ~service_shards();
    service_shards(const service_shards&) = delete;
    service_shards& operator=(const service_shards&) = delete;
    service_shards(service_shards&&) = delete;
    service_shards& operator=(service_shards&&) = delete;

    /// @return the shard of @p service, also of one that is in no configuration any more; no_shard if this
    ///         node does not know it yet
    int find(const std::string& service) const;
    /// Reads the shards of @p services, and stores one for each that has none; goes on until the store has
    /// answered. A later call replaces an earlier one that has not finished.
    /// @param known called when all of them were read or stored; at once if they were before
    void ensure(std::vector<std::string> services, std::function<void()> known);

private:
    void claim();
    bool keep();

    event_loop& loop_;
    job_homes& homes_;
    int shards_;
    std::map<std::string, int> known_;  // by service; no_shard: what is stored is beyond the number of shards
    std::vector<std::string> wanted_;   // by the latest ensure(), without those that were known
    std::function<void()> on_known_;
    int calls_ = 0;  // of ensure(); distinguishes answers to an earlier one
    bool failure_logged_ = false;
    timer retry_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace waxwingnotch
