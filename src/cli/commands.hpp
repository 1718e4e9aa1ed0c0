/// @file
/// The subcommands. Each takes the parsed arguments and returns an exit code.
#pragma once

#include <docopt/docopt.h>

#include <map>
#include <string>

namespace waxwingnotch {

using arguments = std::map<std::string, docopt::value>;

int run_serve(const arguments& args);
int run_check(const arguments& args);
int run_publish(const arguments& args);
int run_status(const arguments& args);
int run_watch(const arguments& args);
int run_explain(const arguments& args);
int run_audit(const arguments& args);
int run_drain(const arguments& args);
int run_restore(const arguments& args);
int run_wave(const arguments& args);
int run_node_command(const arguments& args);

/// @return the text of an option, or an empty string if it is not set
std::string option_text(const arguments& args, const std::string& option);

}  // namespace waxwingnotch
