#include "waxwingnotch/entry/caller_request.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace waxwingnotch {

namespace {

constexpr std::size_t max_key_bytes = 256;
constexpr std::int64_t max_duration_ms = 30LL * 24 * 3600 * 1000;
constexpr std::int64_t max_size_mb = 1'000'000;

/// Name and HTTP status of each outcome, in the order of the enum.
struct outcome_row {
    const char* name;
    int status;
};

constexpr std::array<outcome_row, 6> outcome_rows = {{{"done", 200},
                                                      {"failed", 502},
                                                      {"not-run", 503},
                                                      {"unknown", 504},
                                                      {"never", 422},
                                                      {"already-ran", 409}}};

/// Header of a numeric field of caller_request, from 1 to `max`.
struct number_header {
    const char* name;
    std::int64_t caller_request::*field;
    std::int64_t max;
};

constexpr std::array<number_header, 3> number_headers = {{
    {"X-Run-Time-Ms", &caller_request::run_time_ms, max_duration_ms},
    {"X-Size", &caller_request::size_mb, max_size_mb},
    {"X-Deadline-Ms", &caller_request::deadline_ms, max_duration_ms},
}};

/// Header of a text field of caller_request.
struct text_header {
    const char* name;
    std::string caller_request::*field;
};

constexpr std::array<text_header, 5> text_headers = {{
    {"Idempotency-Key", &caller_request::idempotency_key},
    {"X-Request-Id", &caller_request::caller_request_id},
    {"X-Team", &caller_request::team},
    {"X-Kind", &caller_request::kind},
    {"Content-Type", &caller_request::content_type},
}};

std::string read_numbers(const http_exchange& exchange, caller_request& request)
{
    for (const number_header& row : number_headers) {
        const auto text = exchange.header(row.name);
        if (!text) {
            continue;
        }
        std::int64_t value = 0;
        const char* end = text->data() + text->size();
        const auto parsed = std::from_chars(text->data(), end, value);
        if (parsed.ec != std::errc() || parsed.ptr != end || value < 1 || value > row.max) {
            return std::string(row.name) + " is '" + *text + "', expected an integer from 1 to " +
                   std::to_string(row.max);
        }
        request.*row.field = value;
    }
    return {};
}

std::string read_flags(const http_exchange& exchange, caller_request& request)
{
    const auto urgency = exchange.header("X-Urgency");
    if (urgency && *urgency != "urgent" && *urgency != "normal") {
        return "X-Urgency is '" + *urgency + "', expected urgent or normal";
    }
    request.urgent = urgency && *urgency == "urgent";
    const auto non_idempotent = exchange.header("X-Non-Idempotent");
    if (non_idempotent && *non_idempotent != "true" && *non_idempotent != "false") {
        return "X-Non-Idempotent is '" + *non_idempotent + "', expected true or false";
    }
    request.non_idempotent = non_idempotent && *non_idempotent == "true";
    return {};
}

}  // namespace

const char* to_string(outcome value)
{
    return outcome_rows.at(static_cast<std::size_t>(value)).name;
}

bool parse_outcome(std::string_view text, outcome& value)
{
    const auto found = std::find_if(outcome_rows.begin(), outcome_rows.end(),
                                    [&](const outcome_row& row) { return text == row.name; });
    if (found == outcome_rows.end()) {
        return false;
    }
    value = static_cast<outcome>(found - outcome_rows.begin());
    return true;
}

result<caller_request> read_request(const http_exchange& exchange)
{
    const std::string& path = exchange.path();
    constexpr std::string_view suffix = "/requests";
    const bool valid_path = path.size() > service_prefix.size() + suffix.size() &&
                            path.compare(0, service_prefix.size(), service_prefix) == 0 &&
                            path.compare(path.size() - suffix.size(), suffix.size(), suffix) == 0;
    if (!valid_path) {
        return fail(error_code::not_found, "no such path: " + path);
    }
    caller_request request;
    request.service = path.substr(service_prefix.size(), path.size() - service_prefix.size() - suffix.size());
    for (const text_header& row : text_headers) {
        request.*row.field = exchange.header(row.name).value_or("");
    }
    if (request.idempotency_key.size() > max_key_bytes) {
        return fail(error_code::invalid_argument, "Idempotency-Key is longer than 256 bytes");
    }
    if (request.caller_request_id.size() > max_key_bytes) {
        return fail(error_code::invalid_argument, "X-Request-Id is longer than 256 bytes");
    }
    std::string problem = read_numbers(exchange, request);
    if (problem.empty()) {
        problem = read_flags(exchange, request);
    }
    if (!problem.empty()) {
        return fail(error_code::invalid_argument, std::move(problem));
    }
    request.body = exchange.body();
    return request;
}

caller_answer make_refusal(outcome value, std::string reason, std::int64_t retry_after_ms)
{
    caller_answer answer;
    answer.result = value;
    answer.status = outcome_rows.at(static_cast<std::size_t>(value)).status;
    answer.reason = std::move(reason);
    answer.retry_after_ms = retry_after_ms;
    return answer;
}

void send_answer(http_exchange& exchange, const std::string& request_id, const caller_answer& answer)
{
    http_headers headers = {{"X-Outcome", to_string(answer.result)}, {"X-Request-Id", request_id}};
    if (answer.result == outcome::not_run) {
        constexpr std::int64_t ms_per_s = 1000;
        const std::int64_t seconds =
            std::max<std::int64_t>(1, (answer.retry_after_ms + ms_per_s - 1) / ms_per_s);
        headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    std::string body = answer.body;
    std::string content_type = answer.content_type;
    if (!answer.reason.empty()) {
        content_type = "application/json";
        body = nlohmann::json{{"outcome", to_string(answer.result)},
                              {"reason", answer.reason},
                              {"retry_after_ms", answer.retry_after_ms},
                              {"request_id", request_id}}
                   .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    headers.emplace_back("Content-Type", content_type);
    exchange.reply(answer.status, headers, body);
}

}  // namespace waxwingnotch
