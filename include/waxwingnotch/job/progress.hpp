/// @file
/// Progress of one occurrence of a job. The owner of a shard writes it to the store before it acts on
/// it, so a new owner continues from the newest record.
#pragma once

#include "waxwingnotch/job/spec.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingnotch {

/// A worker process; a restart under the same id is another incarnation.
struct worker_incarnation {
    std::string id;
    std::int64_t started_ms = 0;  // start of the process, as the worker reports it; 0: not known yet

    bool operator==(const worker_incarnation&) const = default;
};

/// A run that may be active.
struct active_run {
    std::uint32_t number = 0;
    worker_incarnation worker;
    bool crash_counted = false;  // the crash of its worker is in the task's history
    // A list of `worker` has shown the run. Else a later process under the same id may have taken its start.
    bool listed = false;

    bool operator==(const active_run&) const = default;
};

/// Phase of a task.
enum class task_phase : std::uint8_t {
    waiting,  // no run can be active
    active,   // at least one run may be active
    done,
    failed,  // has used up its attempts
};

/// Workers that crashed while a task ran on them.
struct crash_history {
    std::uint32_t shared = 0;       // other runs on the worker may have caused the crash as well
    std::uint32_t alone = 0;        // no other run can have caused it
    bool likely = false;            // a shared crash came right after a start of this task
    std::uint32_t unconfirmed = 0;  // nothing has shown that the process took the start

    bool operator==(const crash_history&) const = default;
};

/// The newest runs of a task that were given up and may still end. With 8 they take at most 13 bytes of a
/// record while their numbers are close to the last one; 4,000 active tasks leave 21 bytes each.
constexpr std::size_t max_given_up_runs = 8;

/// One task of an occurrence.
struct task_progress {
    task_phase phase = task_phase::waiting;
    std::uint32_t last_run = 0;  // highest run number assigned; 0: none
    std::uint32_t failures = 0;
    std::vector<active_run> runs;
    std::string checkpoint;
    crash_history crashes;
    // Runs whose starts were ordered and that were given up before their ends were known. An end `failed` of
    // one of them has not been counted yet; see add_given_up().
    std::vector<std::uint32_t> given_up;

    bool operator==(const task_progress&) const = default;
};

/// Notes that @p run has been given up; drops the oldest of more than max_given_up_runs.
void add_given_up(task_progress& task, std::uint32_t run);
/// @return whether @p run was among the given-up runs of the task, to which it does not belong any more
bool remove_given_up(task_progress& task, std::uint32_t run);

/// Progress of one occurrence of a job.
struct occurrence_progress {
    std::vector<std::vector<task_progress>> steps;

    bool operator==(const occurrence_progress&) const = default;

    bool step_done(std::size_t step) const;
    bool done() const;
    bool failed() const;
    bool started() const;  // a run of some task has been assigned
    /// Whether the steps that @p step depends on are done.
    bool ready(const step_spec& spec) const;
};

/// State of a job as callers see it.
enum class job_state : std::uint8_t { queued, running, completed, failed, cancelled };
std::string_view to_string(job_state state);

/// @return a new occurrence of @p job with every task waiting
occurrence_progress make_occurrence(const job_spec& job);

// The record of an occurrence in the store (CBOR). Long ones are stored in parts, see progress_parts.hpp.
std::string encode_progress(const occurrence_progress& progress);
/// Encodes the tasks from @p first to before @p end, counted over all steps. Steps before these tasks are
/// empty, and steps behind them are left out.
std::string encode_progress(const occurrence_progress& progress, std::size_t first, std::size_t end);
result<occurrence_progress> decode_progress(std::string_view bytes);

/// Name of a task: job, occurrence, step and index within the step.
struct task_name {
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
};
std::string to_string(const task_name& name);  // JOB.OCCURRENCE.STEP.INDEX
result<task_name> parse_task_name(std::string_view text);

}  // namespace waxwingnotch
