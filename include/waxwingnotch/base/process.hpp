/// @file
/// The process that runs a node: its signals during the start, and what it uses.
#pragma once

#include <cstdint>

namespace waxwingnotch {

/// Opens /dev/null for each of the three standard descriptors that is closed. Otherwise the first socket
/// would get the number of standard output, and log lines would be written into a connection.
void open_standard_streams();

/// Holds SIGHUP, SIGTERM and SIGINT back until release_control_signals(), because their default action would
/// end a process that has not registered its handlers yet. Ignores SIGPIPE and SIGXFSZ, so that a write to a
/// closed connection or to a full log file fails instead of ending the process.
void hold_control_signals();
/// Delivers what was held back, from now on at once.
void release_control_signals();

/// Waits for a held SIGTERM or SIGINT. A held SIGHUP stays held.
/// @return the number of the signal; 0 after @p limit_ms without one
int wait_for_stop_signal(std::int64_t limit_ms);

/// @return how many descriptors the system allows this process
std::int64_t process_descriptor_limit();

/// Whether descriptors are short: from the time when those below 75 % of @p limit are all open, until fewer
/// than 60 % of it are open. Without this distance, the answer would alternate with each connection.
/// @param was_short the answer before
bool descriptors_short(std::int64_t limit, bool was_short);

/// What this process uses; -1 where the system does not tell.
struct process_usage {
    std::int64_t resident_bytes = -1;
    std::int64_t open_descriptors = -1;
    std::int64_t max_descriptors = -1;  // limit of the system on open_descriptors
    std::int64_t processor_ms = -1;     // processor time since the start, of all threads
};

/// Reads /proc.
process_usage read_process_usage();

}  // namespace waxwingnotch
