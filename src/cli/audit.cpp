#include "cli/commands.hpp"
#include "cli/remote.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/cli/cli.hpp"

#include <nlohmann/json.hpp>

#include <iostream>

namespace waxwingnotch {

namespace {

void print_json(const audit_entry& entry)
{
    std::cout << nlohmann::ordered_json{{"offset", entry.offset},
                                        {"at", entry.at},
                                        {"what", entry.what},
                                        {"subject", entry.subject},
                                        {"from", entry.from},
                                        {"to", entry.to},
                                        {"reason", entry.reason},
                                        {"by", entry.by},
                                        {"inventory_version", entry.basis.inventory_version},
                                        {"rules_version", entry.basis.rules_version},
                                        {"authority", entry.basis.author}}
                     .dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace)
              << "\n";
}

void print_text(const audit_entry& entry)
{
    std::cout << entry.offset << "  " << entry.at << "  " << entry.what << " " << entry.subject;
    if (!entry.from.empty() || !entry.to.empty()) {
        std::cout << "  " << entry.from << " -> " << entry.to;
    }
    std::cout << "  because " << entry.reason << "  by " << entry.by << "  on inventory "
              << entry.basis.inventory_version << ", rules " << entry.basis.rules_version;
    if (!entry.basis.author.empty()) {
        std::cout << " of " << entry.basis.author;
    }
    std::cout << "\n";
}

}  // namespace

int run_audit(const arguments& args)
{
    const std::string address = option_text(args, "--log");
    const auto folded = fold_log(address);
    if (!folded) {
        const bool log_lost = folded.error().code == error_code::not_found;
        std::cerr << (log_lost ? "missing: every decision; " : "") << folded.error().message << "\n";
        return log_lost ? exit_findings : exit_unavailable;
    }
    const audit_report report = read_audit(address, folded.value().state);
    const std::string host = option_text(args, "--host");
    const bool json = args.at("--json").asBool();
    std::size_t shown = 0;
    for (const audit_entry& entry : report.entries) {
        if (!host.empty() && entry.subject != host) {
            continue;
        }
        json ? print_json(entry) : print_text(entry);
        ++shown;
    }
    for (const std::string& gap : report.missing) {
        std::cerr << "missing: " << gap << "\n";
    }
    if (shown == 0) {
        std::cerr << "no decision on record" << (host.empty() ? "" : " for host '" + host + "'") << "\n";
    }
    return shown == 0 || !report.missing.empty() ? exit_findings : exit_ok;
}

}  // namespace waxwingnotch
