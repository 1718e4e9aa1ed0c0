/// @file
/// What a new inventory or new rules would do, before they are published. Pure: it folds the
/// publication and the plans that follow from it into a copy of the state.
///
///     preview shown = preview_publication(state, record, now_ms);
///     if (shown.refusal.empty())
///         for (const preview_step& step : shown.steps) print(step);
#pragma once

#include "waxwingnotch/fleet/fold.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace waxwingnotch {

/// One record that would follow.
struct preview_step {
    std::int64_t after_ms = 0;  // earliest time after the publication
    host_record item;
};

/// One pool whose budget or capacity would change.
struct preview_pool {
    std::string name;
    std::uint32_t budget_before = 0;
    std::uint32_t budget_after = 0;
    std::uint32_t available_before = 0;
    std::uint32_t available_after = 0;
    std::uint32_t available_least = 0;  // at any step
};

/// The consequences.
struct preview {
    std::string refusal;              // why the fold would not accept the publication; empty: it would
    std::vector<preview_step> steps;  // in order; the fold accepts each
    std::vector<preview_pool> pools;  // only those touched
    std::int64_t duration_ms = 0;     // until the last step, if drained hosts are idle at once
    std::int64_t drain_limit_ms = 0;  // added at most, by the longest tasks of the pools that drain
    bool complete = true;             // false: cut at `max_preview_rounds`
};

constexpr int max_preview_rounds = 2'000;
constexpr std::int64_t plan_interval_ms = 1'000;  // of the controllers

/// @param state as folded to the log's end; not changed
/// @param now_ms log time
preview preview_publication(const fleet_state& state, const publish_record& item, std::int64_t now_ms);

}  // namespace waxwingnotch
