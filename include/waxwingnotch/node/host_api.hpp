/// @file
/// Interface of the platform's host service: lists hosts, moves them between pools and starts their
/// maintenance. The platform adapter implements it.
#pragma once

#include "waxwingnotch/job/spec.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace waxwingnotch {

/// State of a host in the host service's list.
enum class host_row_state { up, moving, maintenance, down };

/// One host in the host service's list.
struct host_row {
    std::string name;
    std::string pool;  // name of the service whose workers run on the host
    host_row_state state = host_row_state::down;
    std::string data_centre;
    std::string rack;
    resources capacity;
    std::string worker_id;  // empty: no worker runs on the host
};

/// Result of host_api::list().
struct host_listing {
    bool ok = false;       // false: the call failed and `hosts` is empty
    bool complete = true;  // false: rows that could not be read are missing
    std::vector<host_row> hosts;
};

/// Result of an order to the host service.
enum class host_result {
    ok,           // carried out, now or by an earlier identical order
    fenced,       // the service has seen a higher fencing token for this host
    busy,         // the host is not up, or is leaving
    not_in_wave,  // the host is not part of the wave
    invalid,      // unknown host or pool
    refused,      // rate limit exceeded or service unavailable; not carried out
    no_answer,    // unknown whether it was carried out
};
const char* to_string(host_result outcome);

/// Identity that a node sends with its orders. The host duty has one holder, and each new holder has a
/// higher fencing token.
struct host_authority {
    std::string holder;  // name of the node
    std::int64_t fencing_token = 0;
};

/// An operator's request to maintain a set of hosts.
struct maintenance_wave {
    std::int64_t number = 0;
    std::vector<std::string> hosts;
    double finish_by_s = 0;      // deadline in seconds, counted from the request
    std::uint32_t max_down = 1;  // limit of hosts under maintenance at the same time
};

/// Asynchronous calls to the host service. Each handler runs once, from the loop.
class host_api {
public:
    virtual ~host_api() = default;
    virtual void list(std::function<void(const host_listing&)> done) = 0;
    /// Orders that @p host moves to @p pool.
    virtual void move(const host_authority& authority, const std::string& host, const std::string& pool,
                      std::function<void(host_result)> done) = 0;
    /// Orders the maintenance of @p host as part of wave number @p wave.
    virtual void maintain(const host_authority& authority, const std::string& host, std::int64_t wave,
                          std::function<void(host_result)> done) = 0;

protected:
    host_api() = default;
    host_api(const host_api&) = default;
    host_api& operator=(const host_api&) = default;
    host_api(host_api&&) = default;
    host_api& operator=(host_api&&) = default;
};

}  // namespace waxwingnotch
