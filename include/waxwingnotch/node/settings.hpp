/// @file
/// Settings of a node. The platform adapter decodes them from the settings file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace waxwingnotch {

struct node_settings {
    std::string name;
    std::string data_centre;
    std::string caller_address;    // ip:port for client accounts
    std::string ready_address;     // ip:port for the load balancer's readiness check
    std::string internal_address;  // ip:port for the other entry nodes
    std::string ip;
    std::vector<std::string> seeds;  // internal addresses of some entry nodes; may be stale
    std::string store_address;
    std::string host_service_address;        // of the host service; empty: none
    double host_orders_per_s = 64;           // moves and maintenance orders that the host service takes
    std::string policy_address;              // of the policy service; empty: none
    int max_descriptors = 0;                 // open files that this process may have; 0: not told
    int processor_milli = 1'000;             // processor share of this host, thousandths of a core
    std::int64_t link_kbps = 0;              // of this host's link, in each direction; 0: not told
    int partitions = 8;                      // per topic in the store
    std::size_t max_record_bytes = 262'144;  // longest record that the store takes, with its key
    std::int64_t min_ttl_ms = 1'000;         // shortest group membership TTL that the store allows
    std::int64_t max_lease_ms = 10'000;      // longest lease that a worker accepts
    std::int64_t drain_grace_ms = 6'000;     // from SIGTERM to SIGKILL
    std::int64_t worker_drain_ms = 2'000;    // a worker that leaves gets no work this long after its report
    std::int64_t cancel_ms = 3'000;          // a cancelled job starts nothing this long after its cancel
    std::int64_t takeover_pause_ms = 3'000;  // between orders of two holders of the host duty for one host
    std::int64_t maintenance_ms = 2'000;     // duration of one host's maintenance
    std::int64_t status_retention_ms = 120'000;  // how long the state of an ended job stays readable
};

}  // namespace waxwingnotch
