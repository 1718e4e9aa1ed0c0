#include "waxwingnotch/peer/messages.hpp"

#include <nlohmann/json.hpp>

namespace waxwingnotch {

using nlohmann::json;

// One flat list: round, rules version, then per team the step from the last index and the slots. Small
// numbers take one byte in CBOR, and with 650 teams the indices are most of the message.
static void to_json(json& value, const demand_summary& summary)
{
    value = json::array({summary.round, summary.rules});
    std::uint32_t last = 0;
    for (const auto& [index, slots] : summary.slots_by_team) {
        value.push_back(index - last);
        value.push_back(slots);
        last = index;
    }
}

static void from_json(const json& value, demand_summary& summary)
{
    value.at(0).get_to(summary.round);
    value.at(1).get_to(summary.rules);
    std::uint32_t index = 0;
    for (std::size_t at = 2; at < value.size(); at += 2) {
        index += value.at(at).get<std::uint32_t>();
        summary.slots_by_team.emplace_back(index, value.at(at + 1).get<std::uint32_t>());
    }
}

// Fields that an older node does not send take their defaults.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(heartbeat, node, incarnation, data_centre, offset, log_end,
                                                serving, heard, leaving, demand)

namespace {

json binary_of(const std::string& bytes)
{
    return json::binary({bytes.begin(), bytes.end()});
}

std::string bytes_of(const json& value)
{
    const json::binary_t& bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

struct to_map {
    json operator()(const hello_message& item) const { return {{"t", "hello"}, {"self", item.self}}; }
    json operator()(const beat_message& item) const
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
            items.push_back(json::array({entry.offset, entry.appended_at, binary_of(entry.bytes)}));
        }
        const std::int64_t from = item.entries.empty() ? 0 : item.entries.front().offset;
        return {{"t", "records"}, {"from", from}, {"items", std::move(items)}};
    }
    json operator()(const want_message& item) const { return {{"t", "want"}, {"from", item.from}}; }
    json operator()(const state_message& item) const
    {
        return {{"t", "state"}, {"offset", item.next_offset}, {"bytes", binary_of(item.bytes)}};
    }
    json operator()(const ask_key_message& item) const
    {
        return {{"t", "ask_key"}, {"id", item.id}, {"key", item.key}, {"request", item.request_id}};
    }
    json operator()(const key_message& item) const
    {
        return {{"t", "key"},
                {"id", item.id},
                {"known", item.known},
                {"status", item.status},
                {"outcome", item.outcome},
                {"type", item.content_type},
                {"answer", binary_of(item.body)}};
    }
};

peer_message from_map(const json& map)
{
    const auto kind = map.at("t").get<std::string>();
    if (kind == "hello") {
        return hello_message{map.at("self").get<heartbeat>()};
    }
    if (kind == "beat") {
        beat_message beat{map.at("self").get<heartbeat>()};
        if (map.contains("q")) {
            map.at("q").get_to(beat.self.demand);
        }
        return beat;
    }
    if (kind == "records") {
        records_message message;
        for (const json& item : map.at("items")) {
            message.entries.push_back(
                {item.at(0).get<std::int64_t>(), item.at(1).get<std::int64_t>(), bytes_of(item.at(2))});
        }
        return message;
    }
    if (kind == "want") {
        return want_message{map.at("from").get<std::int64_t>()};
    }
    if (kind == "state") {
        return state_message{map.at("offset").get<std::int64_t>(), bytes_of(map.at("bytes"))};
    }
    if (kind == "ask_key") {
        return ask_key_message{map.at("id").get<std::uint64_t>(), map.at("key").get<std::string>(),
                               map.at("request").get<std::string>()};
    }
    if (kind == "key") {
        return key_message{map.at("id").get<std::uint64_t>(),    map.at("known").get<bool>(),
                           map.at("status").get<std::int32_t>(), map.at("outcome").get<std::string>(),
                           map.at("type").get<std::string>(),    bytes_of(map.at("answer"))};
    }
    throw json::other_error::create(500, "unknown kind of message '" + kind + "'", &map);
}

}  // namespace

std::string encode(const peer_message& message)
{
    std::string bytes;
    json::to_cbor(std::visit(to_map{}, message), bytes);
    return bytes;
}

result<peer_message> decode_peer_message(std::string_view bytes)
{
    try {
        return from_map(json::from_cbor(bytes.begin(), bytes.end()));
    }
    catch (const json::exception& problem) {
        return fail(error_code::malformed, problem.what());
    }
}

}  // namespace waxwingnotch
