#include "waxwingnotch/fleet/snapshot.hpp"

#include "fleet/audit_json.hpp"
#include "fleet/record_json.hpp"

#include "waxwingnotch/base/cbor_reader.hpp"
#include "waxwingnotch/base/hash.hpp"
#include "waxwingnotch/config/json.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace waxwingnotch {

using nlohmann::json;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(document_state, version, author, note, offset, published_at, content, hash)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(wave_state, number, open, paused, started_at, finished_at, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(segment_state, hash, offset, appended_at, entries)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(writer_state, incarnation, seq, offset)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(snapshot_state, id, up_to, first_chunk, done_offset, appended_at)

namespace {

constexpr int format = 1;  // of the encoding; other formats are rejected

// Claims make up most of a state. Each group is encoded on its own, which bounds the memory of the
// intermediate JSON; it takes several hundred bytes per claim.
constexpr std::size_t claims_per_group = 1'000;

using claim_item = std::pair<const std::string, claim_state>;

// The JSON form of `host` in config omits members at their default; a snapshot stores all of them.
json spec_to_json(const host& spec)
{
    return json::array({spec.name, spec.address, spec.rack, spec.pool, spec.cores, spec.memory_gb,
                        spec.accelerators, spec.slots, spec.connections});
}

host spec_from_json(const json& body)
{
    host spec;
    body.at(0).get_to(spec.name);
    body.at(1).get_to(spec.address);
    body.at(2).get_to(spec.rack);
    body.at(3).get_to(spec.pool);
    body.at(4).get_to(spec.cores);
    body.at(5).get_to(spec.memory_gb);
    body.at(6).get_to(spec.accelerators);
    body.at(7).get_to(spec.slots);
    body.at(8).get_to(spec.connections);
    return spec;
}

json host_to_json(const host_state& machine)
{
    return {{"spec", spec_to_json(machine.spec)},
            {"pool", machine.pool},
            {"epoch", machine.epoch},
            {"phase", static_cast<int>(machine.phase)},
            {"condition", static_cast<int>(machine.condition)},
            {"condition_since", machine.condition_since},
            {"evidence", machine.evidence},
            {"phase_since", machine.phase_since},
            {"maintained_at", machine.maintained_at},
            {"removed", machine.removed},
            {"reason", machine.reason},
            {"basis", machine.basis},
            {"changed_offset", machine.changed_offset}};
}

host_state host_from_json(const json& body)
{
    host_state machine;
    machine.spec = spec_from_json(body.at("spec"));
    body.at("pool").get_to(machine.pool);
    body.at("epoch").get_to(machine.epoch);
    read_enum(body, "phase", machine.phase, host_phase::rebooting);
    read_enum(body, "condition", machine.condition, host_condition::down);
    body.at("condition_since").get_to(machine.condition_since);
    body.at("evidence").get_to(machine.evidence);
    body.at("phase_since").get_to(machine.phase_since);
    body.at("maintained_at").get_to(machine.maintained_at);
    body.at("removed").get_to(machine.removed);
    body.at("reason").get_to(machine.reason);
    body.at("basis").get_to(machine.basis);
    body.at("changed_offset").get_to(machine.changed_offset);
    return machine;
}

json claim_to_json(const claim_item& item)
{
    const claim_state& claim = item.second;
    const int end = claim.ended ? static_cast<int>(claim.end) : -1;
    return json::array(
        {item.first, claim.node, claim.incarnation, claim.request_id, claim.claimed_at, claim.offset, end});
}

/// Encodes the claims, oldest first. Claims of the same time are ordered by key; they expire together.
json claims_to_json(const fleet_state& state)
{
    std::vector<const claim_item*> sorted;
    sorted.reserve(state.claims.size());
    for (const claim_item& item : state.claims) {
        sorted.push_back(&item);
    }
    std::sort(sorted.begin(), sorted.end(), [](const claim_item* left, const claim_item* right) {
        return std::tie(left->second.claimed_at, left->first) <
               std::tie(right->second.claimed_at, right->first);
    });
    json groups = json::array();
    for (std::size_t at = 0; at < sorted.size(); at += claims_per_group) {
        json group = json::array();
        for (std::size_t i = at; i < std::min(at + claims_per_group, sorted.size()); ++i) {
            group.push_back(claim_to_json(*sorted[i]));
        }
        groups.push_back(json::binary(json::to_cbor(group)));
    }
    return groups;
}

void read_claim(const json& body, fleet_state& state)
{
    claim_state claim;
    const auto key = body.at(0).get<std::string>();
    body.at(1).get_to(claim.node);
    body.at(2).get_to(claim.incarnation);
    body.at(3).get_to(claim.request_id);
    body.at(4).get_to(claim.claimed_at);
    body.at(5).get_to(claim.offset);
    const auto end = body.at(6).get<std::int64_t>();
    claim.ended = end >= 0;
    if (claim.ended) {
        read_enum(json{{"end", end}}, "end", claim.end, claim_end::unknown);
    }
    state.claim_order.emplace_back(claim.claimed_at, key);
    state.claims[key] = std::move(claim);
}

void read_claims(const json& groups, fleet_state& state)
{
    for (const json& item : groups) {
        const json::binary_t& bytes = item.get_binary();
        const std::string_view text(reinterpret_cast<const char*>(bytes.data()), bytes.size());
        for (const json& claim : parse_bounded_cbor(text)) {
            read_claim(claim, state);
        }
    }
}

/// Reads the documents in force and parses inventory and rules from them.
void read_documents(const json& root, fleet_state& state)
{
    root.at("inventory").get_to(state.inventory_document);
    root.at("rules").get_to(state.rules_document);
    const auto throw_error = [](const error& problem) {
        throw json::other_error::create(500, problem.message, nullptr);
    };
    if (state.inventory_document.version > 0) {
        auto parsed_inventory = inventory_from_json(state.inventory_document.content);
        parsed_inventory ? void(state.inventory_in_force = std::move(parsed_inventory.value()))
                         : throw_error(parsed_inventory.error());
    }
    if (state.rules_document.version > 0) {
        auto parsed_rules = rules_from_json(state.rules_document.content);
        parsed_rules ? void(state.rules_in_force = std::move(parsed_rules.value()))
                     : throw_error(parsed_rules.error());
    }
}

fleet_state read_state(const json& root)
{
    if (root.at("format").get<std::int64_t>() != format) {
        throw json::other_error::create(500, "unsupported format of the state", nullptr);
    }
    fleet_state state;
    root.at("next_offset").get_to(state.next_offset);
    root.at("log_time").get_to(state.log_time);
    read_documents(root, state);
    for (const json& item : root.at("hosts")) {
        host_state machine = host_from_json(item);
        state.hosts[machine.spec.name] = std::move(machine);
    }
    root.at("epoch_floor").get_to(state.epoch_floor);
    read_claims(root.at("claims"), state);
    root.at("writers").get_to(state.writers);
    root.at("wave").get_to(state.wave);
    root.at("open_audit").get_to(state.open_audit);
    root.at("segments").get_to(state.segments);
    root.at("snapshot").get_to(state.snapshot);
    return state;
}

}  // namespace

std::string encode_state(const fleet_state& state)
{
    json hosts = json::array();
    for (const auto& [name, machine] : state.hosts) {
        hosts.push_back(host_to_json(machine));
    }
    const json root = {{"format", format},
                       {"next_offset", state.next_offset},
                       {"log_time", state.log_time},
                       {"inventory", state.inventory_document},
                       {"rules", state.rules_document},
                       {"hosts", std::move(hosts)},
                       {"epoch_floor", state.epoch_floor},
                       {"claims", claims_to_json(state)},
                       {"writers", state.writers},
                       {"wave", state.wave},
                       {"open_audit", state.open_audit},
                       {"segments", state.segments},
                       {"snapshot", state.snapshot}};
    std::string bytes;
    json::to_cbor(root, bytes);
    return bytes;
}

result<fleet_state> decode_state(std::string_view bytes)
{
    try {
        return read_state(parse_bounded_cbor(bytes));
    }
    catch (const json::exception& problem) {
        return fail(error_code::malformed, problem.what());
    }
}

std::vector<snapshot_chunk> split_snapshot(const std::string& id, std::string_view bytes)
{
    std::vector<snapshot_chunk> chunks;
    do {
        const std::string_view part = bytes.substr(0, snapshot_chunk_bytes);
        chunks.push_back({id, static_cast<std::int64_t>(chunks.size()), std::string(part)});
        bytes.remove_prefix(part.size());
    } while (!bytes.empty());
    return chunks;
}

snapshot_done make_snapshot_done(const std::string& id, std::string_view bytes, std::int64_t up_to,
                                 std::int64_t first_chunk)
{
    const std::size_t chunks = (bytes.size() + snapshot_chunk_bytes - 1) / snapshot_chunk_bytes;
    return {id, up_to, first_chunk, static_cast<std::int64_t>(std::max<std::size_t>(chunks, 1)),
            sha256_hex(bytes)};
}

result<std::string> assemble_snapshot(const snapshot_done& done, std::span<const snapshot_chunk> chunks)
{
    std::map<std::int64_t, const snapshot_chunk*> parts;
    for (const snapshot_chunk& chunk : chunks) {
        if (chunk.id == done.id && chunk.index >= 0 && chunk.index < done.chunks) {
            parts.try_emplace(chunk.index, &chunk);
        }
    }
    if (static_cast<std::int64_t>(parts.size()) != done.chunks) {
        return fail(error_code::malformed, "snapshot " + done.id + " has " + std::to_string(parts.size()) +
                                               " of " + std::to_string(done.chunks) + " chunks");
    }
    std::string bytes;
    for (const auto& [index, chunk] : parts) {
        bytes += chunk->bytes;
    }
    if (sha256_hex(bytes) != done.hash) {
        return fail(error_code::malformed, "snapshot " + done.id + " does not have the hash that it states");
    }
    return bytes;
}

}  // namespace waxwingnotch
