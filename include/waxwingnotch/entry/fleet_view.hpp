/// @file
/// This node's copy of the fleet state: applies entries from the log and from peers in offset
/// order and tells the other parts what changed.
#pragma once

#include "waxwingnotch/fleet/fold.hpp"

#include <functional>
#include <span>
#include <vector>

namespace waxwingnotch {

/// Owner of the state.
class fleet_view {
public:
    using verdict_listener = std::function<void(const verdict&)>;
    using entries_listener = std::function<void(std::span<const log_entry>)>;

    const fleet_state& state() const { return state_; }

    void on_verdict(verdict_listener listener) { verdict_listeners_.push_back(std::move(listener)); }
    void on_applied(entries_listener listener) { applied_listeners_.push_back(std::move(listener)); }

    /// Applies what is new in @p entries; what was applied already is skipped.
    /// @return false if a gap keeps some of them from being applied
    bool take(std::span<const log_entry> entries);

    /// Replaces the state by one that is further on. An older one is ignored.
    void replace(fleet_state newer);

private:
    fleet_state state_;
    std::vector<verdict_listener> verdict_listeners_;
    std::vector<entries_listener> applied_listeners_;
};

}  // namespace waxwingnotch
