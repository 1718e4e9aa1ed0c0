/// @file
/// JSON mapping of the records; the CBOR form is derived from it.
#pragma once

#include "waxwingnotch/fleet/records.hpp"

#include <nlohmann/json.hpp>

namespace waxwingnotch {

/// Reads an enumerator.
/// @throws nlohmann::json::exception if the number is not in 0 .. @p last
template <class Enum>
void read_enum(const nlohmann::json& body, const char* key, Enum& value, Enum last)
{
    const auto number = body.at(key).get<std::int64_t>();
    if (number < 0 || number > static_cast<std::int64_t>(last)) {
        throw nlohmann::json::other_error::create(500, std::string("bad value of ") + key, &body);
    }
    value = static_cast<Enum>(number);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(authority, inventory_version, rules_version, author)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(claim_record, key, request_id)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(snapshot_done, id, up_to, first_chunk, chunks, hash)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(audit_segment, index, previous, entries, hash)

inline void to_json(nlohmann::json& body, const publish_record& item)
{
    body = {{"kind", static_cast<int>(item.kind)},
            {"replaces", item.replaces},
            {"author", item.author},
            {"note", item.note},
            {"is_patch", item.is_patch},
            {"content", item.content},
            {"content_hash", item.content_hash}};
}

inline void from_json(const nlohmann::json& body, publish_record& item)
{
    read_enum(body, "kind", item.kind, document::rules);
    body.at("replaces").get_to(item.replaces);
    body.at("author").get_to(item.author);
    body.at("note").get_to(item.note);
    body.at("is_patch").get_to(item.is_patch);
    body.at("content").get_to(item.content);
    body.at("content_hash").get_to(item.content_hash);
}

inline void to_json(nlohmann::json& body, const host_record& item)
{
    body = {{"action", static_cast<int>(item.action)},
            {"host", item.host},
            {"pool", item.pool},
            {"to_pool", item.to_pool},
            {"epoch", item.epoch},
            {"reason", item.reason},
            {"alternatives", item.alternatives},
            {"basis", item.basis}};
}

inline void from_json(const nlohmann::json& body, host_record& item)
{
    read_enum(body, "action", item.action, host_action::remove);
    body.at("host").get_to(item.host);
    body.at("pool").get_to(item.pool);
    body.at("to_pool").get_to(item.to_pool);
    body.at("epoch").get_to(item.epoch);
    body.at("reason").get_to(item.reason);
    body.at("alternatives").get_to(item.alternatives);
    body.at("basis").get_to(item.basis);
}

inline void to_json(nlohmann::json& body, const condition_record& item)
{
    body = {
        {"host", item.host}, {"condition", static_cast<int>(item.condition)}, {"evidence", item.evidence}};
}

inline void from_json(const nlohmann::json& body, condition_record& item)
{
    body.at("host").get_to(item.host);
    read_enum(body, "condition", item.condition, host_condition::down);
    body.at("evidence").get_to(item.evidence);
}

inline void to_json(nlohmann::json& body, const wave_record& item)
{
    body = {{"action", static_cast<int>(item.action)}, {"wave", item.wave}, {"reason", item.reason}};
}

inline void from_json(const nlohmann::json& body, wave_record& item)
{
    read_enum(body, "action", item.action, wave_action::finish);
    body.at("wave").get_to(item.wave);
    body.at("reason").get_to(item.reason);
}

inline void to_json(nlohmann::json& body, const claim_end_record& item)
{
    body = {{"key", item.key}, {"request_id", item.request_id}, {"end", static_cast<int>(item.end)}};
}

inline void from_json(const nlohmann::json& body, claim_end_record& item)
{
    body.at("key").get_to(item.key);
    body.at("request_id").get_to(item.request_id);
    read_enum(body, "end", item.end, claim_end::unknown);
}

// Chunks hold CBOR, which is not valid in a JSON string, so they are encoded as a byte string.
inline void to_json(nlohmann::json& body, const snapshot_chunk& item)
{
    body = {{"id", item.id},
            {"index", item.index},
            {"bytes", nlohmann::json::binary({item.bytes.begin(), item.bytes.end()})}};
}

inline void from_json(const nlohmann::json& body, snapshot_chunk& item)
{
    body.at("id").get_to(item.id);
    body.at("index").get_to(item.index);
    const nlohmann::json& bytes = body.at("bytes");
    if (!bytes.is_binary()) {
        throw nlohmann::json::other_error::create(500, "snapshot chunk without a byte string", &body);
    }
    item.bytes.assign(bytes.get_binary().begin(), bytes.get_binary().end());
}

}  // namespace waxwingnotch
