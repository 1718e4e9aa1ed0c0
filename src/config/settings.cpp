#include "config/names.hpp"
#include "config/toml_reader.hpp"

#include "waxwingnotch/base/log.hpp"
#include "waxwingnotch/config/parse.hpp"

namespace waxwingnotch {

namespace {

constexpr std::int64_t max_duration_ms = 400LL * 24 * 3600 * 1000;

/// Returns the table `[key]`. If it is absent, returns an empty table and, if it is required, adds a finding.
const toml::table& find_section(const toml::table& root, std::string_view key, std::string_view file,
                                findings& problems, bool required)
{
    static const toml::table empty;
    const toml::node* node = root.get(key);
    if (node != nullptr && node->is_table()) {
        return *node->as_table();
    }
    if (node != nullptr) {
        problems.error(location_of(*node, file), "a value for '" + std::string(key) + "'",
                       "a table [" + std::string(key) + "]");
    }
    else if (required) {
        problems.error({std::string(file), 1, 1}, "no [" + std::string(key) + "]",
                       "a table [" + std::string(key) + "]");
    }
    return empty;
}

void read_address(table_reader& reader, std::string_view key, std::string& value, bool required,
                  findings& problems)
{
    reader.text(key, value, required);
    if (!value.empty()) {
        check_address(value, reader.location(key), problems);
    }
}

void read_node(const toml::table& root, std::string_view file, findings& problems, settings& options)
{
    const toml::table& table = find_section(root, "node", file, problems, true);
    if (!table.empty()) {
        table_reader reader(table, "[node]", file, problems);
        reader.text("id", options.node_id, true);
        reader.text("data_centre", options.data_centre, true);
        reader.text("region", options.region);
        reader.report_unknown_keys();
    }
    table_reader listen(find_section(root, "listen", file, problems, false), "[listen]", file, problems);
    read_address(listen, "address", options.listen_address, false, problems);
    read_address(listen, "peer_address", options.peer_address, false, problems);
    listen.text("port_file", options.port_file);
    listen.report_unknown_keys();
}

void read_platform(const toml::table& root, std::string_view file, findings& problems, settings& options)
{
    const toml::table& table = find_section(root, "platform", file, problems, true);
    if (table.empty()) {
        return;
    }
    table_reader reader(table, "[platform]", file, problems);
    read_address(reader, "log", options.log_address, true, problems);
    read_address(reader, "hosts", options.hosts_address, true, problems);
    reader.number("retention_ms", options.retention_ms, 1'000, max_duration_ms);
    reader.report_unknown_keys();
}

void read_peers(const toml::table& root, std::string_view file, findings& problems, settings& options)
{
    name_table names{"peer"};
    for_each_table(root, "peer", file, problems, [&](const toml::table& table) {
        table_reader reader(table, "[[peer]]", file, problems);
        peer_settings item;
        reader.text("id", item.id, true);
        read_address(reader, "address", item.address, true, problems);
        reader.report_unknown_keys();
        names.define(item.id, reader.location("id"), problems);
        if (!item.id.empty() && item.id == options.node_id) {
            problems.error(reader.location("id"), "peer '" + item.id + "'",
                           "an id other than the node's own");
        }
        options.peers.push_back(item);
    });
}

void read_limits(const toml::table& root, std::string_view file, findings& problems, settings& options)
{
    table_reader limits(find_section(root, "limits", file, problems, false), "[limits]", file, problems);
    limits.number("drain_limit_ms", options.drain_limit_ms, 0, max_duration_ms);
    limits.number("drain_notice_ms", options.drain_notice_ms, 0, max_duration_ms);
    limits.number("request_timeout_ms", options.request_timeout_ms, 1, max_duration_ms);
    limits.number("max_in_flight", options.max_in_flight, 1, 1'000'000);
    limits.report_unknown_keys();
    table_reader log(find_section(root, "log", file, problems, false), "[log]", file, problems);
    log.text("level", options.log_level);
    log.text("file", options.log_file);
    log.report_unknown_keys();
    log_level level = log_level::info;
    if (!parse_log_level(options.log_level, level)) {
        problems.error(log.location("level"), "log level '" + options.log_level + "'",
                       "debug, info, warning or error");
    }
}

}  // namespace

settings parse_settings(std::string_view text, std::string_view file, findings& problems)
{
    settings options;
    findings syntax;
    const toml::table root = parse_toml(text, file, syntax);
    problems.append(syntax);
    if (syntax.has_errors()) {
        return options;
    }
    check_top_level(root, {"node", "listen", "platform", "peer", "limits", "log"}, file, problems);
    read_node(root, file, problems, options);
    read_platform(root, file, problems, options);
    read_peers(root, file, problems, options);
    read_limits(root, file, problems, options);
    return options;
}

}  // namespace waxwingnotch
