/// @file
/// Shows the effects of a new inventory or new rules before they are published. Pure: it folds the
/// publication and the resulting plans into a copy of the state.
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

/// One record that would follow the publication.
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
    std::uint32_t available_min = 0;  // minimum over all steps
};

/// The effects of a publication.
struct preview {
    std::string refusal;  // why the fold would reject the publication; empty if it would accept it
    std::vector<preview_step> steps;  // in order; only records that the fold accepts
    std::vector<preview_pool> pools;  // only affected pools
    std::int64_t duration_ms = 0;     // until the last step, if draining hosts are idle at once
    std::int64_t drain_limit_ms = 0;  // largest extra time, set by the longest tasks of draining pools
    bool complete = true;             // false: stopped after `max_preview_rounds`
};

constexpr int max_preview_rounds = 2'000;
constexpr std::int64_t plan_interval_ms = 1'000;  // planning interval of the controllers

/// @param state folded up to the end of the log; not changed
/// @param now_ms log time
preview preview_publication(const fleet_state& state, const publish_record& item, std::int64_t now_ms);

}  // namespace waxwingnotch
