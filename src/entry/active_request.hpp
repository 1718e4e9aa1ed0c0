/// @file
/// An open request of the dispatcher; shared by the dispatcher's source files.
#pragma once

#include "waxwingnotch/entry/dispatcher.hpp"

namespace waxwingnotch {

constexpr std::int64_t retry_after_ms = 1'000;  // Retry-After for requests that did not run

/// How a request is counted by admission.
enum class admission_state {
    none,     // not admitted, or finished
    waiting,  // admitted, not sent yet
    running,  // sent to a worker
};

struct dispatcher::active_request {
    std::uint64_t number = 0;  // in order of arrival
    std::string id;
    caller_request request;
    http_exchange_ptr exchange;
    std::int64_t arrived_at = 0;          // monotonic ms
    std::int64_t deadline_at = 0;         // monotonic ms; 0: none
    std::string claim;                    // key of the granted claim; empty: none
    std::string requested_claim;          // key of a claim that is not settled yet; empty: none
    std::int64_t claimed_at = 0;          // monotonic ms
    std::uint32_t attempts = 0;           // sends that may have started it, including the one in flight
    std::uint32_t not_started_sends = 0;  // sends that failed before the task started
    std::uint32_t full_refusals = 0;      // refusals by workers without a free slot
    std::string failed_host;              // host of the last started send if it failed there; empty: none
    std::vector<std::string> tried;
    run_time_estimate expected;        // when it was last queued
    std::int64_t pool_typical_ms = 0;  // smallest median run time of the pool's services; 0: not learned
    bool expected_long = false;
    bool queued = false;
    admission_state admission = admission_state::none;
    std::int64_t admitted_estimate_ms = 0;  // when it was admitted
    std::string pool;                       // of the last send
    std::string host;                       // of the last send
    std::int64_t sent_at = 0;               // monotonic ms; of the last send
    call_id call = 0;                       // in flight; 0: none
    bool may_have_started = false;          // a completed send may have started it
    bool finished = false;
    timer time_limit;
    timer backoff;

    work_label label() const { return {request.service, request.kind, request.run_time_ms}; }
    queued_work queue_entry() const
    {
        return {number, request.urgent, expected_long, arrived_at, expected.median_ms};
    }
};

}  // namespace waxwingnotch
