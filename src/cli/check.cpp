#include "cli/commands.hpp"

#include "waxwingnotch/cli/cli.hpp"
#include "waxwingnotch/config/parse.hpp"

#include <iostream>
#include <optional>

namespace waxwingnotch {

namespace {

/// Reads the file of @p option; one that cannot be read is a finding.
std::optional<std::string> text_in(const arguments& given, const std::string& option, findings& problems)
{
    const std::string file = text_of(given, option);
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

int run_check(const arguments& given)
{
    findings problems;
    std::optional<inventory> machines;
    std::optional<rules> promises;
    int files = 0;
    if (const auto text = text_in(given, "--settings", problems)) {
        parse_settings(*text, text_of(given, "--settings"), problems);
        ++files;
    }
    if (const auto text = text_in(given, "--inventory", problems)) {
        machines = parse_inventory(*text, text_of(given, "--inventory"), problems);
        ++files;
    }
    if (const auto text = text_in(given, "--rules", problems)) {
        promises = parse_rules(*text, text_of(given, "--rules"), problems);
        ++files;
    }
    if (files == 0 && problems.empty()) {
        std::cerr << "waxwingnotch check: name at least one of --settings, --inventory, --rules\n";
        return exit_usage;
    }
    if (machines && promises) {
        check_together(*machines, *promises, problems);
    }
    for (const finding& one : problems.items()) {
        std::cout << to_string(one) << "\n";
    }
    std::cout << files << " files checked, " << problems.items().size() << " findings\n";
    return problems.has_errors() ? exit_findings : exit_ok;
}

}  // namespace waxwingnotch
