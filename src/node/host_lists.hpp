/// @file
/// Requests lists of hosts within a share of the link of this node; see list_pace.
#pragma once

#include "waxwingnotch/decision/list_pace.hpp"
#include "waxwingnotch/node/host_api.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace waxwingnotch {

struct node_state;

class host_lists {
public:
    explicit host_lists(node_state& node);
    ~host_lists() { *alive_ = false; }
    host_lists(const host_lists&) = delete;
    host_lists& operator=(const host_lists&) = delete;
    host_lists(host_lists&&) = delete;
    host_lists& operator=(host_lists&&) = delete;

    /// Requests a list if the link has room for it.
    /// @return false: there is no room now, and @p done is not called
    bool request(list_need need, std::function<void(const host_listing&)> done);

private:
    void note_cost(std::int64_t expected, std::uint64_t received_before, std::uint64_t number, bool alone,
                   bool whole);

    node_state& node_;
    list_pace pace_;
    std::uint64_t begun_ = 0;  // lists
    int open_ = 0;             // lists that have not been answered
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace waxwingnotch
