#include "waxwingnotch/base/crash_report.hpp"
#include "waxwingnotch/base/process.hpp"
#include "waxwingnotch/cli/cli.hpp"

#include <unistd.h>

#include <string_view>

int main(int argc, char** argv)
{
    const std::string_view command = argc > 1 ? argv[1] : "";
    if (command == "node") {
        waxwingnotch::hold_control_signals();
        waxwingnotch::open_standard_streams();
        waxwingnotch::install_crash_report(STDOUT_FILENO);
    }
    if (command == "serve") {
        waxwingnotch::install_crash_report(STDERR_FILENO);
    }
    return waxwingnotch::run_command_line({argv + 1, argv + argc});
}
