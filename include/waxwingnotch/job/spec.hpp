/// @file
/// Jobs as callers submit them, and the configuration of queues and services, as plain values.
#pragma once

#include "waxwingnotch/base/result.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingnotch {

/// What a task needs and what a worker has.
struct resources {
    std::int64_t cpu_milli = 0;  // thousandths of a core
    std::int64_t memory_mb = 0;
    std::int64_t gpus = 0;

    resources& operator+=(const resources& other);
    resources& operator-=(const resources& other);
};
resources operator-(resources left, const resources& right);

/// One step of a job: tasks with the same requirements.
struct step_spec {
    std::uint32_t task_count = 1;
    resources need;
    std::int64_t estimate_ms = 0;                  // the caller's estimate of one task's duration
    std::vector<std::uint32_t> depends_on;         // earlier steps that must be done first
    std::uint32_t max_per_worker = 0;              // 0: no limit
    std::string required_label;                    // empty: any worker
    std::string data_rack;                         // empty: no preference
    std::string image;                             // tasks of one image behave alike
    std::int64_t latency_target_ms = 0;            // tail latency of a serving task; 0: none
    std::optional<std::uint32_t> max_unavailable;  // tasks that the system may keep from running at a time
    bool checkpointing = false;
    bool gang = false;            // all tasks of a run start and end together
    bool same_rack = false;       // slower when spread over racks
    bool speculative = false;     // copies may run in parallel
    bool long_running = false;    // runs until the job is cancelled
    bool uses_spare_cpu = false;  // takes the cpu that others leave unused; its cpu is not reserved

    /// What one task takes from its worker's capacity.
    resources reserved() const { return {uses_spare_cpu ? 0 : need.cpu_milli, need.memory_mb, need.gpus}; }
};

/// What a queue says of the jobs that it accepts. It goes along with a job, as its route may be removed, or
/// come back under another name, before the job has ended.
struct queue_terms {
    std::int64_t target_ms = 0;  // time to completion allowed in addition to `stretch` times the run time
    double stretch = 1.0;        // allowed multiple of the run time
    int priority = 0;            // 0 comes first
    bool needs_advice = false;   // a policy service names the workers allowed to run a step
    std::int64_t advice_valid_ms = 3'000;  // of a ticket, where the policy service's answer does not say it
    std::int64_t advice_call_ms = 0;       // what the policy service takes for a call
    std::int64_t advice_worker_ms = 0;     // and more for each worker that the call names

    bool operator==(const queue_terms&) const = default;
};

/// One job.
struct job_spec {
    std::string id;       // 16 hexadecimal digits, chosen by the client account
    std::string queue;    // name of the queue that accepted it
    std::string service;  // whose workers run it
    std::string payload;  // opaque; passed to every task
    std::vector<step_spec> steps;
    std::uint32_t repeat_count = 0;  // 0: runs once, at once
    std::int64_t first_ms = 0;       // wall-clock due time of occurrence 0
    std::int64_t interval_ms = 0;    // between due times
    std::int64_t accepted_ms = 0;    // wall clock of the accepting node
    // Limit of the queue when it accepted the job; applies once the queue is removed.
    std::uint32_t max_attempts = 1;
    // The same; none in the records of earlier versions.
    std::optional<queue_terms> terms;
    // Whether the version that stored the job knew the home of its path; else it may lie in another shard.
    bool has_home = false;
    // Whether another shard has handed the job over, in which an earlier version had stored it.
    bool handed_over = false;
    std::map<std::uint32_t, std::string> progress;  // of such a job: encoded, by number of the occurrence
    // Shard that runs the job, where another one stores the jobs of its path; -1: the shard that stores it.
    int shard = -1;

    /// Number of times that the steps run.
    std::uint32_t occurrences() const { return repeat_count == 0 ? 1 : repeat_count; }
    /// Number of tasks of one occurrence.
    std::uint64_t tasks() const;
    /// Whether some step runs until the job is cancelled.
    bool long_running() const;
};

/// A queue: a route of the configuration.
struct queue_config {
    std::string name;
    std::string host;         // value of the Host header
    std::string path_prefix;  // the longest that matches wins
    std::string service;
    std::uint32_t max_attempts = 1;
    queue_terms terms;
};

/// A service: a pool of workers.
struct service_config {
    std::string name;
    bool enforces_capacity = true;  // its workers reject tasks that do not fit
    bool standby = false;           // its hosts are off
};

/// One version of the operator's configuration.
struct cluster_config {
    std::int64_t version = -1;
    std::vector<queue_config> queues;
    std::vector<service_config> services;  // sorted by name
    std::size_t max_body_bytes = 262'144;
    std::int64_t idle_timeout_ms = 600'000;  // then a caller's connection without traffic is closed

    /// @return the queue that a request belongs to, or null
    const queue_config* match(std::string_view host, std::string_view path) const;
    const queue_config* queue(std::string_view name) const;
    const service_config* service(std::string_view name) const;
    /// @return the names of all services, of those that only a queue names too
    std::vector<std::string> service_names() const;
};

// Times beyond these are refused, so that sums and products of them stay within 64 bits.
constexpr std::int64_t max_duration_ms = 400LL * 24 * 3'600 * 1'000;  // 400 days
constexpr std::int64_t max_wall_ms = 253'402'300'799'000;             // the end of the year 9999

// Bounds of one job. What a submission can ask for with few bytes must not exceed a node's memory.
constexpr std::size_t max_steps = 1'000;
// Of all steps. The progress of a job is one record of at most 256 KB; a task at work takes about 60 bytes in
// it, and the refusal of a longer record would stop all jobs of the shard.
constexpr std::uint64_t max_tasks = 4'000;
constexpr std::uint64_t max_stored_tasks = 100'000;  // of a job that an earlier version has accepted
constexpr std::uint32_t max_repeats = 1'000'000;

/// Checks the values that a caller chooses: counts, ranges and dependencies.
/// @param task_limit of all steps
/// @return empty if the job is valid, else a description of the first error
std::string validate(const job_spec& job, std::uint64_t task_limit = max_tasks);

/// Whether @p id has the form of a job id.
bool is_job_id(std::string_view id);

// The record of an accepted job in the store (CBOR).
constexpr const char* cancel_record = "1";  // of a cancel, whose key says all
std::string encode_job(const job_spec& job);
result<job_spec> decode_job(std::string_view bytes);

}  // namespace waxwingnotch
