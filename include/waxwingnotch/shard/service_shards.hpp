/// @file
/// The shard of each service. It is stored when the first node reads a configuration with the service, and
/// never changes: a shard that followed from the list of services would move with it, and two owners would
/// act on the workers of one service. Their tokens are ordered within a shard only, so no worker would refuse
/// either of them.
///
///     shards.ensure(names, [&](store_status status) { ... if it is ok, find() knows all of them ... });
///     const int shard = shards.find("desk");
#pragma once

#include "waxwingnotch/shard/job_homes.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace waxwingnotch {

class service_shards {
public:
    using handler = job_homes::handler;
    static constexpr int no_shard = -1;

    /// @param homes holds the shards of services beside the homes of paths; outlives this object
    /// @param shards their number, at least 1
    service_shards(job_homes& homes, int shards);
    ~service_shards();
    service_shards(const service_shards&) = delete;
    service_shards& operator=(const service_shards&) = delete;
    service_shards(service_shards&&) = delete;
    service_shards& operator=(service_shards&&) = delete;

    /// @return the shard of @p service, or no_shard if this node does not know it yet
    int find(const std::string& service) const;
    /// Reads the shards of @p services, and stores one for those that have none.
    /// @param done receives `ok` if find() knows all of them, else why not; it runs at once, without a call
    /// to
    ///        the store, if all are known already
    void ensure(std::vector<std::string> services, handler done);

private:
    void claim(const std::vector<std::string>& services, handler done);
    bool keep(const std::vector<std::string>& services);

    job_homes& homes_;
    int shards_;
    std::map<std::string, int> known_;  // by service
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace waxwingnotch
