#include "waxwingnotch/node/node.hpp"

#include "cli/commands.hpp"
#include "documents.hpp"

#include "waxwingnotch/base/crash_report.hpp"
#include "waxwingnotch/cli/cli.hpp"

#include <charconv>
#include <cstdlib>
#include <iostream>

namespace waxwingnotch {

int run_node_command(const arguments& args)
{
    node_options options;
    options.settings_file = option_text(args, "--settings");
    if (options.settings_file.empty()) {
        const char* file = std::getenv(adapter::settings_variable);
        options.settings_file = file == nullptr ? "" : file;
    }
    if (options.settings_file.empty()) {
        std::cerr << "waxwingnotch node: neither --settings nor " << adapter::settings_variable
                  << " names a settings file\n";
        report_process_end("command line", "no settings file is named", exit_usage);
        return exit_usage;
    }
    const std::string port = option_text(args, "--metrics-port");
    const char* const end = port.data() + port.size();
    const auto [parsed_to, problem] = std::from_chars(port.data(), end, options.metrics_port);
    if (problem != std::errc() || parsed_to != end) {
        std::cerr << "waxwingnotch node: --metrics-port=" << port << " is not a port from 0 to 65535\n";
        report_process_end("command line", "--metrics-port is not a port", exit_usage);
        return exit_usage;
    }
    return run_node(options);
}

}  // namespace waxwingnotch
