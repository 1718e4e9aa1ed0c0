/// @file
/// A caller's request, its outcomes, and the mapping of both to HTTP headers.
#pragma once

#include "waxwingnotch/base/result.hpp"
#include "waxwingnotch/net/http_server.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace waxwingnotch {

/// Outcome of a request, reported to the caller in `X-Outcome`.
enum class outcome {
    done,         // the upstream answered
    failed,       // the upstream ran it and reported a failure
    not_run,      // it did not run; safe to send again
    unknown,      // it may have run; sending it again may run it twice
    never,        // invalid, or no host may ever run it
    already_ran,  // an earlier request with this key ran; its answer is no longer stored
};

const char* to_string(outcome value);

/// Parses the name of an outcome.
/// @return false if @p text is not an outcome
bool parse_outcome(std::string_view text, outcome& value);

/// A request as the caller sent it.
struct caller_request {
    std::string service;
    std::string idempotency_key;    // empty: none
    std::string caller_request_id;  // id chosen by the caller, for DELETE; empty: none
    std::string team;               // empty: none
    std::string kind;               // kind of work within the service; empty: none
    std::string content_type;
    std::string body;
    std::int64_t run_time_ms = 0;  // declared; 0: not declared
    std::int64_t size_mb = 0;      // declared; 0: not declared
    std::int64_t deadline_ms = 0;  // relative to its arrival; 0: none
    bool urgent = false;
    bool non_idempotent = false;
};

/// The answer to a caller's request.
struct caller_answer {
    outcome result = outcome::done;
    int status = 200;
    std::string content_type = "application/json";
    std::string body;
    std::string reason;               // empty for `done`
    std::int64_t retry_after_ms = 0;  // for `not_run`
};

/// Reads a request from an HTTP exchange.
/// @return the request, `not_found` for another path, or `invalid_argument` naming the invalid header
result<caller_request> read_request(const http_exchange& exchange);

/// Builds an answer other than `done`, with the HTTP status of the outcome.
/// @param retry_after_ms for `not_run`
caller_answer make_refusal(outcome value, std::string reason, std::int64_t retry_after_ms = 0);

/// Sends @p answer with the headers `X-Outcome`, `X-Request-Id` and, for `not_run`, `Retry-After`.
void send_answer(http_exchange& exchange, const std::string& request_id, const caller_answer& answer);

/// Path prefix of the callers' API.
constexpr std::string_view service_prefix = "/v1/services/";

}  // namespace waxwingnotch
