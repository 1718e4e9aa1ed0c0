/// @file
/// A request of the dispatcher that is not answered yet; shared by the dispatcher's parts.
#pragma once

#include "waxwingnotch/entry/dispatcher.hpp"

namespace waxwingnotch {

constexpr std::int64_t retry_after_ms = 1'000;  // told to callers whose request did not run

/// How admission counts a request.
enum class slot_use {
    none,     // not admitted, or over
    waiting,  // admitted, not sent
    running,  // sent
};

struct dispatcher::active_request {
    std::uint64_t number = 0;  // in order of arrival
    std::string id;
    caller_request request;
    http_exchange_ptr exchange;
    std::int64_t arrived_at = 0;   // monotonic ms
    std::int64_t deadline_at = 0;  // monotonic ms; 0: none
    std::string claim;             // key held in the log; empty: none
    std::string wanted_claim;      // key asked of the claim desk, until it answers; empty: none
    std::int64_t claimed_at = 0;   // monotonic ms
    std::uint32_t attempts = 0;    // sends that may have started it, one under way included
    std::uint32_t unstarted = 0;   // sends that failed before it started
    std::uint32_t full = 0;        // refusals because the worker's slots were taken
    std::string failed_at;         // host where its last started send ran and failed; empty: none
    std::vector<std::string> tried;
    run_time_estimate expected;        // as of its last queueing
    std::int64_t pool_typical_ms = 0;  // least median of the services of its pool; 0: not learned
    bool expected_long = false;
    bool queued = false;
    slot_use use = slot_use::none;
    std::int64_t admitted_estimate_ms = 0;  // as of its admission
    std::string pool;                       // of the last send
    std::string host;                       // of the last send
    std::int64_t sent_at = 0;               // monotonic ms; of the last send
    call_id call = 0;                       // under way; 0: none
    bool sent = false;                      // some send may have started it
    bool finished = false;
    timer limit;
    timer backoff;

    work_label label() const { return {request.service, request.kind, request.run_time_ms}; }
    queued_work queue_entry() const
    {
        return {number, request.urgent, expected_long, arrived_at, expected.median_ms};
    }
};

}  // namespace waxwingnotch
