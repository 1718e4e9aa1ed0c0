#include "waxwingnotch/decision/crash_suspicion.hpp"

#include <algorithm>

namespace waxwingnotch {

namespace {

// A start that crashes its worker does so at once; an owner that is short of processor time notices late.
constexpr std::int64_t likely_age_ms = 500;
// Starts this close to the latest one are as suspicious: orders overtake each other.
constexpr std::int64_t likely_span_ms = 100;
constexpr std::uint32_t crashes_to_isolate = 2;
// A worker can crash for another reason while a task is alone on it, but hardly twice.
constexpr std::uint32_t crashes_alone_to_give_up = 2;
// The platform allows five starts of a task that crashes each worker, and that a task is given up under which
// two have crashed. Of starts that were not answered it is not known whether they had to do with a crash.
constexpr std::uint32_t crashes_to_give_up = 4;
constexpr std::uint32_t confirmed_crashes = 2;
constexpr std::uint32_t unconfirmed_crashes_to_give_up = 5;
constexpr std::int64_t settled_task_cost_ms = 5'000;  // start-up of a long-running task elsewhere
constexpr std::size_t workers_per_emptied = 4;        // most of a pool stays open to other tasks
// What starts after a probation is no likely suspect of a crash together with the task that was on it.
constexpr std::int64_t probation_ms = 2 * likely_age_ms;
constexpr std::uint32_t crashes_to_watch = 3;  // one more than isolate a task
// Callers wait this long for an idle worker; a few seconds later their jobs would be late.
constexpr std::int64_t max_isolation_wait_ms = 1'000;

/// @return whether all runs that @p counts belong to one group
template <class Counts>
bool one_group(std::span<const run_at_crash> runs, const Counts& counts)
{
    const run_at_crash* first = nullptr;
    for (const run_at_crash& run : runs) {
        if (!counts(run)) {
            continue;
        }
        if (first != nullptr && run.group != first->group) {
            return false;
        }
        first = &run;
    }
    return true;
}

}  // namespace

const char* to_string(crash_suspicion suspicion)
{
    switch (suspicion) {
    case crash_suspicion::none:
        return "none";
    case crash_suspicion::unconfirmed:
        return "unconfirmed";
    case crash_suspicion::shared:
        return "shared";
    case crash_suspicion::likely:
        return "likely";
    case crash_suspicion::alone:
        return "alone";
    }
    return "unnamed";
}

std::vector<crash_suspicion> suspect_runs(std::span<const run_at_crash> runs)
{
    std::int64_t youngest_ms = likely_age_ms;
    for (const run_at_crash& run : runs) {
        if (!run.settled) {
            youngest_ms = std::min(youngest_ms, run.age_ms.value_or(likely_age_ms));
        }
    }
    const auto is_likely = [youngest_ms](const run_at_crash& run) {
        return run.age_ms && *run.age_ms <= std::min(likely_age_ms, youngest_ms + likely_span_ms);
    };
    const bool one_suspect = one_group(runs, [](const run_at_crash& run) { return !run.settled; });
    const bool one_likely =
        one_group(runs, [&](const run_at_crash& run) { return !run.settled && is_likely(run); });
    std::vector<crash_suspicion> suspicions;
    suspicions.reserve(runs.size());
    for (const run_at_crash& run : runs) {
        const bool isolated_likely = run.isolated && one_likely && is_likely(run);
        suspicions.push_back(run.settled                                      ? crash_suspicion::none
                             : !run.confirmed                                 ? crash_suspicion::unconfirmed
                             : run.age_ms && (one_suspect || isolated_likely) ? crash_suspicion::alone
                             : is_likely(run)                                 ? crash_suspicion::likely
                                                                              : crash_suspicion::shared);
    }
    return suspicions;
}

void add_crash(crash_history& history, crash_suspicion suspicion)
{
    history.shared += suspicion == crash_suspicion::shared || suspicion == crash_suspicion::likely ? 1 : 0;
    history.alone += suspicion == crash_suspicion::alone ? 1 : 0;
    history.likely = history.likely || suspicion == crash_suspicion::likely;
    history.unconfirmed += suspicion == crash_suspicion::unconfirmed ? 1 : 0;
}

void remove_crash(crash_history& history, crash_suspicion suspicion)
{
    std::uint32_t& count = suspicion == crash_suspicion::alone         ? history.alone
                           : suspicion == crash_suspicion::unconfirmed ? history.unconfirmed
                                                                       : history.shared;
    count -= count > 0 && suspicion != crash_suspicion::none ? 1 : 0;
    history.likely = history.likely && history.shared > 0;
}

bool must_isolate(const crash_history& history)
{
    return history.likely || history.alone > 0 || history.shared + history.unconfirmed >= crashes_to_isolate;
}

bool on_probation(const crash_history& history, std::int64_t age_ms)
{
    return age_ms < probation_ms || history.shared + history.alone + history.unconfirmed >= crashes_to_watch;
}

bool must_give_up(const crash_history& history, bool proved)
{
    const std::uint32_t confirmed = history.shared + history.alone;
    const std::uint32_t all = confirmed + history.unconfirmed;
    const std::uint32_t most =
        confirmed >= confirmed_crashes ? crashes_to_give_up : unconfirmed_crashes_to_give_up;
    const std::uint32_t own = history.alone + history.unconfirmed;
    // Crashes that others may have caused are not enough, however many.
    if (!proved) {
        return own >= crashes_alone_to_give_up && all >= most;
    }
    return history.alone >= crashes_alone_to_give_up || (own > 0 && all >= most);
}

isolation_choice choose_isolation_worker(std::span<const isolation_candidate> candidates)
{
    isolation_choice idle;
    isolation_choice beside{.worker = -1, .beside = true};
    std::int64_t idle_cost = 0;
    std::int64_t beside_cost = 0;
    for (std::size_t at = 0; at < candidates.size(); ++at) {
        const isolation_candidate& candidate = candidates[at];
        const std::int64_t cost = candidate.busy_ms + candidate.settled_tasks * settled_task_cost_ms;
        if (candidate.eligible && (idle.worker < 0 || cost < idle_cost)) {
            idle.worker = static_cast<int>(at);
            idle_cost = cost;
        }
        if (candidate.fits_beside && (beside.worker < 0 || cost < beside_cost)) {
            beside.worker = static_cast<int>(at);
            beside_cost = cost;
        }
    }
    const bool soon = idle.worker >= 0 &&
                      candidates[static_cast<std::size_t>(idle.worker)].busy_ms <= max_isolation_wait_ms;
    return soon || beside.worker < 0 ? idle : beside;
}

std::size_t max_emptied_workers(std::size_t workers)
{
    return std::max<std::size_t>(workers / workers_per_emptied, 1);
}

}  // namespace waxwingnotch
