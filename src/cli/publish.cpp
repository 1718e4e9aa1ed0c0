#include "cli/commands.hpp"
#include "cli/remote.hpp"

#include "waxwingnotch/base/hash.hpp"
#include "waxwingnotch/cli/cli.hpp"
#include "waxwingnotch/config/json.hpp"
#include "waxwingnotch/config/parse.hpp"

#include <iostream>

namespace waxwingnotch {

namespace {

/// The new content as JSON; empty after findings, which are printed.
std::string read_content(document kind, const std::string& file)
{
    const auto text = read_file(file);
    if (!text) {
        std::cerr << text.error().message << "\n";
        return {};
    }
    findings problems;
    std::string content;
    if (kind == document::inventory) {
        content = inventory_to_json(parse_inventory(text.value(), file, problems));
    }
    else {
        content = rules_to_json(parse_rules(text.value(), file, problems));
    }
    for (const finding& one : problems.items()) {
        std::cerr << to_string(one) << "\n";
    }
    return problems.has_errors() ? std::string() : content;
}

/// Sends only what changed, if that is shorter.
publish_record make_record(document kind, const document_state& current, const std::string& content)
{
    publish_record item;
    item.kind = kind;
    item.content = content;
    item.content_hash = sha256_hex(content);
    if (current.version > 0) {
        std::string patch = make_patch(current.content, content);
        if (patch.size() < content.size()) {
            item.is_patch = true;
            item.content = std::move(patch);
        }
    }
    return item;
}

}  // namespace

int run_publish(const arguments& given)
{
    const std::string inventory_file = text_of(given, "--inventory");
    const document kind = inventory_file.empty() ? document::rules : document::inventory;
    const std::string file = inventory_file.empty() ? text_of(given, "--rules") : inventory_file;
    const std::string content = read_content(kind, file);
    if (content.empty()) {
        return exit_findings;
    }
    const std::string address = text_of(given, "--log");
    auto folded = fold_log(address);
    if (!folded) {
        std::cerr << folded.error().message << "\n";
        return exit_unavailable;
    }
    const fleet_state& state = folded.value().state;
    const document_state& current =
        kind == document::inventory ? state.inventory_document : state.rules_document;
    publish_record item = make_record(kind, current, content);
    item.replaces = given.at("--replaces").asLong();
    item.author = text_of(given, "--author");
    item.note = text_of(given, "--note");
    if (item.replaces != current.version) {
        std::cerr << to_string(kind) << " version " << current.version << " by " << current.author
                  << " is in force, not " << item.replaces << "\n";
        return exit_conflict;
    }
    const append_result done = append_and_wait(address, item.author, item, folded.value());
    if (done.exit_code != exit_ok) {
        std::cerr << "not published: " << done.reason << "\n";
        return done.exit_code;
    }
    const document_state& now = kind == document::inventory ? folded.value().state.inventory_document
                                                            : folded.value().state.rules_document;
    std::cout << to_string(kind) << " version " << item.replaces + 1 << " is accepted at offset "
              << now.offset << "\n";
    return exit_ok;
}

}  // namespace waxwingnotch
