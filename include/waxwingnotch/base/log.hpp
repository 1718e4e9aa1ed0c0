/// @file
/// Structured log lines: one JSON object per line, written through Boost.Log.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace waxwingnotch {

/// Severity of a line. Decisions are logged at `info`.
enum class log_level {
    debug,    // detail for developers
    info,     // decisions and changes of state
    warning,  // an operator should look at it
    error,    // an operator has to act
};

/// Value of one field. Strings are escaped as JSON.
using log_value = std::variant<std::string, std::int64_t, double, bool>;

/// One `"key": value` pair of a line.
struct log_field {
    log_field(std::string_view key_in, std::string_view text) : key(key_in), value(std::string(text)) {}
    log_field(std::string_view key_in, const std::string& text) : key(key_in), value(text) {}
    log_field(std::string_view key_in, const char* text) : key(key_in), value(std::string(text)) {}
    log_field(std::string_view key_in, bool flag) : key(key_in), value(flag) {}
    log_field(std::string_view key_in, double number) : key(key_in), value(number) {}
    template <class Integer>
    requires std::is_integral_v<Integer> log_field(std::string_view key_in, Integer number)
        : key(key_in), value(static_cast<std::int64_t>(number))
    {
    }

    std::string_view key;
    log_value value;
};

/// Destination and threshold of log lines.
struct log_options {
    log_level level = log_level::info;  // lines below are dropped
    std::string file;                   // empty: standard error
    std::string node;                   // added to every line as "node"
    bool standard_output = false;       // write to standard output, rate-limited and non-blocking
    int max_lines_per_s = 1'000;        // limit on standard output; lines above it are dropped and counted
};

/// Sets up the sink. Call once at the start of the process.
void init_log(const log_options& options);

/// Writes one line: `{"ts":..., "level":..., "node":..., "event":EVENT, fields...}`.
/// @param level severity
/// @param event fixed name of the kind of line, such as "route" or "move"
/// @param fields inputs and outcome, written in this order
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

/// Waits for the reader of standard output, at most 300 ms, until all accepted lines are written. Call before
/// the process ends.
void flush_log();

/// Parses "debug", "info", "warning" or "error".
/// @return false if @p text is none of them
bool parse_log_level(std::string_view text, log_level& level);

}  // namespace waxwingnotch
