#include "config/names.hpp"
#include "config/toml_reader.hpp"

#include "waxwingnotch/config/parse.hpp"

#include <map>

namespace waxwingnotch {

namespace {

constexpr std::uint32_t max_cores = 4096;
constexpr std::uint32_t max_memory_gb = 65'536;
constexpr std::uint32_t max_accelerators = 256;
constexpr std::uint32_t max_slots = 1024;
constexpr std::uint32_t max_connections = 65'535;

/// Names defined so far, by kind, for checking references.
struct known_names {
    name_table data_centres{"data centre"};
    name_table racks{"rack"};
    name_table pools{"pool"};
    name_table hosts{"host"};
    name_table addresses{"address"};
};

void read_data_centres_and_racks(const toml::table& root, std::string_view file, findings& problems,
                                 known_names& names, inventory& machines)
{
    for_each_table(root, "data_centre", file, problems, [&](const toml::table& table) {
        table_reader reader(table, "[[data_centre]]", file, problems);
        data_centre item;
        reader.text("name", item.name, true);
        reader.text("region", item.region);
        reader.report_unknown_keys();
        names.data_centres.define(item.name, reader.location("name"), problems);
        machines.data_centres.push_back(item);
    });
    for_each_table(root, "rack", file, problems, [&](const toml::table& table) {
        table_reader reader(table, "[[rack]]", file, problems);
        rack item;
        reader.text("name", item.name, true);
        reader.text("data_centre", item.data_centre, true);
        reader.report_unknown_keys();
        names.racks.define(item.name, reader.location("name"), problems);
        names.data_centres.check_reference(item.data_centre, reader.location("data_centre"), problems);
        machines.racks.push_back(item);
    });
}

void read_pools(const toml::table& root, std::string_view file, findings& problems, known_names& names,
                inventory& machines)
{
    for_each_table(root, "pool", file, problems, [&](const toml::table& table) {
        table_reader reader(table, "[[pool]]", file, problems);
        pool item;
        reader.text("name", item.name, true);
        reader.flag("spare", item.spare);
        reader.report_unknown_keys();
        names.pools.define(item.name, reader.location("name"), problems);
        machines.pools.push_back(item);
    });
}

void read_host(const toml::table& table, std::string_view file, findings& problems, known_names& names,
               inventory& machines)
{
    table_reader reader(table, "[[host]]", file, problems);
    host item;
    reader.text("name", item.name, true);
    reader.text("address", item.address, true);
    reader.text("rack", item.rack, true);
    reader.text("pool", item.pool, true);
    reader.number("cores", item.cores, 1, max_cores);
    reader.number("memory_gb", item.memory_gb, 1, max_memory_gb);
    reader.number("accelerators", item.accelerators, 0, max_accelerators);
    reader.number("slots", item.slots, 1, max_slots);
    reader.number("connections", item.connections, 1, max_connections);
    reader.report_unknown_keys();
    names.hosts.define(item.name, reader.location("name"), problems);
    if (!item.address.empty()) {
        check_address(item.address, reader.location("address"), problems);
        names.addresses.define(item.address, reader.location("address"), problems);
    }
    names.racks.check_reference(item.rack, reader.location("rack"), problems);
    names.pools.check_reference(item.pool, reader.location("pool"), problems);
    machines.hosts.push_back(item);
}

}  // namespace

inventory parse_inventory(std::string_view text, std::string_view file, findings& problems)
{
    inventory machines;
    known_names names;
    findings syntax;
    const toml::table root = parse_toml(text, file, syntax);
    problems.append(syntax);
    if (syntax.has_errors()) {
        return machines;
    }
    check_top_level(root, {"data_centre", "rack", "pool", "host"}, file, problems);
    read_data_centres_and_racks(root, file, problems, names, machines);
    read_pools(root, file, problems, names, machines);
    for_each_table(root, "host", file, problems,
                   [&](const toml::table& table) { read_host(table, file, problems, names, machines); });
    if (machines.hosts.empty()) {
        problems.error({std::string(file), 1, 1}, "no [[host]]", "at least one host");
    }
    return machines;
}

}  // namespace waxwingnotch
