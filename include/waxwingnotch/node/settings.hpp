/// @file
/// What a node learns from its settings file. The adapter decodes the platform's format.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace waxwingnotch {

struct node_settings {
    std::string name;
    std::string data_centre;
    std::string caller_address;    // ip:port for client accounts
    std::string ready_address;     // ip:port for the balancer's check
    std::string internal_address;  // ip:port for the other entry nodes
    std::string ip;
    std::vector<std::string> seeds;  // internal addresses of a few nodes; may be stale
    std::string store_address;
    std::string host_address;               // the host service; empty: none
    std::string advice_address;             // the policy service; empty: none
    int processor_milli = 1'000;            // this host's share of a core, thousandths
    int partitions = 8;                     // of each topic in the store
    std::int64_t min_ttl_ms = 1'000;        // shortest membership in a group
    std::int64_t max_lease_ms = 10'000;     // longest lease that a worker grants
    std::int64_t drain_grace_ms = 6'000;    // from SIGTERM to SIGKILL
    std::int64_t holder_pause_ms = 3'000;   // between two holders' orders for one host
    std::int64_t maintenance_ms = 2'000;    // and while it is maintained
    std::int64_t status_keep_ms = 120'000;  // state of an ended job stays readable
};

}  // namespace waxwingnotch
