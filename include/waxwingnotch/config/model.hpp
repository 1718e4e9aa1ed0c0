/// @file
/// Configuration that operators write, as plain structs: inventory, rules and node settings.
///
/// An inventory lists the machines and their locations; rules set budgets, quotas and policies;
/// settings configure one entry node. The initial value of a field is the default of its TOML key.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace waxwingnotch {

// ---- Inventory ----

/// A building with its own power and network.
struct data_centre {
    std::string name;
    std::string region = "default";
};

/// A rack: the smallest failure domain shared by several hosts.
struct rack {
    std::string name;
    std::string data_centre;
};

/// A named set of hosts that serve the same services.
struct pool {
    std::string name;
    bool spare = false;  // hosts here may be moved to pools that lack capacity
};

/// A machine that runs tasks. Entry nodes reach it as an upstream at `address`.
struct host {
    std::string name;
    std::string address;  // ip:port
    std::string rack;
    std::string pool;  // home pool
    std::uint32_t cores = 16;
    std::uint32_t memory_gb = 64;
    std::uint32_t accelerators = 0;
    std::uint32_t slots = 8;         // concurrent tasks
    std::uint32_t connections = 64;  // limit of open connections, all entry nodes together
};

/// All machines and their locations.
struct inventory {
    std::vector<data_centre> data_centres;
    std::vector<rack> racks;
    std::vector<pool> pools;
    std::vector<host> hosts;
};

// ---- Rules ----

/// A service and its availability budget.
struct service_rule {
    std::string name;
    std::string pool;
    std::uint32_t min_hosts = 1;             // budget: hosts that must stay available
    std::uint32_t target_hosts = 0;          // hosts that repair aims for; 0: the pool's home hosts
    std::int64_t max_run_time_ms = 600'000;  // requests that declare more are never runnable
    std::uint32_t queue_limit = 256;         // queued requests per entry node
    std::uint32_t max_size_mb = 1024;        // limit of a request's declared size
};

/// A team of callers and its quota of slots.
struct team_rule {
    std::string name;
    std::uint32_t quota_slots = 8;  // concurrently used slots, all entry nodes together
};

/// The operator's cost weights, used to compare placements.
struct cost_weights {
    double buffer = 1.0;   // per spare host and hour
    double moves = 1.0;    // per move
    double waiting = 1.0;  // per second that short work waits
    double rollout = 1.0;  // per hour of an open wave
};

/// Policy of maintenance waves.
struct wave_rule {
    bool enabled = false;
    std::uint32_t period_days = 28;       // each host is maintained once in this period
    std::uint32_t max_parallel = 2;       // hosts in maintenance at once, in the whole fleet
    std::uint32_t max_per_rack = 1;       // hosts in maintenance at once, per rack
    std::uint32_t stop_after_failed = 2;  // the wave stops after this many hosts failed to return
};

/// Retry policy for failed sends.
struct retry_rule {
    double budget_ratio = 0.1;       // retries per first attempt, for each service and each team
    std::uint32_t max_attempts = 3;  // sends of one request, the first included
    std::int64_t backoff_ms = 50;    // first backoff; doubles, with jitter
};

/// Budgets, quotas and policies that are in force together.
struct rules {
    std::vector<service_rule> services;
    std::vector<team_rule> teams;
    cost_weights weights;
    wave_rule wave;
    retry_rule retry;
    std::uint32_t spare_min_hosts = 1;      // spare hosts held in reserve when demand fluctuates
    std::int64_t repair_after_ms = 30'000;  // a host down this long is replaced from a spare pool
};

// ---- Settings of one entry node ----

/// Another entry node.
struct peer_settings {
    std::string id;
    std::string address;  // ip:port of its peer listener
};

/// Start-up settings of an entry node.
struct settings {
    std::string node_id;
    std::string data_centre;
    std::string region = "default";
    std::string listen_address = "127.0.0.1:0";  // callers and operators
    std::string peer_address = "127.0.0.1:0";    // other entry nodes
    std::string log_address;                     // platform log, ip:port
    std::string hosts_address;                   // platform host list, ip:port
    std::vector<peer_settings> peers;
    std::string log_level = "info";
    std::string log_file;                       // empty: standard error
    std::string port_file;                      // receives the bound ports; empty: none
    std::int64_t drain_limit_ms = 30'000;       // longest wait for requests in flight in a planned stop
    std::int64_t drain_notice_ms = 2'000;       // time the balancer's check fails before the listener closes
    std::int64_t request_timeout_ms = 120'000;  // longest time that a request may be in flight
    std::uint32_t max_in_flight = 4096;         // limit of requests held by this node, queued ones included
    std::int64_t retention_ms = 604'800'000;    // how long the platform keeps a log record
};

}  // namespace waxwingnotch
