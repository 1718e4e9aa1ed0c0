#include "cli/commands.hpp"

#include "waxwingnotch/base/log.hpp"
#include "waxwingnotch/cli/cli.hpp"
#include "waxwingnotch/config/parse.hpp"
#include "waxwingnotch/entry/entry_node.hpp"

#include <iostream>

namespace waxwingnotch {

int run_serve(const arguments& args)
{
    const std::string file = option_text(args, "--settings");
    const auto text = read_file(file);
    if (!text) {
        std::cerr << text.error().message << "\n";
        return exit_findings;
    }
    findings problems;
    const settings options = parse_settings(text.value(), file, problems);
    for (const finding& item : problems.items()) {
        std::cerr << to_string(item) << "\n";
    }
    if (problems.has_errors()) {
        return exit_findings;
    }
    log_options log;
    parse_log_level(options.log_level, log.level);
    log.file = options.log_file;
    log.node = options.node_id;
    init_log(log);
    entry_node node(options);
    return node.run();
}

}  // namespace waxwingnotch
