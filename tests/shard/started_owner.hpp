/// @file
/// Starts an owner whose service `svc` has one worker.
#pragma once

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/shard/shard_owner.hpp"

#include <memory>

namespace waxwingnotch {

/// Registration of the worker, which has started a second ago.
inline worker_entry only_worker()
{
    return {.id = "a",
            .service = "svc",
            .address = "10.0.0.1:1",
            .capacity = {8'000, 64'000, 0},
            .started_ms = monotonic_ms() - 1'000};
}

/// Gives the owner a configuration with the queue `q` of the service, and the worker, and starts it.
inline void start_with_worker(shard_owner& owner, const worker_entry& worker)
{
    auto config = std::make_shared<cluster_config>();
    config->queues.push_back({.name = "q", .service = "svc", .max_attempts = 4});
    config->services.push_back({.name = "svc"});
    owner.set_config(config);
    owner.put_worker(worker);
    owner.start();
}

}  // namespace waxwingnotch
