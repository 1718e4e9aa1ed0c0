#include "fleet/random_log.hpp"

#include "fleet/audit_json.hpp"
#include "fleet/document_patch.hpp"

#include "waxwingnotch/base/hash.hpp"
#include "waxwingnotch/config/json.hpp"

namespace waxwingnotch {

std::string random_log::pick(std::initializer_list<const char*> names)
{
    return *(names.begin() + below(names.size()));
}

std::string random_log::mutated(std::string bytes)
{
    for (std::size_t changes = 1 + below(4); changes > 0 && !bytes.empty(); --changes) {
        const std::size_t at = below(bytes.size());
        switch (below(4)) {
        case 0:
            bytes[at] = static_cast<char>(below(256));
            break;
        case 1:
            bytes.resize(at);
            break;
        case 2:
            bytes.insert(at, bytes.substr(at, 1 + below(8)));
            break;
        default:
            bytes.insert(at, 1, static_cast<char>(below(256)));
        }
    }
    return bytes;
}

std::string random_log::random_patch()
{
    const auto path = [this] {
        return pick({"", "/hosts", "/hosts/h1", "/hosts/h1/cores", "/hosts/h1/cores/x", "/services/web/0",
                     "/pools/-", "/none/x", "no pointer"});
    };
    nlohmann::json steps = nlohmann::json::array();
    for (std::size_t count = 1 + below(3); count > 0; --count) {
        steps.push_back({{"op", pick({"add", "remove", "replace", "move", "copy", "test", "other"})},
                         {"path", path()},
                         {"from", path()},
                         {"value", below(2)}});
    }
    return steps.dump();
}

record random_log::publication(const fleet_state& state)
{
    publish_record item;
    item.kind = chance(50) ? document::inventory : document::rules;
    const bool is_inventory = item.kind == document::inventory;
    const document_state& current = is_inventory ? state.inventory_document : state.rules_document;
    std::string content;
    if (is_inventory) {
        inventory next;
        next.data_centres = {{"dc", "r"}};
        next.racks = {{"rack", "dc"}};
        next.pools = {{"p", false}, {"q", false}, {"s", true}};
        for (const char* name : {"h1", "h2", "h3", "h4", "h5", "h6"}) {
            if (chance(85)) {
                next.hosts.push_back({name, "127.0.0.1:1", "rack", pick({"p", "q", "s", "p"})});
            }
        }
        content = inventory_to_json(next);
    }
    else {
        rules next;
        next.services = {{"web", "p", static_cast<std::uint32_t>(below(3))},
                         {"mail", chance(95) ? "q" : "none", static_cast<std::uint32_t>(below(3))}};
        content = rules_to_json(next);
    }
    item.replaces = chance(90) ? current.version : current.version + 1 - static_cast<std::int64_t>(below(3));
    item.author = pick({"ann", "bob"});
    item.is_patch = current.version > 0 && chance(40);
    item.content_hash = chance(95) ? sha256_hex(content) : "other";
    item.content = item.is_patch ? make_patch(current.content, content) : content;
    if (chance(5)) {
        item.content = mutated(item.content);
    }
    if (item.is_patch && chance(10)) {
        item.content = random_patch();
    }
    if (chance(50)) {  // makes the hash match again, so that the mutated content gets parsed
        const auto patched =
            item.is_patch ? patch_document(current.content, item.content) : result<std::string>(item.content);
        item.content_hash = patched ? sha256_hex(patched.value()) : item.content_hash;
    }
    return item;
}

record random_log::host_action_record(const fleet_state& state)
{
    host_record item;
    item.action = static_cast<host_action>(below(6));
    item.host = pick({"h1", "h2", "h3", "h4", "h5", "h6", "none"});
    item.to_pool = pick({"p", "q", "s", "s", "none"});
    item.reason = "reason " + std::to_string(below(10));
    item.basis = {state.inventory_document.version, state.rules_document.version, "ann"};
    const auto found = state.hosts.find(item.host);
    item.pool = found == state.hosts.end() || chance(3) ? "p" : found->second.pool;
    item.epoch = found == state.hosts.end() ? 1 : found->second.epoch - (chance(5) ? 1 : 0);
    return item;
}

record random_log::claim_or_claim_end()
{
    const std::string key = "k" + std::to_string(below(12));
    const std::string request = "r" + std::to_string(below(2));
    if (chance(50)) {
        return claim_record{key, request};
    }
    return claim_end_record{key, request, static_cast<claim_end>(below(3))};
}

record random_log::segment(const fleet_state& state)
{
    audit_segment item;
    item.index = static_cast<std::int64_t>(state.segments.size());
    item.previous = state.segments.empty() ? "" : state.segments.back().hash;
    const std::size_t count = std::min(state.open_audit.size(), 1 + below(6));
    const auto end = state.open_audit.begin() + static_cast<std::ptrdiff_t>(count);
    item.entries = audit_entries_to_json({state.open_audit.begin(), end});
    if (chance(10)) {
        item.entries = mutated(item.entries);
    }
    item.hash = sha256_hex(item.previous + item.entries);
    if (chance(10)) {
        item.index -= 1;
    }
    return item;
}

record random_log::random_record(const fleet_state& state)
{
    const std::int64_t next_offset = state.next_offset;
    switch (below(16)) {
    case 0:
        return publication(state);
    case 1:
    case 2:
        return condition_record{pick({"h1", "h2", "h3", "h4", "none"}), static_cast<host_condition>(below(3)),
                                "evidence"};
    case 3: {
        const auto action = static_cast<wave_action>(below(4));
        return wave_record{action, state.wave.number + (action == wave_action::start ? 1 : 0), "reason"};
    }
    case 4:
    case 5:
    case 6:
    case 7:
        return claim_or_claim_end();
    case 8:
        return segment(state);
    case 9:
        return snapshot_done{"id", next_offset - 2 - static_cast<std::int64_t>(below(4)), next_offset - 2,
                             static_cast<std::int64_t>(below(3)), "hash"};
    case 10:
        return snapshot_chunk{"id", 0, std::string("\xff\x00", 2)};
    default:
        return host_action_record(state);
    }
}

std::string random_log::new_batch(const fleet_state& state)
{
    batch value;
    value.writer = pick({"a", "b", "c"});
    writer& author = writers_[value.writer];
    if (chance(2)) {
        author = {author.incarnation + 1, 0};
    }
    value.incarnation = author.incarnation - (chance(2) ? 1 : 0);
    value.seq = ++author.seq;
    value.seen_offset = state.next_offset - static_cast<std::int64_t>(below(3));
    if (chance(3)) {
        value.seen_offset += chance(50) ? 5 : -stale_after_offsets;
    }
    const bool empty = state.inventory_document.version == 0 || state.rules_document.version == 0;
    for (std::size_t records = 1 + below(3); records > 0; --records) {
        value.records.push_back(empty && chance(80) ? publication(state) : random_record(state));
    }
    return encode(value);
}

log_entry random_log::next(const fleet_state& state)
{
    constexpr std::int64_t hour_ms = 3'600'000;
    log_time_ += chance(3) ? static_cast<std::int64_t>(below(20)) * hour_ms
                           : static_cast<std::int64_t>(below(50)) - 10;
    std::string bytes;
    if (!delayed_.empty() && chance(40)) {
        bytes = delayed_[below(delayed_.size())];
        std::erase(delayed_, bytes);
    }
    else if (!appended_.empty() && chance(5)) {
        bytes = appended_[below(appended_.size())];
    }
    else {
        bytes = new_batch(state);
    }
    if (chance(5)) {
        delayed_.push_back(bytes);
    }
    if (chance(4)) {
        bytes = mutated(bytes);
    }
    appended_.push_back(bytes);
    return {state.next_offset, log_time_, bytes};
}

}  // namespace waxwingnotch
