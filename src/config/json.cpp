#include "waxwingnotch/config/json.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>

namespace waxwingnotch {

using nlohmann::json;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(data_centre, name, region)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(rack, name, data_centre)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(pool, name, spare)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(host, name, address, rack, pool, cores, memory_gb,
                                                accelerators, slots, connections)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(service_rule, name, pool, min_hosts, target_hosts,
                                                max_run_time_ms, queue_limit, max_size_mb)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(team_rule, name, quota_slots)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(cost_weights, buffer, moves, waiting, rollout)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(wave_rule, enabled, period_days, max_parallel, max_per_rack,
                                                stop_after_failed)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(retry_rule, budget_ratio, max_attempts, backoff_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(rules, services, teams, weights, wave, retry, spare_min_hosts,
                                                repair_after_ms)

namespace {

/// Converts a list to an object keyed by name, so that a patch refers to a host by its name and not by its
/// position in a list.
template <class Item>
json by_name(const std::vector<Item>& items)
{
    json object = json::object();
    for (const Item& item : items) {
        json value = item;
        value.erase("name");
        object[item.name] = std::move(value);
    }
    return object;
}

template <class Item>
std::vector<Item> items_of(const json& object)
{
    std::vector<Item> items;
    for (const auto& [name, value] : object.items()) {
        auto item = value.template get<Item>();
        item.name = name;
        items.push_back(std::move(item));
    }
    return items;
}

constexpr int max_nesting = 16;               // documents need 4
constexpr double max_real = 4'294'967'295.0;  // fits each type of integer field
constexpr auto max_integer = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());

/// Rejects what the library follows by recursion or converts with an undefined result: deep nesting, integers
/// beyond 64 bits with sign, and real numbers that do not fit the integer field in which they may stand.
bool check_event(int depth, json::parse_event_t event, json& value)
{
    const bool too_large =
        event == json::parse_event_t::value &&
        ((value.is_number_float() && !(value.get<double>() > -1 && value.get<double>() <= max_real)) ||
         (value.is_number_unsigned() && value.get<std::uint64_t>() > max_integer));
    if (depth > max_nesting || too_large) {
        throw json::other_error::create(500, "nested too deeply, or a number is out of range", nullptr);
    }
    return true;
}

template <class Value, class Read>
result<Value> read_json(std::string_view text, Read read)
{
    try {
        return read(json::parse(text, check_event));
    }
    catch (const json::exception& problem) {
        return fail(error_code::malformed, problem.what());
    }
}

}  // namespace

std::string inventory_to_json(const inventory& machines)
{
    const json root = {{"data_centres", by_name(machines.data_centres)},
                       {"racks", by_name(machines.racks)},
                       {"pools", by_name(machines.pools)},
                       {"hosts", by_name(machines.hosts)}};
    return root.dump();
}

std::string rules_to_json(const rules& rule_set)
{
    json root = rule_set;
    root["services"] = by_name(rule_set.services);
    root["teams"] = by_name(rule_set.teams);
    return root.dump();
}

result<inventory> inventory_from_json(std::string_view text)
{
    return read_json<inventory>(text, [](const json& root) {
        inventory machines;
        machines.data_centres = items_of<data_centre>(root.at("data_centres"));
        machines.racks = items_of<rack>(root.at("racks"));
        machines.pools = items_of<pool>(root.at("pools"));
        machines.hosts = items_of<host>(root.at("hosts"));
        return machines;
    });
}

result<rules> rules_from_json(std::string_view text)
{
    return read_json<rules>(text, [](json root) {
        auto services = items_of<service_rule>(root.at("services"));
        auto teams = items_of<team_rule>(root.at("teams"));
        root.erase("services");
        root.erase("teams");
        auto rule_set = root.get<rules>();
        rule_set.services = std::move(services);
        rule_set.teams = std::move(teams);
        return rule_set;
    });
}

std::string make_patch(std::string_view from, std::string_view to)
{
    return json::diff(json::parse(from), json::parse(to)).dump();
}

}  // namespace waxwingnotch
