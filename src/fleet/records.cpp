#include "waxwingnotch/fleet/records.hpp"

#include "fleet/record_json.hpp"

#include "waxwingnotch/base/cbor_reader.hpp"
#include "waxwingnotch/base/hash.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace waxwingnotch {

using nlohmann::json;

namespace {

template <class Enum, std::size_t Count>
const char* enum_name(const std::array<const char*, Count>& names, Enum value)
{
    const auto index = static_cast<std::size_t>(value);
    return index < Count ? names[index] : "unnamed";
}

/// Decodes the record type at position @p kind of the variant.
template <std::size_t Index = 0>
record read_record(std::size_t kind, const json& body)
{
    if constexpr (Index < std::variant_size_v<record>) {
        if (kind == Index) {
            return body.get<std::variant_alternative_t<Index, record>>();
        }
        return read_record<Index + 1>(kind, body);
    }
    else {
        throw json::other_error::create(500, "unknown kind of record " + std::to_string(kind), &body);
    }
}

}  // namespace

std::string encode(const batch& value)
{
    json records = json::array();
    for (const record& item : value.records) {
        const json body = std::visit([](const auto& typed) { return json(typed); }, item);
        records.push_back(json::array({item.index(), body}));
    }
    const json root = {{"w", value.writer},
                       {"i", value.incarnation},
                       {"s", value.seq},
                       {"o", value.seen_offset},
                       {"r", std::move(records)}};
    std::string bytes;
    json::to_cbor(root, bytes);
    return bytes;
}

result<batch> decode(std::string_view bytes)
{
    try {
        const json root = parse_bounded_cbor(bytes);
        batch value;
        root.at("w").get_to(value.writer);
        root.at("i").get_to(value.incarnation);
        root.at("s").get_to(value.seq);
        root.at("o").get_to(value.seen_offset);
        for (const json& item : root.at("r")) {
            value.records.push_back(read_record(item.at(0).get<std::size_t>(), item.at(1)));
        }
        return value;
    }
    catch (const json::exception& problem) {
        return fail(error_code::malformed, problem.what());
    }
}

std::string claim_key(std::string_view service, std::string_view idempotency_key)
{
    constexpr std::size_t key_digits = 32;  // 128 bits make collisions negligible
    const std::string text = std::string(service) + '\0' + std::string(idempotency_key);
    return sha256_hex(text).substr(0, key_digits);
}

const char* to_string(document kind)
{
    return enum_name(std::array{"inventory", "rules"}, kind);
}

const char* to_string(host_action action)
{
    return enum_name(std::array{"move", "drain", "drained", "reboot", "restore", "remove"}, action);
}

const char* to_string(host_condition condition)
{
    return enum_name(std::array{"up", "doubtful", "down"}, condition);
}

const char* to_string(wave_action action)
{
    return enum_name(std::array{"start", "pause", "resume", "finish"}, action);
}

const char* to_string(claim_end end)
{
    return enum_name(std::array{"released", "done", "unknown"}, end);
}

}  // namespace waxwingnotch
