/// @file
/// This node's copy of the fleet state: applies entries from the log and from peers in offset
/// order and notifies listeners of applied entries and verdicts.
#pragma once

#include "waxwingnotch/fleet/fold.hpp"

#include <functional>
#include <span>
#include <vector>

namespace waxwingnotch {

/// The fleet state and its listeners.
class fleet_view {
public:
    using verdict_listener = std::function<void(const verdict&)>;
    using entries_listener = std::function<void(std::span<const log_entry>)>;

    const fleet_state& state() const { return state_; }

    void on_verdict(verdict_listener listener) { verdict_listeners_.push_back(std::move(listener)); }
    void on_applied(entries_listener listener) { applied_listeners_.push_back(std::move(listener)); }

    /// Applies the entries from the next offset on; entries that were applied already are skipped.
    /// @return false if a gap in the offsets prevented some of them from being applied
    bool apply_entries(std::span<const log_entry> entries);

    /// Replaces the state by one with a higher offset. Any other is ignored.
    void replace(fleet_state newer);

private:
    fleet_state state_;
    std::vector<verdict_listener> verdict_listeners_;
    std::vector<entries_listener> applied_listeners_;
};

}  // namespace waxwingnotch
