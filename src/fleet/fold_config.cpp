#include "fleet/document_patch.hpp"
#include "fleet/fold_parts.hpp"

#include "waxwingnotch/base/hash.hpp"
#include "waxwingnotch/config/json.hpp"
#include "waxwingnotch/config/parse.hpp"

namespace waxwingnotch {

namespace {

/// Brings the hosts in line with a new inventory. A host that is no longer listed only gets
/// marked: it leaves through a drain, so that its pool's budget is kept.
void take_inventory(fleet_state& state, const record_origin& origin, const publish_record& item)
{
    for (auto& [name, machine] : state.hosts) {
        machine.removed = true;
    }
    for (const host& spec : state.machines.hosts) {
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

/// First finding of @p problems as a rejection.
std::string first_error(const findings& problems)
{
    for (const finding& one : problems.items()) {
        if (one.level == severity::error) {
            return "found " + one.found + ", expected " + one.expected;
        }
    }
    return {};
}

/// The pools that hosts stand in must not vanish under them.
std::string vanished_pool(const fleet_state& state, const inventory& machines)
{
    for (const auto& [name, machine] : state.hosts) {
        bool found = false;
        for (const pool& item : machines.pools) {
            found = found || item.name == machine.pool;
        }
        if (!found) {
            return "host '" + name + "' is still in pool '" + machine.pool + "', which the inventory drops";
        }
    }
    return {};
}

std::string take_content(fleet_state& state, const record_origin& origin, const publish_record& item,
                         const std::string& content, document_state& slot)
{
    findings problems;
    if (item.kind == document::inventory) {
        auto machines = inventory_from_json(content);
        if (!machines) {
            return machines.error().message;
        }
        check_together(machines.value(), state.promises, problems);
        std::string objection = first_error(problems);
        if (objection.empty()) {
            objection = vanished_pool(state, machines.value());
        }
        if (!objection.empty()) {
            return objection;
        }
        state.machines = std::move(machines.value());
    }
    else {
        auto promises = rules_from_json(content);
        if (!promises) {
            return promises.error().message;
        }
        if (state.inventory_document.version > 0) {
            check_together(state.machines, promises.value(), problems);
        }
        if (std::string objection = first_error(problems); !objection.empty()) {
            return objection;
        }
        state.promises = std::move(promises.value());
    }
    slot = {slot.version + 1, item.author, item.note,        origin.offset,
            state.log_time,   content,     item.content_hash};
    if (item.kind == document::inventory) {
        take_inventory(state, origin, item);
    }
    return {};
}

}  // namespace

std::string apply_publish(fleet_state& state, const record_origin& origin, const publish_record& item)
{
    document_state& slot = item.kind == document::inventory ? state.inventory_document : state.rules_document;
    if (item.replaces != slot.version) {
        return "version " + std::to_string(slot.version) + " by " + slot.author + " is in force, not " +
               std::to_string(item.replaces);
    }
    std::string content = item.content;
    if (item.is_patch) {
        auto patched = patch_document(slot.content, item.content);
        if (!patched) {
            return "patch does not fit: " + patched.error().message;
        }
        content = std::move(patched.value());
    }
    if (sha256_hex(content) != item.content_hash) {
        return "content does not have the hash that its author gave";
    }
    const std::int64_t old_version = slot.version;
    std::string objection = take_content(state, origin, item, content, slot);
    if (objection.empty()) {
        state.open_audit.push_back(
            {origin.offset,
             state.log_time,
             "publish",
             to_string(item.kind),
             std::to_string(old_version),
             std::to_string(slot.version),
             item.note,
             item.author,
             {state.inventory_document.version, state.rules_document.version, item.author}});
    }
    return objection;
}

}  // namespace waxwingnotch
