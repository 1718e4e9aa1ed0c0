/// @file
/// Records that entry nodes and operators append to the platform's log.
///
/// One append is one `batch`. A record is a proposal; the fold (fold.hpp) accepts or rejects it.
///
///     batch proposal;
///     proposal.writer = "entry-1";
///     proposal.records.push_back(claim_record{key, request_id});
///     std::string bytes = encode(proposal);
///     result<batch> decoded = decode(bytes);
#pragma once

#include "waxwingnotch/base/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace waxwingnotch {

// ---- Configuration ----

/// Which of the two documents a publication replaces.
enum class document {
    inventory,  // data centres, racks, pools and hosts
    rules,      // services, teams and the rules of maintenance, retries and repair
};

/// A new version of a document.
struct publish_record {
    document kind = document::inventory;
    std::int64_t replaces = 0;  // version that this one is based on; 0: none
    std::string author;
    std::string note;
    bool is_patch = false;     // content is an RFC 6902 patch of version `replaces`
    std::string content;       // JSON
    std::string content_hash;  // SHA-256 of the resulting JSON
};

// ---- Hosts ----

/// An action on a host. The fold accepts it only with the host's current epoch.
enum class host_action {
    move,     // assigns the host to another pool
    drain,    // stops new work; tasks in flight finish
    drained,  // confirms that nothing is in flight
    reboot,   // the platform reboots a drained host
    restore,  // returns the host to service in its pool
    remove,   // deletes a drained or down host that is no longer in the inventory
};

/// Configuration that an action is based on.
struct authority {
    std::int64_t inventory_version = 0;
    std::int64_t rules_version = 0;
    std::string author;  // publisher of the document that requires the action
};

/// Proposes an action on one host.
struct host_record {
    host_action action = host_action::drain;
    std::string host;
    std::string pool;        // pool of the host as the proposer sees it; must be the current one
    std::string to_pool;     // for `move`
    std::int64_t epoch = 0;  // of the host as the proposer sees it; must be the current one
    std::string reason;
    std::string alternatives;  // options that the proposer compared the action with
    authority basis;
};

/// Observed health of a host.
enum class host_condition {
    up,        // answers
    doubtful,  // unreachable from some nodes, or fails more often than its pool
    down,      // does not answer
};

/// Reports a host's condition.
struct condition_record {
    std::string host;
    host_condition condition = host_condition::up;
    std::string evidence;
};

// ---- Maintenance waves ----

/// State changes of a maintenance wave.
enum class wave_action {
    start,   // opens a new wave
    pause,   // by the wave's controller or by an operator
    resume,  // continues a paused wave
    finish,  // every host was maintained
};

/// Proposes a change of the wave numbered `wave`.
struct wave_record {
    wave_action action = wave_action::start;
    std::int64_t wave = 0;
    std::string reason;
};

// ---- Idempotency claims ----

/// Claims an idempotency key for one request of the batch's writer.
struct claim_record {
    std::string key;  // hash of service and key, from claim_key()
    std::string request_id;
};

/// How a claim ended.
enum class claim_end {
    released,  // the request was never sent; the key is free again
    done,      // the upstream answered the request
    unknown,   // the request may have run
};

/// Ends a claim of the same writer and incarnation.
struct claim_end_record {
    std::string key;
    std::string request_id;
    claim_end end = claim_end::done;
};

// ---- Snapshots and audit segments ----

/// One chunk of an encoded snapshot.
struct snapshot_chunk {
    std::string id;  // writer and sequence of the snapshot
    std::int64_t index = 0;
    std::string bytes;
};

/// Completes a snapshot; follows its chunks in the log.
struct snapshot_done {
    std::string id;
    std::int64_t up_to = 0;        // first offset that the snapshot does not include
    std::int64_t first_chunk = 0;  // offset of chunk 0
    std::int64_t chunks = 0;
    std::string hash;  // SHA-256 of all bytes
};

/// A sealed segment of the audit chain, either new or carried forward.
struct audit_segment {
    std::int64_t index = 0;
    std::string previous;  // hash of the previous segment; empty for the first
    std::string entries;   // JSON array of audit entries
    std::string hash;      // SHA-256 of previous + entries
};

using record = std::variant<publish_record, host_record, condition_record, wave_record, claim_record,
                            claim_end_record, snapshot_chunk, snapshot_done, audit_segment>;

/// The records of one append.
struct batch {
    std::string writer;            // node or operator
    std::int64_t incarnation = 0;  // start time of the writer, ms since the Unix epoch
    std::int64_t seq = 0;          // from 1 on within an incarnation
    std::int64_t seen_offset = 0;  // writer's next offset to fold when it built the batch
    std::vector<record> records;
};

/// @return CBOR bytes
std::string encode(const batch& value);

/// @return the batch, or `malformed`; does not throw on untrusted input
result<batch> decode(std::string_view bytes);

/// @return the key under which a request of @p service with @p idempotency_key is claimed
std::string claim_key(std::string_view service, std::string_view idempotency_key);

const char* to_string(document kind);
const char* to_string(host_action action);
const char* to_string(host_condition condition);
const char* to_string(wave_action action);
const char* to_string(claim_end end);

}  // namespace waxwingnotch
