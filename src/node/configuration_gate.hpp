/// @file
/// Puts configurations in force once the shards of their services are known.
#pragma once

#include "waxwingnotch/job/spec.hpp"
#include "waxwingnotch/net/event_loop.hpp"
#include "waxwingnotch/shard/service_shards.hpp"

#include <functional>
#include <memory>

namespace waxwingnotch {

class configuration_gate {
public:
    using config_ptr = std::shared_ptr<const cluster_config>;

    /// @param in_force called with each configuration that has become usable, in the order of their versions
    configuration_gate(event_loop& loop, service_shards& shards, std::function<void(config_ptr)> in_force);
    ~configuration_gate();
    configuration_gate(const configuration_gate&) = delete;
    configuration_gate& operator=(const configuration_gate&) = delete;
    configuration_gate(configuration_gate&&) = delete;
    configuration_gate& operator=(configuration_gate&&) = delete;

    /// Takes a configuration that was read. Versions rise, so one that is read again or is older than another
    /// one has no effect; a newer one replaces one that still waits. Without new services it is in force when
    /// the call returns.
    void offer(cluster_config config);

private:
    void ensure_shards();

    event_loop& loop_;
    service_shards& shards_;
    std::function<void(config_ptr)> in_force_;
    config_ptr newest_;   // offered
    bool waits_ = false;  // for the shards of its services
    bool wait_logged_ = false;
    timer retry_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace waxwingnotch
