/// @file
/// Stand-ins of the platform for the demo and the tests: the append-only log, the host list,
/// and a worker. Faults are switched over HTTP with `POST /fault` and a JSON object.
#pragma once

#include "waxwingnotch/net/event_loop.hpp"
#include "waxwingnotch/net/http_server.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace standin {

/// A role that answers HTTP requests.
class role {
public:
    role() = default;
    virtual ~role() = default;
    role(const role&) = delete;
    role& operator=(const role&) = delete;
    role(role&&) = delete;
    role& operator=(role&&) = delete;
    virtual void handle(const waxwingnotch::http_exchange_ptr& exchange) = 0;
};

/// Settings of the log.
struct log_options {
    std::int64_t retention_records = 1'000'000;  // records kept
    std::int64_t max_appends_per_s = 500;        // further appends get 429
};

/// Settings of the host list.
struct hosts_options {
    std::int64_t lag_ms = 1'000;  // a change shows this much later
};

/// Settings of a worker.
struct worker_options {
    std::string host;
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    std::int64_t usage_lag_ms = 1'000;
};

std::unique_ptr<role> make_log(waxwingnotch::event_loop& loop, const log_options& options);
std::unique_ptr<role> make_hosts(waxwingnotch::event_loop& loop, const hosts_options& options);
std::unique_ptr<role> make_worker(waxwingnotch::event_loop& loop, const worker_options& options);

}  // namespace standin
