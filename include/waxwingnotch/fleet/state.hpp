/// @file
/// The state that every node computes from the log. Only the fold (fold.hpp) changes it.
#pragma once

#include "waxwingnotch/config/model.hpp"
#include "waxwingnotch/fleet/records.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace waxwingnotch {

// ---- Configuration in force ----

/// The version of a document that is in force.
struct document_state {
    std::int64_t version = 0;  // 0: nothing published yet
    std::string author;
    std::string note;
    std::int64_t offset = -1;       // of the accepted record
    std::int64_t published_at = 0;  // log time, ms
    std::string content;            // canonical JSON
    std::string hash;
};

// ---- Hosts ----

/// Maintenance phase of a host.
enum class host_phase {
    serving,   // accepts work
    draining,  // accepts no new work; work in flight finishes
    drained,   // nothing in flight
    rebooting  // being restarted by the platform
};

/// State of one host.
struct host_state {
    host spec;               // from the inventory; spec.pool is the home pool
    std::string pool;        // current pool; a host is in exactly one
    std::int64_t epoch = 1;  // incremented by every accepted action
    host_phase phase = host_phase::serving;
    host_condition condition = host_condition::up;
    std::int64_t condition_since = 0;  // log time, ms
    std::string evidence;              // of the condition
    std::int64_t phase_since = 0;      // log time of the last accepted action, ms
    std::int64_t maintained_at = 0;    // log time of the last finished reboot; 0: never
    bool removed = false;              // no longer in the inventory; deleted by host_action::remove
    std::string reason;                // of the last accepted action
    authority basis;                   // of the last accepted action
    std::int64_t changed_offset = -1;  // of the last accepted action
};

/// True if the host counts towards its pool's budget.
inline bool available(const host_state& machine)
{
    return machine.phase == host_phase::serving && machine.condition == host_condition::up;
}

// ---- Claims ----

/// Holder of an idempotency key, and how its request ended.
struct claim_state {
    std::string node;
    std::int64_t incarnation = 0;
    std::string request_id;
    std::int64_t claimed_at = 0;  // log time, ms
    std::int64_t offset = 0;
    bool ended = false;
    claim_end end = claim_end::done;  // valid if ended
};

// ---- Waves ----

/// The maintenance wave in progress, or the last one.
struct wave_state {
    std::int64_t number = 0;  // 0: none yet
    bool open = false;
    bool paused = false;
    std::int64_t started_at = 0;   // log time, ms
    std::int64_t finished_at = 0;  // log time, ms
    std::string reason;            // of the last change
};

// ---- Audit ----

/// One accepted decision in the audit chain.
struct audit_entry {
    std::int64_t offset = 0;
    std::int64_t at = 0;  // log time, ms
    std::string what;     // "publish", "move", "drain", ...
    std::string subject;  // host or document
    std::string from;
    std::string to;
    std::string reason;
    std::string by;  // node or operator that proposed it
    authority basis;
};

/// Index entry of a sealed audit segment.
struct segment_state {
    std::string hash;
    std::int64_t offset = 0;       // of its newest copy
    std::int64_t appended_at = 0;  // log time of its newest copy, ms
    std::int64_t entries = 0;
};

// ---- Fleet state ----

/// Last accepted batch of a writer; used to drop repeated and outdated batches.
struct writer_state {
    std::int64_t incarnation = 0;
    std::int64_t seq = 0;
    std::int64_t offset = 0;  // of its last batch
};

/// The newest complete snapshot in the log.
struct snapshot_state {
    std::string id;
    std::int64_t up_to = -1;
    std::int64_t first_chunk = -1;
    std::int64_t done_offset = -1;
    std::int64_t appended_at = 0;  // log time, ms
};

/// The state after folding every record below `next_offset`.
struct fleet_state {
    std::int64_t next_offset = 0;
    std::int64_t log_time = 0;  // largest append time seen, ms

    document_state inventory_document;
    document_state rules_document;
    inventory inventory_in_force;
    rules rules_in_force;

    std::map<std::string, host_state> hosts;
    std::int64_t epoch_floor = 0;  // largest epoch of any removed host; new hosts start one above it
    std::unordered_map<std::string, claim_state> claims;
    std::deque<std::pair<std::int64_t, std::string>> claim_order;  // log time and key, oldest first
    std::map<std::string, writer_state> writers;
    wave_state wave;

    std::deque<audit_entry> open_audit;   // accepted, but not sealed yet
    std::vector<segment_state> segments;  // by index
    snapshot_state snapshot;
};

// ---- Queries ----

/// @return the rule of the service, or null
const service_rule* find_service(const fleet_state& state, std::string_view name);

/// @return the pool, or null
const pool* find_pool(const fleet_state& state, std::string_view name);

/// @return number of hosts in @p pool that count towards its budget
std::uint32_t available_hosts(const fleet_state& state, std::string_view pool);

/// @return the largest `min_hosts` of the services in @p pool; 0 if it has none
std::uint32_t budget_of(const fleet_state& state, std::string_view pool);

const char* to_string(host_phase phase);

}  // namespace waxwingnotch
