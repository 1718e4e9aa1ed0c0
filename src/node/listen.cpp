#include "node/listen.hpp"

#include "waxwingnotch/base/address.hpp"
#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"
#include "waxwingnotch/base/process.hpp"

#include <optional>

namespace waxwingnotch {

namespace {

constexpr std::int64_t retry_interval_ms =
    200;  // a node that is started again waits at most this much longer
constexpr std::int64_t optional_retry_interval_ms = 1'000;

/// @return the error of the first server that cannot listen
std::optional<error> listen_once(const std::vector<listener>& listeners)
{
    for (const listener& item : listeners) {
        const endpoint target =
            parse_endpoint(item.address).value_or(endpoint{});  // checked with the settings
        const auto port = item.server->listen(target.ip, target.port);
        if (!port) {
            return error{port.error().code, std::string("for ") + item.purpose + ": " + port.error().message};
        }
    }
    return std::nullopt;
}

}  // namespace

result<bool> listen_with_retries(const std::vector<listener>& listeners, std::int64_t limit_ms)
{
    const std::int64_t started_ms = monotonic_ms();
    std::string logged_reason;
    while (std::optional<error> problem = listen_once(listeners)) {
        // A connection to a server that does not run yet would wait instead of being refused.
        for (const listener& item : listeners) {
            item.server->stop_accepting();
        }
        const std::int64_t elapsed_ms = monotonic_ms() - started_ms;
        if (elapsed_ms >= limit_ms) {
            log_event(log_level::error, "listen",
                      {{"outcome", "given up"}, {"reason", problem->message}, {"ms", elapsed_ms}});
            return fail(problem->code, problem->message);
        }
        if (problem->message != logged_reason) {
            logged_reason = problem->message;
            log_event(log_level::warning, "listen",
                      {{"outcome", "repeated"}, {"reason", logged_reason}, {"limit_ms", limit_ms}});
        }
        if (wait_for_stop_signal(retry_interval_ms) != 0) {
            return false;
        }
    }
    if (!logged_reason.empty()) {
        log_event(log_level::info, "listen", {{"outcome", "listening"}, {"ms", monotonic_ms() - started_ms}});
    }
    return true;
}

void optional_listener::start(const std::string& ip, std::uint16_t port, const char* purpose)
{
    const auto bound = server_.listen(ip, port);
    if (bound) {
        retry_.cancel();
        return;
    }
    if (!retry_.active()) {
        log_event(log_level::warning, "listen",
                  {{"outcome", "repeated"},
                   {"reason", std::string("for ") + purpose + ": " + bound.error().message}});
        retry_ =
            loop_.every(optional_retry_interval_ms, [this, ip, port, purpose] { start(ip, port, purpose); });
    }
}

}  // namespace waxwingnotch
