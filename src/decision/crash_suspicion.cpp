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
constexpr std::size_t workers_per_isolation = 4;      // most of a pool stays open to other tasks

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
    const run_at_crash* first = nullptr;  // suspect
    bool one_group = true;
    std::int64_t youngest_ms = likely_age_ms;
    for (const run_at_crash& run : runs) {
        if (run.settled) {
            continue;
        }
        first = first == nullptr ? &run : first;
        one_group = one_group && run.group == first->group;
        youngest_ms = std::min(youngest_ms, run.age_ms.value_or(likely_age_ms));
    }
    std::vector<crash_suspicion> suspicions;
    suspicions.reserve(runs.size());
    for (const run_at_crash& run : runs) {
        const bool likely =
            run.age_ms && *run.age_ms <= std::min(likely_age_ms, youngest_ms + likely_span_ms);
        suspicions.push_back(run.settled               ? crash_suspicion::none
                             : !run.confirmed          ? crash_suspicion::unconfirmed
                             : one_group && run.age_ms ? crash_suspicion::alone
                             : likely                  ? crash_suspicion::likely
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

int choose_isolation_worker(std::span<const isolation_candidate> candidates)
{
    int best = -1;
    std::int64_t best_cost = 0;
    for (std::size_t at = 0; at < candidates.size(); ++at) {
        const isolation_candidate& candidate = candidates[at];
        const std::int64_t cost = candidate.busy_ms + candidate.settled_tasks * settled_task_cost_ms;
        if (candidate.eligible && (best < 0 || cost < best_cost)) {
            best = static_cast<int>(at);
            best_cost = cost;
        }
    }
    return best;
}

std::size_t max_isolation_workers(std::size_t workers)
{
    return std::max<std::size_t>(workers / workers_per_isolation, 1);
}

}  // namespace waxwingnotch
