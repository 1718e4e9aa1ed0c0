/// @file
/// Asks the host service whether the hosts of workers that are missing still run them. A worker whose host
/// runs it no more has ended, and its tasks need not wait for the registration to return.
#pragma once

#include "waxwingnotch/node/host_api.hpp"

#include <memory>
#include <string>

namespace waxwingnotch {

struct node_state;

/// @return whether @p list says that no host runs the worker any more. A list with rows that could not be
/// read
///         says so of no worker.
bool host_is_lost(const host_listing& list, const std::string& worker);

class lost_host_watch {
public:
    explicit lost_host_watch(node_state& node) : node_(node) {}
    ~lost_host_watch() { *alive_ = false; }
    lost_host_watch(const lost_host_watch&) = delete;
    lost_host_watch& operator=(const lost_host_watch&) = delete;
    lost_host_watch(lost_host_watch&&) = delete;
    lost_host_watch& operator=(lost_host_watch&&) = delete;

    /// Asks if the owners of this node wait for missing workers and the link has room for a list; to be
    /// called regularly.
    void check();

private:
    void on_list(const host_listing& list);

    node_state& node_;
    bool list_in_flight_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace waxwingnotch
