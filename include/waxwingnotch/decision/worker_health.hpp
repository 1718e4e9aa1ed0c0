/// @file
/// Detects workers that fail requests which their peers complete, ejects them within the availability budget
/// and restores them after a probation. Pure: it takes results of sends and returns verdicts; time is an
/// argument.
///
///     worker_health health;
///     health_verdict verdict = health.observe({.host = "h1", .pool = "p", .service = "s", ...});
///     std::uint32_t limit = health.work_limit("h1", slots, now_ms);
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwingnotch {

// ---- Input ----

/// How a send ended. A refusal that did not start the task is no result.
enum class work_result {
    succeeded,  // the complete answer arrived, however slowly
    failed,     // the worker ran the request and it failed
    silent,  // no answer within the timeout, or the connection broke, and the host answered no other request
    late,    // abandoned at the caller's deadline, while the host answered other requests
};

/// The result of one send.
struct health_event {
    std::string_view host;
    std::string_view pool;
    std::string_view service;
    work_result result = work_result::succeeded;
    std::int64_t now_ms = 0;
    std::int64_t sent_at_ms = 0;     // when the request was sent
    std::string_view previous_host;  // host where the same request failed before; empty: none
    std::uint32_t max_out = 0;       // available hosts of the pool above its budget
};

// ---- Output ----

/// What the caller of `observe` must do.
enum class health_action {
    none,            // nothing changed
    reconnect,       // close the idle connections to the host; it still gets work
    eject,           // no work for `pause_ms`, then probation
    kept_by_budget,  // faulty, but the pool's budget permits no ejection
    restore,         // probation passed; the worker gets full work again
};

const char* to_string(health_action action);

/// An action and the inputs of the decision.
struct health_verdict {
    health_action action = health_action::none;
    std::int64_t pause_ms = 0;  // duration of an ejection
    std::string reason;         // for the log line; empty with `none`
};

/// How much work a worker gets.
enum class worker_mode {
    full,       // up to its slots
    suspect,    // one request at a time, with pauses, until its peers' results decide
    ejected,    // none
    probation,  // one request at a time
};

/// Thresholds.
struct health_options {
    double faulty_failure_share = 0.9;    // failure share assumed of a faulty worker
    double healthy_failure_share = 0.05;  // lower limit of the peers' failure share
    double eject_threshold = 17;          // log likelihood ratio; 6 consecutive failures among healthy peers
    double suspect_threshold = 8;         // for `suspect` and on probation; 3 consecutive failures
    std::int64_t eject_ms = 2'000;        // first ejection; doubles with each further one
    // Upper limit of the doubling; also the time after a restore in which another ejection counts as
    // repeated.
    std::int64_t longest_eject_ms = 10'000;
    std::int64_t suspect_pause_ms = 100;         // between two requests of a suspect
    std::uint32_t probation_successes = 8;       // requests to pass the probation
    std::uint32_t min_peers = 2;                 // peers with results that a comparison requires
    std::int64_t silence_memory_ms = 60'000;     // a silence after this time counts as a first one again
    std::int64_t reconnect_interval_ms = 1'000;  // between reconnects because of late answers
    std::size_t max_workers = 4'096;   // beyond this, the worker whose last result is oldest is dropped
    std::size_t max_services = 1'024;  // workers are not evaluated by results of further services
};

// ---- Evaluation ----

/// Health of all workers, by the results that this node has seen.
class worker_health {
public:
    static constexpr std::size_t window = 256;  // results kept per service

    explicit worker_health(health_options options = {}) : options_(options) {}

    /// Records a result and decides on the worker.
    health_verdict observe(const health_event& event);

    /// @return requests that the worker may have in flight now, at most @p slots
    std::uint32_t work_limit(std::string_view host, std::uint32_t slots, std::int64_t now_ms) const;

    worker_mode mode(std::string_view host, std::int64_t now_ms) const;

    /// Removes the history of a host that left or was rebooted.
    void forget(std::string_view host);

private:
    /// Results of one worker for one service since its score was last 0. The score is a cumulative sum
    /// (CUSUM) that is reset when it falls to 0.
    struct service_results {
        double score = 0;  // log likelihood ratio of a faulty against a healthy worker; 0: no suspicion
        std::int64_t since_ms = 0;
        std::uint32_t tries = 0;
        std::uint32_t failures = 0;
    };
    struct worker {
        std::string pool;
        std::map<std::string, service_results, std::less<>> results;  // by service
        bool out = false;                                             // ejected or on probation
        std::int64_t out_until_ms = 0;
        std::int64_t restored_at_ms = 0;
        std::uint32_t ejections = 0;  // consecutive
        std::uint32_t successes = 0;  // on probation
        bool suspect = false;
        std::int64_t silent_at_ms = 0;
        bool silent = false;
        std::int64_t last_ms = 0;
    };
    struct past_result {
        std::string host;
        std::int64_t at_ms = 0;
        bool failed = false;
    };
    struct service_window {
        std::array<past_result, window> results;
        std::size_t written = 0;
    };
    struct comparison {
        double peers_share = 0;  // median over the peers
        std::size_t peers = 0;   // peers with results since the score was last 0
        double evidence = 0;     // log likelihood ratio against the peers
    };
    enum class silence {
        first,     // requests a fresh connection
        same,      // sent before the first silence was detected, or late again shortly after it; ignored
        repeated,  // sent afterwards; counts as a failure unless the result is `late`
    };
    using worker_table = std::map<std::string, worker, std::less<>>;

    worker& find_or_add(const health_event& event);
    silence classify_silence(worker& known, const health_event& event) const;
    void add_to_window(const health_event& event, bool failed);
    void retract_failure(std::string_view host, std::string_view service);
    void add_result(service_results& current, const health_event& event, bool failed) const;
    comparison compare(const service_results& current, const health_event& event) const;
    health_verdict evaluate(worker& known, service_results& current, const health_event& event);
    health_verdict eject(worker& known, const service_results& current, const comparison& against,
                         const health_event& event) const;
    static health_verdict keep_in_service(service_results& current, const comparison& against,
                                          std::uint32_t others, const health_event& event);
    health_verdict record_success(worker& known, const health_event& event) const;
    std::uint32_t count_reduced(std::string_view pool, const worker* except) const;

    health_options options_;
    worker_table workers_;
    std::map<std::string, service_window, std::less<>> windows_;  // by service
};

}  // namespace waxwingnotch
