#include "node/libevent_log.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/crash_report.hpp"
#include "waxwingnotch/base/log.hpp"

#include <event2/event.h>

#include <cstdint>
#include <cstdlib>
#include <string>

namespace waxwingnotch {

namespace {

// Without free descriptors each turn of the loop warns about accept(). Logged each time, this would use up
// the rate limit of all other lines.
constexpr std::int64_t repeat_interval_ms = 1'000;
// Code of a failed assertion in libevent, which it calls abort() for. Its public headers have no name for it.
constexpr int abort_code = static_cast<int>(0xdeaddeadU);

struct message_state {
    std::string text;
    std::int64_t logged_ms = 0;  // monotonic
    std::int64_t repeats = 0;    // of the text, that were not logged
};

message_state& last_message()
{
    static message_state state;
    return state;
}

log_level to_log_level(int severity)
{
    return severity == EVENT_LOG_ERR    ? log_level::error
           : severity == EVENT_LOG_WARN ? log_level::warning
                                        : log_level::info;
}

void on_message(int severity, const char* text)
{
    if (severity == EVENT_LOG_DEBUG) {
        return;
    }
    message_state& last = last_message();
    const std::int64_t now_ms = monotonic_ms();
    if (last.text == text && now_ms - last.logged_ms < repeat_interval_ms) {
        ++last.repeats;
        return;
    }
    log_event(to_log_level(severity), "libevent", {{"message", text}, {"repeats", last.repeats}});
    last = {.text = text, .logged_ms = now_ms, .repeats = 0};
}

/// libevent calls exit() with @p code when this returns.
void on_fatal_error(int code)
{
    flush_log();
    report_fatal_error("libevent", last_message().text);
    if (code == abort_code) {
        std::abort();
    }
}

}  // namespace

void log_libevent_messages()
{
    event_set_log_callback(on_message);
    event_set_fatal_callback(on_fatal_error);
}

}  // namespace waxwingnotch
