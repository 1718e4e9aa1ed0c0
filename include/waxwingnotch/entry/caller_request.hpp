/// @file
/// A caller's request and the ways it can end.
#pragma once

#include "waxwingnotch/base/result.hpp"
#include "waxwingnotch/net/http_server.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace waxwingnotch {

/// How a request ended, as the caller is told in `X-Outcome`.
enum class outcome {
    done,         // the upstream answered
    failed,       // the upstream ran it, and it failed
    not_run,      // it did not run; safe to send again
    unknown,      // it may have run; do not send again blindly
    never,        // no host may ever run it
    already_ran,  // an earlier request with this key ran; its answer is no longer held
};

const char* to_string(outcome value);

/// @return false if @p text is not an outcome
bool parse_outcome(std::string_view text, outcome& value);

/// What a caller asks for.
struct caller_request {
    std::string service;
    std::string idempotency_key;  // empty: none
    std::string own_id;           // caller's name for this request, for DELETE; empty: none
    std::string team;             // empty: none
    std::string kind;             // of work within the service; empty: none
    std::string content_type;
    std::string body;
    std::int64_t run_time_ms = 0;  // declared; 0: not declared
    std::int64_t size_mb = 0;      // declared; 0: not declared
    std::int64_t deadline_ms = 0;  // from its arrival on; 0: none
    bool urgent = false;
    bool non_idempotent = false;
};

/// What is answered.
struct caller_answer {
    outcome result = outcome::done;
    int status = 200;
    std::string content_type = "application/json";
    std::string body;
    std::string reason;               // empty for `done`
    std::int64_t retry_after_ms = 0;  // for `not_run`
};

/// Reads a request. @return the request, or `invalid_argument` with the header at fault
result<caller_request> read_request(const http_exchange& exchange);

/// Makes an answer other than `done`, with the status that belongs to the outcome.
/// @param retry_after_ms for `not_run`
caller_answer make_refusal(outcome value, std::string reason, std::int64_t retry_after_ms = 0);

/// Sends @p answer with its headers.
void send_answer(http_exchange& exchange, const std::string& request_id, const caller_answer& answer);

/// Path prefix of the callers' interface.
constexpr std::string_view service_prefix = "/v1/services/";

}  // namespace waxwingnotch
