// Measures how the cost of the decision and state code grows, at four or more sizes each.
//   waxwingnotch-slopes        runs the measurements in this process
//   waxwingnotch-slopes workers COUNT   plays idle workers and prints their inventory
//   waxwingnotch-slopes fit    reads lines "name unit size value" and prints a fit for each name

#include "fit.hpp"

#include "waxwingnotch/base/hash.hpp"
#include "waxwingnotch/config/json.hpp"
#include "waxwingnotch/decision/placement.hpp"
#include "waxwingnotch/fleet/fold.hpp"
#include "waxwingnotch/net/http_server.hpp"
#include "waxwingnotch/peer/messages.hpp"

#include <malloc.h>

#include <chrono>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <sstream>

namespace {

using namespace waxwingnotch;
using slopes::point;

constexpr std::size_t hosts_per_pool = 11;
constexpr std::size_t hosts_per_rack = 4;

double heap_bytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

double microseconds(const std::function<void()>& work)
{
    const auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
}

/// A fleet in force, with an appending operator.
class fleet {
public:
    explicit fleet(std::size_t hosts, std::size_t teams = 0)
    {
        machines_.data_centres = {{"dc", "region"}};
        const std::size_t pools = hosts / hosts_per_pool + 1;
        for (std::size_t at = 0; at < pools; ++at) {
            machines_.pools.push_back({"pool-" + std::to_string(at), at == 0});
        }
        for (std::size_t at = 0; at < hosts / hosts_per_rack + 1; ++at) {
            machines_.racks.push_back({"rack-" + std::to_string(at), "dc"});
        }
        for (std::size_t at = 0; at < hosts; ++at) {
            host item;
            item.name = "host-" + std::to_string(at);
            item.address = "10.0.0.1:" + std::to_string(at);
            item.rack = "rack-" + std::to_string(at / hosts_per_rack);
            item.pool = "pool-" + std::to_string(at / hosts_per_pool);
            machines_.hosts.push_back(item);
        }
        for (std::size_t at = 1; at < pools && (at + 1) * hosts_per_pool <= hosts; ++at) {
            service_rule service;
            service.name = "service-" + std::to_string(at);
            service.pool = "pool-" + std::to_string(at);
            service.min_hosts = 8;
            promises_.services.push_back(service);
        }
        for (std::size_t at = 0; at < teams; ++at) {
            promises_.teams.push_back({"team-" + std::to_string(at), 8});
        }
        publish(document::inventory, inventory_to_json(machines_), false);
        publish(document::rules, rules_to_json(promises_), false);
    }

    /// @return bytes of the batch
    std::size_t publish(document kind, const std::string& content, bool patch)
    {
        const document_state& current =
            kind == document::inventory ? state.inventory_document : state.rules_document;
        publish_record item;
        item.kind = kind;
        item.replaces = current.version;
        item.author = "operator";
        item.is_patch = patch;
        item.content = patch ? make_patch(current.content, content) : content;
        item.content_hash = sha256_hex(content);
        return append({item});
    }

    /// Publishes an inventory in which one host has another home.
    std::size_t publish_change(std::size_t at)
    {
        machines_.hosts[at].pool = machines_.hosts[at].pool == "pool-0" ? "pool-1" : "pool-0";
        return publish(document::inventory, inventory_to_json(machines_), true);
    }

    std::size_t append(std::vector<record> records)
    {
        batch value{"writer", 1, ++seq_, state.next_offset, std::move(records)};
        const std::string bytes = encode(value);
        apply(state, {state.next_offset, state.next_offset, bytes});
        return bytes.size();
    }

    host_record action(host_action what, const std::string& name) const
    {
        const host_state& machine = state.hosts.at(name);
        host_record item;
        item.action = what;
        item.host = name;
        item.pool = machine.pool;
        item.epoch = machine.epoch;
        item.reason = "wave 12 maintains the host";
        item.basis = {state.inventory_document.version, state.rules_document.version, "operator"};
        return item;
    }

    fleet_state state;

private:
    inventory machines_;
    rules promises_;
    std::int64_t seq_ = 0;
};

/// Runs @p measure at each size and prints the fit.
void slope(const std::string& name, const std::string& unit, const std::vector<std::size_t>& sizes,
           const std::function<double(std::size_t)>& measure)
{
    std::vector<point> points;
    points.reserve(sizes.size());
    for (const std::size_t size : sizes) {
        points.push_back({static_cast<double>(size), measure(size)});
    }
    slopes::print(name, unit, points);
}

const std::vector<std::size_t> host_counts = {100, 500, 1'000, 1'500, 2'100};

void measure_hosts()
{
    slope("state_bytes_per_host", "bytes", host_counts, [](std::size_t hosts) {
        const double before = heap_bytes();
        const fleet all(hosts);
        return heap_bytes() - before;
    });
    slope("fold_drain_restore", "us", host_counts, [](std::size_t hosts) {
        fleet all(hosts);
        constexpr int rounds = 200;
        return microseconds([&] {
                   for (int round = 0; round < rounds; ++round) {
                       all.append({all.action(host_action::drain, "host-50")});
                       all.append({all.action(host_action::restore, "host-50")});
                   }
               }) /
               (2 * rounds);
    });
    slope("fold_publish_patch", "us", host_counts, [](std::size_t hosts) {
        fleet all(hosts);
        constexpr std::size_t rounds = 5;
        double sum = 0;
        for (std::size_t round = 0; round < rounds; ++round) {
            sum += microseconds([&] { all.publish_change(60 + round); });
        }
        return sum / rounds;
    });
    slope("publish_patch_bytes", "bytes", host_counts, [](std::size_t hosts) {
        fleet all(hosts);
        return static_cast<double>(all.publish_change(60));
    });
    slope("plan_all_pools", "us", host_counts, [](std::size_t hosts) {
        const fleet all(hosts);
        std::set<std::string> pools;
        for (const pool& item : all.state.inventory_in_force.pools) {
            pools.insert(item.name);
        }
        return microseconds([&] { plan_pools(all.state, pools, all.state.log_time); });
    });
}

void measure_claims()
{
    const std::vector<std::size_t> counts = {10'000, 50'000, 100'000, 150'000};
    const auto claim = [](fleet& all, std::size_t at) {
        all.append({claim_record{sha256_hex(std::to_string(at)).substr(0, 32),
                                 "entry-1-1796360586335-" + std::to_string(at)}});
    };
    slope("state_bytes_per_claim", "bytes", counts, [&](std::size_t claims) {
        fleet all(100);
        const double before = heap_bytes();
        for (std::size_t at = 0; at < claims; ++at) {
            claim(all, at);
        }
        return heap_bytes() - before;
    });
    slope("fold_claims", "us", {1'000, 5'000, 20'000, 50'000}, [&](std::size_t claims) {
        fleet all(100);
        return microseconds([&] {
            for (std::size_t at = 0; at < claims; ++at) {
                claim(all, at);
            }
        });
    });
}

void measure_rest()
{
    slope("state_bytes_per_team", "bytes", {100, 200, 400, 650}, [](std::size_t teams) {
        const double before = heap_bytes();
        const fleet all(100, teams);
        return heap_bytes() - before;
    });
    slope("state_bytes_per_open_audit_entry", "bytes", {100, 400, 1'600, 6'400}, [](std::size_t entries) {
        fleet all(100);
        const double before = heap_bytes();
        for (std::size_t at = 0; at < entries; ++at) {
            const bool drain = at % 2 == 0;
            all.append({all.action(drain ? host_action::drain : host_action::restore, "host-50")});
        }
        return heap_bytes() - before;
    });
    slope("host_record_bytes", "bytes", {1, 4, 16, 64}, [](std::size_t records) {
        fleet all(100);
        std::vector<record> items(records, all.action(host_action::drain, "host-50"));
        return static_cast<double>(encode(batch{"entry-1", 1, 1, 0, items}).size());
    });
    slope("claim_record_bytes", "bytes", {1, 4, 16, 64}, [](std::size_t records) {
        const std::vector<record> items(records,
                                        claim_record{std::string(32, 'k'), "entry-1-1796360586335-1000"});
        return static_cast<double>(encode(batch{"entry-1", 1, 1, 0, items}).size());
    });
    slope("beat_bytes", "bytes", {2, 4, 8, 16}, [](std::size_t nodes) {
        heartbeat beat{"entry-1", 1'796'360'586'335, "obihiro", 1'000'000, 1'000'000, true, {}};
        for (std::size_t at = 1; at < nodes; ++at) {
            beat.heard.push_back("entry-" + std::to_string(at));
        }
        return static_cast<double>(encode(heartbeat_message{beat}).size());
    });
}

/// Reads measured points of other programs.
int fit_input()
{
    std::map<std::string, std::vector<point>> points;
    std::map<std::string, std::string> units;
    std::string text;
    while (std::getline(std::cin, text)) {
        std::istringstream words(text);
        std::string name;
        std::string unit;
        point at;
        if (words >> name >> unit >> at.size >> at.value) {
            points[name].push_back(at);
            units[name] = unit;
        }
    }
    for (const auto& [name, measured] : points) {
        slopes::print(name, units[name], measured);
    }
    return points.empty() ? 1 : 0;
}

/// Answers usage reports on @p count ports and prints an inventory of as many hosts: pools of
/// 11 hosts, racks of 4, the last pool the spare. Runs until it is ended.
int serve_idle_workers(std::size_t count)
{
    event_loop loop;
    std::vector<std::unique_ptr<http_server>> servers;
    std::cout << "[[data_centre]]\nname = \"dc\"\n";
    for (std::size_t at = 0; at < count; ++at) {
        servers.push_back(std::make_unique<http_server>(loop));
        servers.back()->handle(
            [](const http_exchange_ptr& exchange) { exchange->reply(200, {}, "{\"running\": 0}"); });
        const auto port = servers.back()->listen("127.0.0.1", 0);
        if (!port) {
            std::cerr << port.error().message << "\n";
            return 1;
        }
        if (at % hosts_per_rack == 0) {
            std::cout << "[[rack]]\nname = \"rack-" << at / hosts_per_rack << "\"\ndata_centre = \"dc\"\n";
        }
        const std::size_t pool = at / hosts_per_pool;
        if (at % hosts_per_pool == 0) {
            const bool last = at + hosts_per_pool >= count;
            std::cout << "[[pool]]\nname = \"pool-" << pool << "\"\nspare = " << (last ? "true" : "false")
                      << "\n";
        }
        std::cout << "[[host]]\nname = \"host-" << at << "\"\naddress = \"127.0.0.1:" << port.value()
                  << "\"\nrack = \"rack-" << at / hosts_per_rack << "\"\npool = \"pool-" << pool << "\"\n";
    }
    std::cout << "# end" << std::endl;
    loop.run();
    return 0;
}

}  // namespace

int main(int argc, char** argv)
{
    if (argc > 1 && std::string(argv[1]) == "fit") {
        return fit_input();
    }
    if (argc > 2 && std::string(argv[1]) == "workers") {
        return serve_idle_workers(std::stoul(argv[2]));
    }
    measure_hosts();
    measure_claims();
    measure_rest();
    return 0;
}
