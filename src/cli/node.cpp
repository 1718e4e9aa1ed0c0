#include "waxwingnotch/node/node.hpp"

#include "cli/commands.hpp"
#include "documents.hpp"

#include "waxwingnotch/cli/cli.hpp"

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
        return exit_usage;
    }
    const std::string port = option_text(args, "--metrics-port");
    const long number = std::stol(port);
    if (number < 0 || number > 65'535) {
        std::cerr << "waxwingnotch node: --metrics-port=" << port << " is not a port from 0 to 65535\n";
        return exit_usage;
    }
    options.metrics_port = static_cast<std::uint16_t>(number);
    return run_node(options);
}

}  // namespace waxwingnotch
