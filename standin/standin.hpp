/// @file
/// Stand-ins of the platform for the demo and the tests: the append-only log, the host list, a worker,
/// and a relay that injects network faults. `POST /fault` with a JSON object sets faults.
#pragma once

#include "waxwingnotch/net/event_loop.hpp"
#include "waxwingnotch/net/http_server.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace standin {

/// Handles the HTTP requests of a stand-in.
using role = std::function<void(const waxwingnotch::http_exchange_ptr& exchange)>;

/// Merges the JSON object of `POST /fault` into @p faults and replies 200, or 400 if the body is no object.
inline void update_faults(nlohmann::json& faults, const waxwingnotch::http_exchange_ptr& exchange)
{
    const nlohmann::json body = nlohmann::json::parse(exchange->body(), nullptr, false);
    if (body.is_object()) {
        faults.update(body);
    }
    exchange->reply(body.is_object() ? 200 : 400, {}, "{}");
}

/// The append-only log.
/// @param retention number of newest records that readers can get
role make_log(waxwingnotch::event_loop& loop, std::int64_t retention);
/// The host list.
/// @param lag_ms delay until the list shows a change
role make_hosts(std::int64_t lag_ms);
/// A relay of TCP connections.
role make_relay(waxwingnotch::event_loop& loop);
/// A worker.
/// @param slots number of tasks that can run at a time
role make_worker(waxwingnotch::event_loop& loop, std::uint32_t slots);

}  // namespace standin
