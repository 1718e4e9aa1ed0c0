#include "config/names.hpp"
#include "config/toml_reader.hpp"

#include "waxwingnotch/config/parse.hpp"

namespace waxwingnotch {

namespace {

constexpr std::uint32_t max_count = 100'000;
constexpr std::int64_t max_duration_ms = 30LL * 24 * 3600 * 1000;
constexpr double max_weight = 1e6;

/// Calls @p visit with the table `[key]` if it is there.
template <class Visit>
void one_table(const toml::table& root, std::string_view key, std::string_view file, findings& problems,
               Visit visit)
{
    const toml::node* node = root.get(key);
    if (node == nullptr) {
        return;
    }
    const toml::table* table = node->as_table();
    if (table == nullptr) {
        problems.error(place_of(*node, file), "a value for '" + std::string(key) + "'",
                       "a table [" + std::string(key) + "]");
        return;
    }
    table_reader reader(*table, "[" + std::string(key) + "]", file, problems);
    visit(reader, *table);
    reader.finish();
}

void read_services(const toml::table& root, std::string_view file, findings& problems, rules& promises)
{
    name_table names{"service"};
    each_table(root, "service", file, problems, [&](const toml::table& table) {
        table_reader reader(table, "[[service]]", file, problems);
        service_rule item;
        reader.text("name", item.name, true);
        reader.text("pool", item.pool, true);
        reader.number("min_hosts", item.min_hosts, 0, max_count);
        reader.number("target_hosts", item.target_hosts, 0, max_count);
        reader.number("max_run_time_ms", item.max_run_time_ms, 1, max_duration_ms);
        reader.number("queue_limit", item.queue_limit, 1, max_count);
        reader.number("max_size_mb", item.max_size_mb, 1, max_count);
        reader.finish();
        names.define(item.name, reader.where("name"), problems);
        if (item.target_hosts != 0 && item.target_hosts < item.min_hosts) {
            problems.error(reader.where("target_hosts"),
                           "target_hosts " + std::to_string(item.target_hosts) + " below min_hosts " +
                               std::to_string(item.min_hosts),
                           "a target that the budget allows, or 0");
        }
        promises.services.push_back(item);
    });
}

void read_teams(const toml::table& root, std::string_view file, findings& problems, rules& promises)
{
    name_table names{"team"};
    each_table(root, "team", file, problems, [&](const toml::table& table) {
        table_reader reader(table, "[[team]]", file, problems);
        team_rule item;
        reader.text("name", item.name, true);
        reader.number("quota_slots", item.quota_slots, 1, max_count);
        reader.finish();
        names.define(item.name, reader.where("name"), problems);
        promises.teams.push_back(item);
    });
}

void read_policies(const toml::table& root, std::string_view file, findings& problems, rules& promises)
{
    one_table(root, "weights", file, problems, [&](table_reader& reader, const toml::table&) {
        reader.real("buffer", promises.weights.buffer, 0, max_weight);
        reader.real("moves", promises.weights.moves, 0, max_weight);
        reader.real("waiting", promises.weights.waiting, 0, max_weight);
        reader.real("rollout", promises.weights.rollout, 0, max_weight);
    });
    one_table(root, "wave", file, problems, [&](table_reader& reader, const toml::table&) {
        reader.flag("enabled", promises.wave.enabled);
        reader.number("period_days", promises.wave.period_days, 1, 3650);
        reader.number("max_parallel", promises.wave.max_parallel, 1, max_count);
        reader.number("max_per_rack", promises.wave.max_per_rack, 1, max_count);
        reader.number("stop_after_failed", promises.wave.stop_after_failed, 1, max_count);
    });
    one_table(root, "retry", file, problems, [&](table_reader& reader, const toml::table&) {
        reader.real("budget_ratio", promises.retry.budget_ratio, 0, 1);
        reader.number("max_attempts", promises.retry.max_attempts, 1, 10);
        reader.number("backoff_ms", promises.retry.backoff_ms, 1, 60'000);
    });
    one_table(root, "repair", file, problems, [&](table_reader& reader, const toml::table&) {
        reader.number("after_ms", promises.repair_after_ms, 0, max_duration_ms);
        reader.number("spare_min_hosts", promises.spare_min_hosts, 0, max_count);
    });
}

}  // namespace

rules parse_rules(std::string_view text, std::string_view file, findings& problems)
{
    rules promises;
    findings syntax;
    const toml::table root = parse_toml(text, file, syntax);
    problems.append(syntax);
    if (syntax.has_errors()) {
        return promises;
    }
    check_top_level(root, {"service", "team", "weights", "wave", "retry", "repair"}, file, problems);
    read_services(root, file, problems, promises);
    read_teams(root, file, problems, promises);
    read_policies(root, file, problems, promises);
    if (promises.services.empty()) {
        problems.error({std::string(file), 1, 1}, "no [[service]]", "at least one service");
    }
    return promises;
}

}  // namespace waxwingnotch
