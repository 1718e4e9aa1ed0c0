#include "config/names.hpp"
#include "config/toml_reader.hpp"

#include "waxwingnotch/base/log.hpp"
#include "waxwingnotch/config/parse.hpp"

namespace waxwingnotch {

namespace {

constexpr std::int64_t max_duration_ms = 400LL * 24 * 3600 * 1000;

/// Finds the table `[key]`; an absent one gives an empty table and, if required, a finding.
const toml::table& section(const toml::table& root, std::string_view key, std::string_view file,
                           findings& problems, bool required)
{
    static const toml::table empty;
    const toml::node* node = root.get(key);
    if (node != nullptr && node->is_table()) {
        return *node->as_table();
    }
    if (node != nullptr) {
        problems.error(place_of(*node, file), "a value for '" + std::string(key) + "'",
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
        check_address(value, reader.where(key), problems);
    }
}

void read_node(const toml::table& root, std::string_view file, findings& problems, settings& node)
{
    const toml::table& table = section(root, "node", file, problems, true);
    if (!table.empty()) {
        table_reader reader(table, "[node]", file, problems);
        reader.text("id", node.node_id, true);
        reader.text("data_centre", node.data_centre, true);
        reader.text("region", node.region);
        reader.finish();
    }
    table_reader listen(section(root, "listen", file, problems, false), "[listen]", file, problems);
    read_address(listen, "address", node.listen_address, false, problems);
    read_address(listen, "peer_address", node.peer_address, false, problems);
    listen.text("port_file", node.port_file);
    listen.finish();
}

void read_platform(const toml::table& root, std::string_view file, findings& problems, settings& node)
{
    const toml::table& table = section(root, "platform", file, problems, true);
    if (table.empty()) {
        return;
    }
    table_reader reader(table, "[platform]", file, problems);
    read_address(reader, "log", node.log_address, true, problems);
    read_address(reader, "hosts", node.hosts_address, true, problems);
    reader.number("retention_ms", node.retention_ms, 1'000, max_duration_ms);
    reader.finish();
}

void read_peers(const toml::table& root, std::string_view file, findings& problems, settings& node)
{
    name_table names{"peer"};
    each_table(root, "peer", file, problems, [&](const toml::table& table) {
        table_reader reader(table, "[[peer]]", file, problems);
        peer_settings item;
        reader.text("id", item.id, true);
        read_address(reader, "address", item.address, true, problems);
        reader.finish();
        names.define(item.id, reader.where("id"), problems);
        if (!item.id.empty() && item.id == node.node_id) {
            problems.error(reader.where("id"), "peer '" + item.id + "'", "an id other than the node's own");
        }
        node.peers.push_back(item);
    });
}

void read_limits(const toml::table& root, std::string_view file, findings& problems, settings& node)
{
    table_reader limits(section(root, "limits", file, problems, false), "[limits]", file, problems);
    limits.number("drain_limit_ms", node.drain_limit_ms, 0, max_duration_ms);
    limits.number("drain_notice_ms", node.drain_notice_ms, 0, max_duration_ms);
    limits.number("request_timeout_ms", node.request_timeout_ms, 1, max_duration_ms);
    limits.number("max_in_flight", node.max_in_flight, 1, 1'000'000);
    limits.finish();
    table_reader log(section(root, "log", file, problems, false), "[log]", file, problems);
    log.text("level", node.log_level);
    log.text("file", node.log_file);
    log.finish();
    log_level level = log_level::info;
    if (!parse_log_level(node.log_level, level)) {
        problems.error(log.where("level"), "log level '" + node.log_level + "'",
                       "debug, info, warning or error");
    }
}

}  // namespace

settings parse_settings(std::string_view text, std::string_view file, findings& problems)
{
    settings node;
    findings syntax;
    const toml::table root = parse_toml(text, file, syntax);
    problems.append(syntax);
    if (syntax.has_errors()) {
        return node;
    }
    check_top_level(root, {"node", "listen", "platform", "peer", "limits", "log"}, file, problems);
    read_node(root, file, problems, node);
    read_platform(root, file, problems, node);
    read_peers(root, file, problems, node);
    read_limits(root, file, problems, node);
    return node;
}

}  // namespace waxwingnotch
