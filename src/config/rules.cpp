#include "config/names.hpp"
#include "config/toml_reader.hpp"

#include "waxwingnotch/config/parse.hpp"

namespace waxwingnotch {

namespace {

constexpr std::uint32_t max_count = 100'000;
constexpr std::int64_t max_duration_ms = 30LL * 24 * 3600 * 1000;
constexpr double max_weight = 1e6;

/// Calls @p visit with the table `[key]` if it exists.
template <class Visit>
void read_optional_table(const toml::table& root, std::string_view key, std::string_view file,
                         findings& problems, Visit visit)
{
    const toml::node* node = root.get(key);
    if (node == nullptr) {
        return;
    }
    const toml::table* table = node->as_table();
    if (table == nullptr) {
        problems.error(location_of(*node, file), "a value for '" + std::string(key) + "'",
                       "a table [" + std::string(key) + "]");
        return;
    }
    table_reader reader(*table, "[" + std::string(key) + "]", file, problems);
    visit(reader, *table);
    reader.report_unknown_keys();
}

void read_services(const toml::table& root, std::string_view file, findings& problems, rules& rule_set)
{
    name_table names{"service"};
    for_each_table(root, "service", file, problems, [&](const toml::table& table) {
        table_reader reader(table, "[[service]]", file, problems);
        service_rule item;
        reader.text("name", item.name, true);
        reader.text("pool", item.pool, true);
        reader.number("min_hosts", item.min_hosts, 0, max_count);
        reader.number("target_hosts", item.target_hosts, 0, max_count);
        reader.number("max_run_time_ms", item.max_run_time_ms, 1, max_duration_ms);
        reader.number("queue_limit", item.queue_limit, 1, max_count);
        reader.number("max_size_mb", item.max_size_mb, 1, max_count);
        reader.report_unknown_keys();
        names.define(item.name, reader.location("name"), problems);
        if (item.target_hosts != 0 && item.target_hosts < item.min_hosts) {
            problems.error(reader.location("target_hosts"),
                           "target_hosts " + std::to_string(item.target_hosts) + " below min_hosts " +
                               std::to_string(item.min_hosts),
                           "a target that the budget allows, or 0");
        }
        rule_set.services.push_back(item);
    });
}

void read_teams(const toml::table& root, std::string_view file, findings& problems, rules& rule_set)
{
    name_table names{"team"};
    for_each_table(root, "team", file, problems, [&](const toml::table& table) {
        table_reader reader(table, "[[team]]", file, problems);
        team_rule item;
        reader.text("name", item.name, true);
        reader.number("quota_slots", item.quota_slots, 1, max_count);
        reader.report_unknown_keys();
        names.define(item.name, reader.location("name"), problems);
        rule_set.teams.push_back(item);
    });
}

void read_policies(const toml::table& root, std::string_view file, findings& problems, rules& rule_set)
{
    read_optional_table(root, "weights", file, problems, [&](table_reader& reader, const toml::table&) {
        reader.real("buffer", rule_set.weights.buffer, 0, max_weight);
        reader.real("moves", rule_set.weights.moves, 0, max_weight);
        reader.real("waiting", rule_set.weights.waiting, 0, max_weight);
        reader.real("rollout", rule_set.weights.rollout, 0, max_weight);
    });
    read_optional_table(root, "wave", file, problems, [&](table_reader& reader, const toml::table&) {
        reader.flag("enabled", rule_set.wave.enabled);
        reader.number("period_days", rule_set.wave.period_days, 1, 3650);
        reader.number("max_parallel", rule_set.wave.max_parallel, 1, max_count);
        reader.number("max_per_rack", rule_set.wave.max_per_rack, 1, max_count);
        reader.number("stop_after_failed", rule_set.wave.stop_after_failed, 1, max_count);
    });
    read_optional_table(root, "retry", file, problems, [&](table_reader& reader, const toml::table&) {
        reader.real("budget_ratio", rule_set.retry.budget_ratio, 0, 1);
        reader.number("max_attempts", rule_set.retry.max_attempts, 1, 10);
        reader.number("backoff_ms", rule_set.retry.backoff_ms, 1, 60'000);
    });
    read_optional_table(root, "repair", file, problems, [&](table_reader& reader, const toml::table&) {
        reader.number("after_ms", rule_set.repair_after_ms, 0, max_duration_ms);
        reader.number("spare_min_hosts", rule_set.spare_min_hosts, 0, max_count);
    });
}

}  // namespace

rules parse_rules(std::string_view text, std::string_view file, findings& problems)
{
    rules rule_set;
    findings syntax;
    const toml::table root = parse_toml(text, file, syntax);
    problems.append(syntax);
    if (syntax.has_errors()) {
        return rule_set;
    }
    check_top_level(root, {"service", "team", "weights", "wave", "retry", "repair"}, file, problems);
    read_services(root, file, problems, rule_set);
    read_teams(root, file, problems, rule_set);
    read_policies(root, file, problems, rule_set);
    if (rule_set.services.empty()) {
        problems.error({std::string(file), 1, 1}, "no [[service]]", "at least one service");
    }
    return rule_set;
}

}  // namespace waxwingnotch
