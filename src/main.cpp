#include "waxwingnotch/base/crash_report.hpp"
#include "waxwingnotch/base/process.hpp"
#include "waxwingnotch/cli/cli.hpp"

#include <unistd.h>

#include <string_view>

namespace {

/// Holds the signals of a node before the initializers of the libraries run: a platform that sends SIGHUP for
/// new settings does not wait until a process that it has just started handles them.
void hold_signals_before_initializers(int argc, char** argv, char** /*environment*/)
{
    if (argc > 1 && std::string_view(argv[1]) == "node") {
        waxwingnotch::hold_control_signals();
    }
}

// The C library calls these functions once all shared libraries are loaded.
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const before_initializers)(int, char**, char**) = hold_signals_before_initializers;

}  // namespace

int main(int argc, char** argv)
{
    const std::string_view command = argc > 1 ? argv[1] : "";
    if (command == "node") {
        waxwingnotch::open_standard_streams();
        waxwingnotch::install_crash_report(STDOUT_FILENO);
    }
    if (command == "serve") {
        waxwingnotch::install_crash_report(STDERR_FILENO);
    }
    return waxwingnotch::run_command_line({argv + 1, argv + argc});
}
