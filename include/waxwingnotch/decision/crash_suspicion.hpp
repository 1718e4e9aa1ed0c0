/// @file
/// Finds tasks that crash their workers and spares those that only ran beside them. Handles jobs that end the
/// process of every worker that starts them, one worker after the other, together with all that runs there.
///
/// After a crash every run that was on the worker is a suspect. A likely suspect, or one of two crashes, is
/// isolated: it starts on a worker without other suspects, so that the next crash has only one explanation.
/// After two such crashes the task is given up, once it is proved that the process of the worker has ended.
///
/// A start that nobody has answered and no list has shown may have reached a process that had already ended,
/// or the next one. Such a crash says little about the task; only several of them give it up.
#pragma once

#include "waxwingnotch/job/progress.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace waxwingnotch {

/// A run that was on a worker when the worker's process ended.
struct run_at_crash {
    // From its start order to the crash. None: a previous owner ordered it, which may also have ordered its
    // host to be moved or maintained.
    std::optional<std::int64_t> age_ms;
    bool settled = false;   // a long-running task that was at work, so its start did no harm
    bool confirmed = true;  // an answer or a list has shown that the process took the start
    std::size_t group = 0;  // members of one gang on the worker have the same number
};

/// How much a crash says against one of the runs.
enum class crash_suspicion : std::uint8_t {
    none,         // it was settled
    unconfirmed,  // its start may not have reached the process
    shared,       // others may have caused the crash as well
    likely,       // it was among the last to start, shortly before the crash
    alone,        // nothing else can have caused the crash
};
const char* to_string(crash_suspicion suspicion);

/// @return the suspicion against each of @p runs, which are all runs on the worker
std::vector<crash_suspicion> suspect_runs(std::span<const run_at_crash> runs);

/// Adds a crash to the history of a task.
void add_crash(crash_history& history, crash_suspicion suspicion);
/// Takes a crash back that did not happen: the worker still lists the run.
void remove_crash(crash_history& history, crash_suspicion suspicion);
/// @return whether the task may only start on a worker without other suspects
bool must_isolate(const crash_history& history);
/// @param proved another process has been seen in the place of the crashed one. Refused connections alone may
///        also mean that a network turns the calls away, so without proof it takes more of them.
/// @return whether the task has crashed enough workers to be given up; without proof it first waits for one
bool must_give_up(const crash_history& history, bool proved);

/// A worker that could be kept free for a task to be isolated.
struct isolation_candidate {
    bool eligible = true;             // may run the task, and the task fits beside the settled runs
    std::int64_t busy_ms = 0;         // until its other runs are expected to end
    std::uint32_t settled_tasks = 0;  // long-running tasks that a crash would interrupt
};

/// @return index of the worker that is free soonest and has the least to lose, or -1 if none is eligible
int choose_isolation_worker(std::span<const isolation_candidate> candidates);

/// @return how many busy ones of @p workers may be emptied for isolated tasks at a time; 1 at least
std::size_t max_isolation_workers(std::size_t workers);

}  // namespace waxwingnotch
