#include "cli/commands.hpp"

#include "waxwingnotch/cli/cli.hpp"
#include "waxwingnotch/config/parse.hpp"

#include <iostream>
#include <optional>

namespace waxwingnotch {

namespace {

/// Reads the file that @p option names; a file that cannot be read is a finding.
/// @return nothing if the option is not set or the file cannot be read
std::optional<std::string> read_option_file(const arguments& args, const std::string& option,
                                            findings& problems)
{
    const std::string file = option_text(args, option);
    if (file.empty()) {
        return std::nullopt;
    }
    const auto text = read_file(file);
    if (!text) {
        problems.error({file}, text.error().message, "a readable file");
        return std::nullopt;
    }
    return text.value();
}

}  // namespace

int run_check(const arguments& args)
{
    findings problems;
    std::optional<inventory> machines;
    std::optional<rules> rule_set;
    int files = 0;
    if (const auto text = read_option_file(args, "--settings", problems)) {
        parse_settings(*text, option_text(args, "--settings"), problems);
        ++files;
    }
    if (const auto text = read_option_file(args, "--inventory", problems)) {
        machines = parse_inventory(*text, option_text(args, "--inventory"), problems);
        ++files;
    }
    if (const auto text = read_option_file(args, "--rules", problems)) {
        rule_set = parse_rules(*text, option_text(args, "--rules"), problems);
        ++files;
    }
    if (files == 0 && problems.empty()) {
        std::cerr << "waxwingnotch check: name at least one of --settings, --inventory, --rules\n";
        return exit_usage;
    }
    if (machines && rule_set) {
        check_consistency(*machines, *rule_set, problems);
    }
    for (const finding& item : problems.items()) {
        std::cout << to_string(item) << "\n";
    }
    std::cout << files << " files checked, " << problems.items().size() << " findings\n";
    return problems.has_errors() ? exit_findings : exit_ok;
}

}  // namespace waxwingnotch
