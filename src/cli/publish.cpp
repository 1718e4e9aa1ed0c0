#include "cli/commands.hpp"
#include "cli/remote.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/hash.hpp"
#include "waxwingnotch/cli/cli.hpp"
#include "waxwingnotch/config/json.hpp"
#include "waxwingnotch/config/parse.hpp"
#include "waxwingnotch/decision/preview.hpp"

#include <algorithm>
#include <iostream>

namespace waxwingnotch {

namespace {

/// Reads and validates the new content, and prints the findings.
/// @return the content as JSON; empty if the file cannot be read or has errors
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
    for (const finding& item : problems.items()) {
        std::cerr << to_string(item) << "\n";
    }
    return problems.has_errors() ? std::string() : content;
}

/// Makes the record to append: a patch against the current content if that is shorter, else the content.
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

std::string duration_text(std::int64_t ms)
{
    constexpr std::int64_t minute_ms = 60'000;
    constexpr std::int64_t hour_ms = 60 * minute_ms;
    if (ms >= 2 * hour_ms) {
        return std::to_string(ms / hour_ms) + " h";
    }
    return ms < minute_ms ? std::to_string(ms / 1000) + " s" : std::to_string(ms / minute_ms) + " min";
}

void print_step(std::size_t number, const preview_step& step)
{
    const host_record& item = step.item;
    std::cout << "step " << number << " after " << duration_text(step.after_ms) << ": "
              << to_string(item.action) << " " << item.host << " in " << item.pool
              << (item.to_pool.empty() ? "" : " to " + item.to_pool) << "\n    " << item.reason << "\n";
    if (!item.alternatives.empty()) {
        std::cout << "    chosen: " << item.alternatives << "\n";
    }
    std::cout << "    authority: inventory " << item.basis.inventory_version << ", rules "
              << item.basis.rules_version << ", " << item.basis.author << "\n";
}

void print_pool(const preview_pool& item)
{
    std::cout << "pool " << item.name << ": budget " << item.budget_before << " -> " << item.budget_after
              << ", available " << item.available_before << " -> " << item.available_after << ", least "
              << item.available_min << (item.available_min < item.budget_after ? "; below its budget" : "")
              << "\n";
}

/// Prints the effects of the publication without appending it.
int print_preview(const fleet_state& state, const publish_record& item)
{
    const std::int64_t now_ms = std::max(state.log_time, wall_ms());
    const preview effects = preview_publication(state, item, now_ms);
    if (!effects.refusal.empty()) {
        std::cerr << "would not be accepted: " << effects.refusal << "\n";
        return exit_findings;
    }
    for (std::size_t index = 0; index < effects.steps.size(); ++index) {
        print_step(index + 1, effects.steps[index]);
    }
    for (const preview_pool& pool : effects.pools) {
        print_pool(pool);
    }
    std::cout << effects.steps.size() << " steps" << (effects.complete ? "" : " and more") << ", about "
              << duration_text(effects.duration_ms);
    if (effects.drain_limit_ms > 0) {
        std::cout << ", and up to " << duration_text(effects.drain_limit_ms) << " more while tasks end";
    }
    std::cout << "; nothing was published\n";
    return exit_ok;
}

}  // namespace

int run_publish(const arguments& args)
{
    const std::string inventory_file = option_text(args, "--inventory");
    const document kind = inventory_file.empty() ? document::rules : document::inventory;
    const std::string file = inventory_file.empty() ? option_text(args, "--rules") : inventory_file;
    const std::string content = read_content(kind, file);
    if (content.empty()) {
        return exit_findings;
    }
    const std::string address = option_text(args, "--log");
    auto folded = fold_log(address);
    if (!folded) {
        std::cerr << folded.error().message << "\n";
        return exit_unavailable;
    }
    const fleet_state& state = folded.value().state;
    const document_state& current =
        kind == document::inventory ? state.inventory_document : state.rules_document;
    publish_record item = make_record(kind, current, content);
    item.replaces = args.at("--replaces").asLong();
    item.author = option_text(args, "--author");
    item.note = option_text(args, "--note");
    if (item.replaces != current.version) {
        std::cerr << to_string(kind) << " version " << current.version << " by " << current.author
                  << " is in force, not " << item.replaces << "\n";
        return exit_conflict;
    }
    if (args.at("--dry-run").asBool()) {
        return print_preview(state, item);
    }
    const append_result done = append_and_wait(address, item.author, item, folded.value());
    if (done.exit_code != exit_ok) {
        std::cerr << "not published: " << done.reason << "\n";
        return done.exit_code;
    }
    const document_state& published = kind == document::inventory ? folded.value().state.inventory_document
                                                                  : folded.value().state.rules_document;
    std::cout << to_string(kind) << " version " << item.replaces + 1 << " is accepted at offset "
              << published.offset << "\n";
    return exit_ok;
}

}  // namespace waxwingnotch
