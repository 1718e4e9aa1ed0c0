/// @file
/// Finds workers that fail what others finish, takes them out within the availability budget and
/// brings them back by probation. Pure: results of sends in, verdicts out, time as an argument.
///
///     worker_health health;
///     health_verdict verdict = health.observe({.host = "h1", .pool = "p", .service = "s", ...});
///     std::uint32_t most = health.work_limit("h1", slots, now_ms);
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

/// How a send ended. Refusals that did not start the task are no result.
enum class work_result {
    succeeded,  // the whole answer came, however slowly
    failed,     // the worker ran the request and it failed
    silent,     // nothing came within its time, or the connection broke, and the host answered nothing else
    late,       // given up at the caller's deadline, though the host answered others meanwhile
};

/// One result.
struct health_event {
    std::string_view host;
    std::string_view pool;
    std::string_view service;
    work_result result = work_result::succeeded;
    std::int64_t now_ms = 0;
    std::int64_t sent_at_ms = 0;    // when the request was sent
    std::string_view earlier_host;  // where the same request failed before; empty: nowhere
    std::uint32_t may_be_out = 0;   // available hosts of the pool beyond its budget
};

// ---- Output ----

/// What the caller of `observe` should do.
enum class health_action {
    none,              // nothing changed
    fresh_connection,  // close the idle connections to the host; it keeps its work
    eject,             // no work for a pause, then probation
    kept_by_budget,    // worse than its pool, but the budget leaves no host to spare
    restore,           // probation passed; full work again
};

const char* to_string(health_action action);

/// An action with the inputs that decided it.
struct health_verdict {
    health_action action = health_action::none;
    std::int64_t pause_ms = 0;  // of an ejection
    std::string reason;         // for the log line; empty with `none`
};

/// How much work a worker gets.
enum class worker_mode {
    full,       // up to its slots
    suspect,    // one request at a time, with pauses, until the peers' results decide
    ejected,    // none
    probation,  // one request at a time
};

/// Thresholds.
struct health_options {
    double bad_share = 0.9;                   // failure share of a worker that fails everything
    double usual_share = 0.05;                // least failure share assumed of healthy peers
    double limit = 17;                        // log likelihood ratio: 6 failures in a row at the usual share
    double suspect_limit = 8;                 // the same for `suspect` and in probation: 3 in a row
    std::int64_t eject_ms = 2'000;            // first ejection; doubles
    std::int64_t longest_eject_ms = 10'000;   // also how long an ejection is remembered after the return
    std::int64_t suspect_pause_ms = 100;      // between two requests of a suspect
    std::uint32_t probation_successes = 8;    // until full work
    std::uint32_t min_peers = 2;              // peers with results that a comparison needs
    std::int64_t silence_memory_ms = 60'000;  // a later silence is a new one
    std::int64_t fresh_pause_ms = 1'000;      // between fresh connections because of late answers
    std::size_t max_workers = 4'096;          // the one without results for longest is dropped
    std::size_t max_services = 1'024;         // results of further services are not judged
};

// ---- Judge ----

/// Health of all workers as this node sees it.
class worker_health {
public:
    static constexpr std::size_t window = 256;  // results remembered per service

    explicit worker_health(health_options options = {}) : options_(options) {}

    /// Takes a result into account.
    health_verdict observe(const health_event& event);

    /// @return requests that the worker may have in flight now, at most @p slots
    std::uint32_t work_limit(std::string_view host, std::uint32_t slots, std::int64_t now_ms) const;

    worker_mode mode(std::string_view host, std::int64_t now_ms) const;

    /// Drops what is known of a host that left or was rebooted.
    void forget(std::string_view host);

private:
    /// Results of one worker for one service since it was last as good as its peers.
    struct run {
        double score = 0;  // log likelihood ratio of "fails everything" against "as usual"; 0: no suspicion
        std::int64_t since_ms = 0;
        std::uint32_t tries = 0;
        std::uint32_t failures = 0;
    };
    struct worker {
        std::string pool;
        std::map<std::string, run, std::less<>> runs;  // by service
        bool out = false;                              // ejected or on probation
        std::int64_t out_until_ms = 0;
        std::int64_t restored_at_ms = 0;
        std::uint32_t ejections = 0;  // in a row
        std::uint32_t successes = 0;  // in probation
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
        std::size_t peers = 0;   // with results in the same time
        double evidence = 0;     // log likelihood ratio against the peers
    };
    enum class silence {
        first,     // asks for a fresh connection
        same,      // sent before the first silence was noticed
        repeated,  // sent afterwards; counts as a failure
    };
    using worker_table = std::map<std::string, worker, std::less<>>;

    worker& worker_of(const health_event& event);
    silence note_silence(worker& known, const health_event& event) const;
    void remember(const health_event& event, bool failed);
    void take_back(std::string_view host, std::string_view service);
    void add_result(run& current, const health_event& event, bool failed) const;
    comparison compare(const run& current, const health_event& event) const;
    health_verdict judge(worker& known, run& current, const health_event& event);
    health_verdict eject(worker& known, const run& current, const comparison& against,
                         const health_event& event) const;
    static health_verdict keep(run& current, const comparison& against, std::uint32_t others,
                               const health_event& event);
    health_verdict note_success(worker& known, const health_event& event) const;
    std::uint32_t reduced(std::string_view pool, const worker* except) const;

    health_options options_;
    worker_table workers_;
    std::map<std::string, service_window, std::less<>> windows_;  // by service
};

}  // namespace waxwingnotch
