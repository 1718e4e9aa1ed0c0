#include "waxwingnotch/cli/cli.hpp"

#include "cli/commands.hpp"
#include "cli/usage.hpp"

#include "waxwingnotch/base/build_info.hpp"

#include <iostream>
#include <stdexcept>

namespace waxwingnotch {

namespace {

/// One subcommand.
struct subcommand {
    const char* name;
    const char* usage;
    int (*run)(const arguments& args);
    bool long_running = false;  // an exception ends the process with a report, not with a usage text
};

constexpr subcommand commands[] = {
    {"serve", usage_serve, run_serve, true},
    {"check", usage_check, run_check},
    {"publish", usage_publish, run_publish},
    {"watch", usage_watch, run_watch},
    {"status", usage_status, run_status},
    {"explain", usage_explain, run_explain},
    {"audit", usage_audit, run_audit},
    {"drain", usage_drain, run_drain},
    {"restore", usage_restore, run_restore},
    {"wave", usage_wave, run_wave},
    {"node", usage_node, run_node_command, true},
};

int run_subcommand(const subcommand& command, const std::vector<std::string>& command_line)
{
    arguments args;
    try {
        args = docopt::docopt_parse(command.usage, command_line, true, false);
        if (!command.long_running) {
            return command.run(args);
        }
    }
    catch (const std::logic_error& problem) {
        // std::stol() throws this for an option value that is not an integer. docopt uses it as well.
        std::cerr << "waxwingnotch " << command.name
                  << ": an option that needs an integer has another value (" << problem.what() << ")\n\n"
                  << command.usage;
        return exit_usage;
    }
    catch (const docopt::DocoptExitHelp&) {
        std::cout << command.usage;
        return exit_ok;
    }
    catch (const docopt::DocoptArgumentError& problem) {
        std::cerr << "waxwingnotch " << command.name << ": " << problem.what() << "\n\n" << command.usage;
        return exit_usage;
    }
    // Outside of the handlers: an exception that nothing catches is reported with the stack of its throw.
    // Within them, a std::out_of_range of a running node would end it as a wrong command line.
    return command.run(args);
}

}  // namespace

std::string option_text(const arguments& args, const std::string& option)
{
    const auto found = args.find(option);
    return found != args.end() && found->second ? found->second.asString() : std::string();
}

int run_command_line(const std::vector<std::string>& command_line)
{
    const std::string name = command_line.empty() ? "--help" : command_line.front();
    if (name == "--help" || name == "-h") {
        std::cout << usage_overview;
        return command_line.empty() ? exit_usage : exit_ok;
    }
    if (name == "--version") {
        const build_info build = program_build();
        std::cout << "waxwingnotch " << build.version << ", sources " << build.sources << "\n";
        return exit_ok;
    }
    for (const subcommand& command : commands) {
        if (name == command.name) {
            return run_subcommand(command, command_line);
        }
    }
    std::cerr << "waxwingnotch: unknown command '" << name << "'\n\n" << usage_overview;
    return exit_usage;
}

}  // namespace waxwingnotch
