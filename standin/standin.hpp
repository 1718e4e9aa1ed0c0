/// @file
/// Stand-ins of the platform for the demo and the tests: the append-only log, the host list,
/// and a worker. Faults are switched over HTTP with `POST /fault` and a JSON object.
#pragma once

#include "waxwingnotch/net/event_loop.hpp"
#include "waxwingnotch/net/http_server.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace standin {

/// Answers the HTTP requests of a role.
using role = std::function<void(const waxwingnotch::http_exchange_ptr& exchange)>;

/// Merges the JSON object of `POST /fault` into @p faults and answers.
inline void take_faults(nlohmann::json& faults, const waxwingnotch::http_exchange_ptr& exchange)
{
    const nlohmann::json body = nlohmann::json::parse(exchange->body(), nullptr, false);
    if (body.is_object()) {
        faults.update(body);
    }
    exchange->reply(body.is_object() ? 200 : 400, {}, "{}");
}

/// @param retention records that readers can get
role make_log(waxwingnotch::event_loop& loop, std::int64_t retention);
/// @param lag_ms a change shows this much later
role make_hosts(std::int64_t lag_ms);
role make_relay(waxwingnotch::event_loop& loop);
/// @param slots tasks at a time
role make_worker(waxwingnotch::event_loop& loop, std::uint32_t slots);

}  // namespace standin
