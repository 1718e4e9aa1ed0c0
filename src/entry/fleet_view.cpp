#include "waxwingnotch/entry/fleet_view.hpp"

#include <algorithm>

namespace waxwingnotch {

bool fleet_view::apply_entries(std::span<const log_entry> entries)
{
    const auto first_new = std::find_if(entries.begin(), entries.end(), [&](const log_entry& entry) {
        return entry.offset >= state_.next_offset;
    });
    const auto first = static_cast<std::size_t>(first_new - entries.begin());
    std::size_t applied = first;
    std::vector<verdict> verdicts;
    while (applied < entries.size() && entries[applied].offset == state_.next_offset) {
        std::vector<verdict> more = apply(state_, entries[applied]);
        std::move(more.begin(), more.end(), std::back_inserter(verdicts));
        ++applied;
    }
    const auto applied_entries = entries.subspan(first, applied - first);
    if (!applied_entries.empty()) {
        for (const entries_listener& listener : applied_listeners_) {
            listener(applied_entries);
        }
    }
    for (const verdict& item : verdicts) {
        for (const verdict_listener& listener : verdict_listeners_) {
            listener(item);
        }
    }
    return applied == entries.size();
}

void fleet_view::replace(fleet_state newer)
{
    if (newer.next_offset > state_.next_offset) {
        state_ = std::move(newer);
    }
}

}  // namespace waxwingnotch
