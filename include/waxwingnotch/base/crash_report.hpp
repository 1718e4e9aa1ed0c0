/// @file
/// The last line of a process: why it ends. It is written without the log module, so that it also comes after
/// a fault in the heap or on the stack:
///
///     {"ts":..., "level":"error", "node":..., "event":"process_end", "reason":"signal", "signal":"SIGSEGV",
///      "code":1, "address":"0x0", "uptime_ms":..., "stack":["waxwingnotch+0x12ab", ...]}
///
/// A frame is a module and an offset in it, as `addr2line -e MODULE OFFSET` takes them. An abort()
/// after a report adds no second one. A kill from outside (SIGKILL) leaves no line.
#pragma once

#include <cstdint>
#include <string_view>

namespace waxwingnotch {

/// Reports the signals that end a process by default, and uncaught exceptions, from now on. After the line,
/// the default action of the signal follows, so that the exit status stays that of the signal. Call it first,
/// from the main thread; a stack overflow of another thread is not reported.
/// @param fd descriptor of the log stream
void install_crash_report(int fd);

/// Sets the node name of the line; at most 63 bytes of it are written.
void set_crash_report_node(std::string_view node);

/// Tells whether the log has written a part of a line. The report then starts a new line.
void set_log_line_open(bool open);

/// Writes the line of an orderly end, with `status` in place of a stack. The rate limit of the log does not
/// apply.
/// @param reason fixed name, such as "stopped"
/// @param detail text for an operator; empty: left out
/// @param status exit status that follows
void report_process_end(std::string_view reason, std::string_view detail, int status);

/// Writes the line of an end that a library decided, with the stack of the caller.
void report_fatal_error(std::string_view reason, std::string_view detail);

}  // namespace waxwingnotch
