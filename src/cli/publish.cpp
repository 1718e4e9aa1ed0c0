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
              << item.available_least
              << (item.available_least < item.budget_after ? "; below its budget" : "") << "\n";
}

/// Shows what would follow; appends nothing.
int show_preview(const fleet_state& state, const publish_record& item)
{
    const std::int64_t now_ms = std::max(state.log_time, wall_ms());
    const preview shown = preview_publication(state, item, now_ms);
    if (!shown.refusal.empty()) {
        std::cerr << "would not be accepted: " << shown.refusal << "\n";
        return exit_findings;
    }
    for (std::size_t at = 0; at < shown.steps.size(); ++at) {
        print_step(at + 1, shown.steps[at]);
    }
    for (const preview_pool& pool : shown.pools) {
        print_pool(pool);
    }
    std::cout << shown.steps.size() << " steps" << (shown.complete ? "" : " and more") << ", about "
              << duration_text(shown.duration_ms);
    if (shown.drain_limit_ms > 0) {
        std::cout << ", and up to " << duration_text(shown.drain_limit_ms) << " more while tasks end";
    }
    std::cout << "; nothing was published\n";
    return exit_ok;
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
    if (given.at("--dry-run").asBool()) {
        return show_preview(state, item);
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
