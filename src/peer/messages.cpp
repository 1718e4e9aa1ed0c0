#include "waxwingnotch/peer/messages.hpp"

#include "waxwingnotch/base/cbor_reader.hpp"

#include <nlohmann/json.hpp>

namespace waxwingnotch {

using nlohmann::json;

// A flat array: round, rules version, then for each team the difference from the previous index, and the
// slots. Small numbers take one byte in CBOR, and with 650 teams the indices make up most of the message.
static void to_json(json& value, const demand_summary& summary)
{
    value = json::array({summary.round, summary.rules_version});
    std::uint32_t previous_index = 0;
    for (const auto& [index, slots] : summary.slots_by_team) {
        value.push_back(index - previous_index);
        value.push_back(slots);
        previous_index = index;
    }
}

static void from_json(const json& value, demand_summary& summary)
{
    value.at(0).get_to(summary.round);
    value.at(1).get_to(summary.rules_version);
    std::uint32_t index = 0;
    for (std::size_t at = 2; at < value.size(); at += 2) {
        index += value.at(at).get<std::uint32_t>();
        summary.slots_by_team.emplace_back(index, value.at(at + 1).get<std::uint32_t>());
    }
}

// Members that an older node does not send keep their defaults.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(heartbeat, node, incarnation, data_centre, offset, log_end,
                                                serving, heard, leaving, demand)

namespace {

json to_binary(const std::string& bytes)
{
    return json::binary({bytes.begin(), bytes.end()});
}

std::string to_bytes(const json& value)
{
    const json::binary_t& bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

struct message_encoder {
    json operator()(const hello_message& item) const { return {{"t", "hello"}, {"self", item.self}}; }
    json operator()(const heartbeat_message& item) const
    {
        json map = {{"t", "beat"}, {"self", item.self}};
        if (item.self.demand.round >= 0) {
            map["q"] = item.self.demand;
        }
        return map;
    }
    json operator()(const records_message& item) const
    {
        json items = json::array();
        for (const log_entry& entry : item.entries) {
            items.push_back(json::array({entry.offset, entry.appended_at, to_binary(entry.bytes)}));
        }
        const std::int64_t from = item.entries.empty() ? 0 : item.entries.front().offset;
        return {{"t", "records"}, {"from", from}, {"items", std::move(items)}};
    }
    json operator()(const records_request_message& item) const
    {
        return {{"t", "want"}, {"from", item.from}};
    }
    json operator()(const state_message& item) const
    {
        return {{"t", "state"}, {"offset", item.next_offset}, {"bytes", to_binary(item.bytes)}};
    }
    json operator()(const key_query_message& item) const
    {
        return {{"t", "ask_key"}, {"id", item.id}, {"key", item.key}, {"request", item.request_id}};
    }
    json operator()(const key_answer_message& item) const
    {
        return {{"t", "key"},
                {"id", item.id},
                {"known", item.known},
                {"status", item.status},
                {"outcome", item.outcome},
                {"type", item.content_type},
                {"answer", to_binary(item.body)}};
    }
};

peer_message decode_map(const json& map)
{
    const auto kind = map.at("t").get<std::string>();
    if (kind == "hello") {
        return hello_message{map.at("self").get<heartbeat>()};
    }
    if (kind == "beat") {
        heartbeat_message message{map.at("self").get<heartbeat>()};
        if (map.contains("q")) {
            map.at("q").get_to(message.self.demand);
        }
        return message;
    }
    if (kind == "records") {
        records_message message;
        for (const json& item : map.at("items")) {
            message.entries.push_back(
                {item.at(0).get<std::int64_t>(), item.at(1).get<std::int64_t>(), to_bytes(item.at(2))});
        }
        return message;
    }
    if (kind == "want") {
        return records_request_message{map.at("from").get<std::int64_t>()};
    }
    if (kind == "state") {
        return state_message{map.at("offset").get<std::int64_t>(), to_bytes(map.at("bytes"))};
    }
    if (kind == "ask_key") {
        return key_query_message{map.at("id").get<std::uint64_t>(), map.at("key").get<std::string>(),
                                 map.at("request").get<std::string>()};
    }
    if (kind == "key") {
        return key_answer_message{map.at("id").get<std::uint64_t>(),    map.at("known").get<bool>(),
                                  map.at("status").get<std::int32_t>(), map.at("outcome").get<std::string>(),
                                  map.at("type").get<std::string>(),    to_bytes(map.at("answer"))};
    }
    throw json::other_error::create(500, "unknown kind of message '" + kind + "'", &map);
}

}  // namespace

std::string encode(const peer_message& message)
{
    std::string bytes;
    json::to_cbor(std::visit(message_encoder{}, message), bytes);
    return bytes;
}

result<peer_message> decode_peer_message(std::string_view bytes)
{
    try {
        return decode_map(parse_bounded_cbor(bytes));
    }
    catch (const json::exception& problem) {
        return fail(error_code::malformed, problem.what());
    }
}

}  // namespace waxwingnotch
