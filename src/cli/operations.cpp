// What an operator asks of single hosts, entry nodes and the maintenance wave.
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

/// Appends @p item and reports; @p what says in the past tense what was done.
int append_and_report(const arguments& given, log_fold& folded, record item, const std::string& what)
{
    const append_result done =
        append_and_wait(text_of(given, "--log"), text_of(given, "--author"), std::move(item), folded);
    if (done.exit_code != exit_ok) {
        std::cerr << "not done: " << done.reason << "\n";
        return done.exit_code;
    }
    std::cout << what << "\n";
    return exit_ok;
}

/// Proposes one action on the host that the command line names.
int act_on_host(const arguments& given, host_action action)
{
    auto folded = fold_log(text_of(given, "--log"));
    if (!folded) {
        std::cerr << folded.error().message << "\n";
        return exit_unavailable;
    }
    const fleet_state& state = folded.value().state;
    const std::string name = given.at("<name>").asString();
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
    item.reason = text_of(given, "--reason");
    item.basis = {state.inventory_document.version, state.rules_document.version, text_of(given, "--author")};
    const char* now = action == host_action::drain ? " is draining" : " is serving again";
    const std::string what = "host " + name + " of pool " + item.pool + now;
    return append_and_report(given, folded.value(), item, what);
}

}  // namespace

int run_drain(const arguments& given)
{
    if (given.at("node").asBool()) {
        return drain_node(text_of(given, "--node"));
    }
    return act_on_host(given, host_action::drain);
}

int run_restore(const arguments& given)
{
    return act_on_host(given, host_action::restore);
}

int run_wave(const arguments& given)
{
    auto folded = fold_log(text_of(given, "--log"));
    if (!folded) {
        std::cerr << folded.error().message << "\n";
        return exit_unavailable;
    }
    const bool pause = given.at("pause").asBool();
    wave_record item;
    item.action = pause ? wave_action::pause : wave_action::resume;
    item.wave = folded.value().state.wave.number;
    item.reason = text_of(given, "--author") + ": " + text_of(given, "--reason");
    const std::string what = "wave " + std::to_string(item.wave) + (pause ? " is paused" : " goes on");
    return append_and_report(given, folded.value(), item, what);
}

}  // namespace waxwingnotch
