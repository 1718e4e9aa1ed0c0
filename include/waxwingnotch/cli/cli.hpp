/// @file
/// The command line: one binary with subcommands.
#pragma once

#include <string>
#include <vector>

namespace waxwingnotch {

// ---- Exit codes, the same for every subcommand ----

constexpr int exit_ok = 0;
constexpr int exit_findings = 1;      // the input has errors, or nothing was found
constexpr int exit_usage = 2;         // the command line is wrong
constexpr int exit_requests_cut = 3;  // `serve`: requests were cut off at the drain limit
constexpr int exit_conflict = 4;      // another version or epoch is in force
constexpr int exit_unavailable = 5;   // the platform or the node cannot be reached
constexpr int exit_unknown = 6;       // the change may or may not have taken effect

/// Runs one command.
/// @param command_line the arguments without the program's name
/// @return one of the exit codes
int run_command_line(const std::vector<std::string>& command_line);

}  // namespace waxwingnotch
