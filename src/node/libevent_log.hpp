/// @file
/// Messages of libevent as log lines.
#pragma once

namespace waxwingnotch {

/// Logs the warnings and errors of libevent as `libevent` lines, and reports an end that libevent decides,
/// such as one without memory, with its message. Call before the first event_loop is made.
void log_libevent_messages();

}  // namespace waxwingnotch
