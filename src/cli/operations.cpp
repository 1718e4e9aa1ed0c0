// Commands for single hosts, entry nodes and the maintenance wave.
#include "cli/commands.hpp"
#include "cli/remote.hpp"

#include "waxwingnotch/cli/cli.hpp"

#include <iostream>

namespace waxwingnotch {

namespace {

/// Asks an entry node to stop.
int drain_node(const std::string& address)
{
    http_call call;
    call.method = "POST";
    call.address = address;
    call.path = "/v1/drain";
    const http_answer answer = fetch(call);
    if (answer.outcome != call_outcome::answered || answer.status != 202) {
        std::cerr << "entry node " << address << " does not answer\n";
        return answer.bytes_sent ? exit_unknown : exit_unavailable;
    }
    std::cout << "entry node " << address << " is draining\n";
    return exit_ok;
}

/// Appends @p item and prints the result.
/// @param message printed after success
int append_and_report(const arguments& args, log_fold& folded, record item, const std::string& message)
{
    const append_result done =
        append_and_wait(option_text(args, "--log"), option_text(args, "--author"), std::move(item), folded);
    if (done.exit_code != exit_ok) {
        std::cerr << "not done: " << done.reason << "\n";
        return done.exit_code;
    }
    std::cout << message << "\n";
    return exit_ok;
}

/// Appends @p action for the host that the command line names.
int append_host_action(const arguments& args, host_action action)
{
    auto folded = fold_log(option_text(args, "--log"));
    if (!folded) {
        std::cerr << folded.error().message << "\n";
        return exit_unavailable;
    }
    const fleet_state& state = folded.value().state;
    const std::string name = args.at("<name>").asString();
    const auto found = state.hosts.find(name);
    if (found == state.hosts.end()) {
        std::cerr << "unknown host '" << name << "'\n";
        return exit_findings;
    }
    host_record item;
    item.action = action;
    item.host = name;
    item.pool = found->second.pool;
    item.epoch = found->second.epoch;
    item.reason = option_text(args, "--reason");
    item.basis = {state.inventory_document.version, state.rules_document.version,
                  option_text(args, "--author")};
    const char* new_state = action == host_action::drain ? " is draining" : " is serving again";
    const std::string message = "host " + name + " of pool " + item.pool + new_state;
    return append_and_report(args, folded.value(), item, message);
}

}  // namespace

int run_drain(const arguments& args)
{
    if (args.at("node").asBool()) {
        return drain_node(option_text(args, "--node"));
    }
    return append_host_action(args, host_action::drain);
}

int run_restore(const arguments& args)
{
    return append_host_action(args, host_action::restore);
}

int run_wave(const arguments& args)
{
    auto folded = fold_log(option_text(args, "--log"));
    if (!folded) {
        std::cerr << folded.error().message << "\n";
        return exit_unavailable;
    }
    const bool pause = args.at("pause").asBool();
    wave_record item;
    item.action = pause ? wave_action::pause : wave_action::resume;
    item.wave = folded.value().state.wave.number;
    item.reason = option_text(args, "--author") + ": " + option_text(args, "--reason");
    const std::string message = "wave " + std::to_string(item.wave) + (pause ? " is paused" : " goes on");
    return append_and_report(args, folded.value(), item, message);
}

}  // namespace waxwingnotch
