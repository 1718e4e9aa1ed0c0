#include "fleet/document_patch.hpp"
#include "fleet/fold_parts.hpp"

#include "waxwingnotch/base/hash.hpp"
#include "waxwingnotch/config/json.hpp"
#include "waxwingnotch/config/parse.hpp"

namespace waxwingnotch {

namespace {

/// Reconciles the hosts with a new inventory. A host that is no longer listed is only marked as removed;
/// it is deleted after a drain, so that its pool's budget is kept.
void reconcile_hosts(fleet_state& state, const record_origin& origin, const publish_record& item)
{
    for (auto& [name, machine] : state.hosts) {
        machine.removed = true;
    }
    for (const host& spec : state.inventory_in_force.hosts) {
        const auto [at, added] = state.hosts.try_emplace(spec.name);
        host_state& machine = at->second;
        machine.spec = spec;
        machine.removed = false;
        if (added) {
            machine.pool = spec.pool;
            machine.epoch = state.epoch_floor + 1;
            machine.condition_since = state.log_time;
            machine.phase_since = state.log_time;
            machine.reason = "new in the inventory";
            machine.basis = {state.inventory_document.version, state.rules_document.version, item.author};
            machine.changed_offset = origin.offset;
        }
    }
}

/// @return the first error of @p problems as a reason for rejection; empty without errors
std::string first_error(const findings& problems)
{
    for (const finding& one : problems.items()) {
        if (one.level == severity::error) {
            return "found " + one.found + ", expected " + one.expected;
        }
    }
    return {};
}

/// Rejects an inventory that drops a pool which still contains hosts.
std::string dropped_pool_error(const fleet_state& state, const inventory& new_inventory)
{
    for (const auto& [name, machine] : state.hosts) {
        bool found = false;
        for (const pool& item : new_inventory.pools) {
            found = found || item.name == machine.pool;
        }
        if (!found) {
            return "host '" + name + "' is still in pool '" + machine.pool + "', which the inventory drops";
        }
    }
    return {};
}

std::string apply_content(fleet_state& state, const record_origin& origin, const publish_record& item,
                          const std::string& content, document_state& current)
{
    findings problems;
    if (item.kind == document::inventory) {
        auto new_inventory = inventory_from_json(content);
        if (!new_inventory) {
            return new_inventory.error().message;
        }
        check_consistency(new_inventory.value(), state.rules_in_force, problems);
        std::string rejection = first_error(problems);
        if (rejection.empty()) {
            rejection = dropped_pool_error(state, new_inventory.value());
        }
        if (!rejection.empty()) {
            return rejection;
        }
        state.inventory_in_force = std::move(new_inventory.value());
    }
    else {
        auto new_rules = rules_from_json(content);
        if (!new_rules) {
            return new_rules.error().message;
        }
        if (state.inventory_document.version > 0) {
            check_consistency(state.inventory_in_force, new_rules.value(), problems);
        }
        if (std::string rejection = first_error(problems); !rejection.empty()) {
            return rejection;
        }
        state.rules_in_force = std::move(new_rules.value());
    }
    current = {current.version + 1, item.author, item.note,        origin.offset,
               state.log_time,      content,     item.content_hash};
    if (item.kind == document::inventory) {
        reconcile_hosts(state, origin, item);
    }
    return {};
}

}  // namespace

std::string apply_publish(fleet_state& state, const record_origin& origin, const publish_record& item)
{
    document_state& current =
        item.kind == document::inventory ? state.inventory_document : state.rules_document;
    if (item.replaces != current.version) {
        return "version " + std::to_string(current.version) + " by " + current.author + " is in force, not " +
               std::to_string(item.replaces);
    }
    std::string content = item.content;
    if (item.is_patch) {
        auto patched = patch_document(current.content, item.content);
        if (!patched) {
            return "patch does not fit: " + patched.error().message;
        }
        content = std::move(patched.value());
    }
    if (sha256_hex(content) != item.content_hash) {
        return "content does not have the hash that its author gave";
    }
    const std::int64_t old_version = current.version;
    std::string rejection = apply_content(state, origin, item, content, current);
    if (rejection.empty()) {
        state.open_audit.push_back(
            {origin.offset,
             state.log_time,
             "publish",
             to_string(item.kind),
             std::to_string(old_version),
             std::to_string(current.version),
             item.note,
             item.author,
             {state.inventory_document.version, state.rules_document.version, item.author}});
    }
    return rejection;
}

}  // namespace waxwingnotch
