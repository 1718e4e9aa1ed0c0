#include "cli/commands.hpp"
#include "cli/remote.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/cli/cli.hpp"

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <iostream>

namespace waxwingnotch {

namespace {

using nlohmann::ordered_json;

/// Phase of an entry node and the versions it has in force.
struct node_versions {
    std::string address;
    bool answered = false;
    std::string phase;
    std::int64_t inventory = 0;
    std::int64_t rules = 0;

    bool operator==(const node_versions&) const = default;
};

node_versions fetch_versions(const std::string& address)
{
    node_versions found;
    found.address = address;
    http_call call;
    call.address = address;
    call.path = "/v1/log-info";
    call.timeout_ms = 2'000;
    const http_answer answer = fetch(call);
    const auto page = ordered_json::parse(answer.body, nullptr, false);
    if (answer.outcome != call_outcome::answered || answer.status != 200 || !page.is_object()) {
        return found;
    }
    found.answered = true;
    found.phase = page.value("phase", "");
    found.inventory = page["inventory"].value("version", std::int64_t{0});
    found.rules = page["rules"].value("version", std::int64_t{0});
    return found;
}

/// Prints the state of @p node: on a terminal over the current line, else as one JSON line.
void print_progress(const node_versions& node, bool terminal, std::size_t in_force, std::size_t nodes)
{
    if (terminal) {
        std::cout << "\r" << in_force << " of " << nodes << " nodes in force; " << node.address
                  << (node.answered ? " " + node.phase : " does not answer") << "\x1b[K" << std::flush;
        return;
    }
    std::cout << ordered_json{{"node", node.address}, {"answers", node.answered},
                              {"phase", node.phase},  {"inventory", node.inventory},
                              {"rules", node.rules},  {"in_force_on", in_force},
                              {"nodes", nodes}}
                     .dump(-1, ' ', false, ordered_json::error_handler_t::replace)
              << "\n"
              << std::flush;
}

}  // namespace

int run_watch(const arguments& args)
{
    const std::vector<std::string> addresses = args.at("--node").asStringList();
    const std::int64_t inventory = args.at("--inventory-version").asLong();
    const std::int64_t rules = args.at("--rules-version").asLong();
    const std::int64_t deadline_ms = monotonic_ms() + args.at("--timeout-ms").asLong();
    const bool terminal = isatty(STDOUT_FILENO) == 1;
    constexpr useconds_t poll_interval_us = 100'000;
    std::vector<node_versions> previous(addresses.size());
    while (true) {
        std::size_t in_force = 0;
        for (std::size_t index = 0; index < addresses.size(); ++index) {
            const node_versions now = fetch_versions(addresses[index]);
            const bool has_versions = now.answered && now.inventory >= inventory && now.rules >= rules &&
                                      now.inventory > 0 && now.rules > 0;
            in_force += has_versions ? 1 : 0;
            if (!(now == previous[index])) {
                previous[index] = now;
                print_progress(now, terminal, in_force, addresses.size());
            }
        }
        if (in_force == addresses.size()) {
            std::cout << (terminal ? "\n" : "") << "in force on all " << in_force << " nodes\n";
            return exit_ok;
        }
        if (monotonic_ms() > deadline_ms) {
            std::cout << (terminal ? "\n" : "") << "in force on " << in_force << " of " << addresses.size()
                      << " nodes when the time was over\n";
            return exit_findings;
        }
        usleep(poll_interval_us);
    }
}

int run_status(const arguments& args)
{
    if (args.at("--watch").asBool()) {
        return run_watch(args);
    }
    int code = exit_ok;
    for (const std::string& address : args.at("--node").asStringList()) {
        http_call call;
        call.address = address;
        call.path = "/v1/status";
        const http_answer answer = fetch(call);
        if (answer.outcome != call_outcome::answered) {
            std::cerr << "entry node " << address << " does not answer\n";
            code = exit_unavailable;
            continue;
        }
        std::cout << answer.body;
    }
    return code;
}

int run_explain(const arguments& args)
{
    std::string kind = "host";
    for (const char* candidate : {"pool", "request"}) {
        kind = args.at(candidate).asBool() ? candidate : kind;
    }
    const std::string name = args.at("<name>").asString();
    const std::string path = "/v1/explain/" + kind + "/";
    int code = exit_unavailable;
    for (const std::string& address : args.at("--node").asStringList()) {
        http_call call;
        call.address = address;
        call.path = path + name;
        const http_answer answer = fetch(call);
        if (answer.outcome == call_outcome::answered && answer.status == 200) {
            std::cout << answer.body;
            return exit_ok;
        }
        code = answer.outcome == call_outcome::answered ? exit_findings : code;
    }
    if (code == exit_findings) {
        std::cerr << "no entry node knows " << kind << " '" << name << "'\n";
    }
    else {
        std::cerr << "no entry node answers\n";
    }
    return code;
}

}  // namespace waxwingnotch
