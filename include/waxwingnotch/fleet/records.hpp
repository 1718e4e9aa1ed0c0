/// @file
/// Records that entry nodes and operators append to the platform's log.
///
/// One append is one `batch`. A record only proposes; the fold (fold.hpp) accepts or rejects it.
///
///     batch proposal;
///     proposal.writer = "entry-1";
///     proposal.records.push_back(claim_record{key, request_id});
///     std::string bytes = encode(proposal);
///     result<batch> again = decode(bytes);
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
    inventory,  // machines
    rules,      // promises
};

/// A new version of a document.
struct publish_record {
    document kind = document::inventory;
    std::int64_t replaces = 0;  // version that the operator started from; 0: none yet
    std::string author;
    std::string note;
    bool is_patch = false;     // content is an RFC 6902 patch against `replaces`
    std::string content;       // JSON
    std::string content_hash;  // SHA-256 of the resulting JSON
};

// ---- Hosts ----

/// What happens to a host. All but `set_condition` need the host's current epoch.
enum class host_action {
    move,     // serving in another pool from now on
    drain,    // no new work; tasks in flight finish
    drained,  // nothing in flight any more
    reboot,   // the platform reboots a drained host
    restore,  // serving again in its pool
    remove,   // a drained host that the inventory no longer has leaves the record
};

/// Under which rule an action is proposed, and who published this rule.
struct authority {
    std::int64_t inventory_version = 0;
    std::int64_t rules_version = 0;
    std::string author;  // publisher of the document that asks for the action
};

/// Proposes an action on one host.
struct host_record {
    host_action action = host_action::drain;
    std::string host;
    std::string pool;     // pool that the proposer believes the host to be in
    std::string to_pool;  // for `move`
    std::int64_t epoch = 0;
    std::string reason;
    std::string alternatives;  // what the decision was compared with
    authority basis;
};

/// What is believed of a host.
enum class host_condition {
    up,        // answers
    doubtful,  // some nodes cannot reach it, or it fails more than its pool
    down,      // does not answer
};

/// Reports a host's condition.
struct condition_record {
    std::string host;
    host_condition condition = host_condition::up;
    std::string evidence;
};

// ---- Maintenance waves ----

/// Changes of the state of the wave.
enum class wave_action {
    start,   // a new wave begins
    pause,   // stops itself, or an operator stops it
    resume,  // goes on
    finish,  // every host was maintained
};

/// Proposes a change of the wave numbered `wave`.
struct wave_record {
    wave_action action = wave_action::start;
    std::int64_t wave = 0;
    std::string reason;
};

// ---- At most once ----

/// Claims an idempotency key for one request of the writer.
struct claim_record {
    std::string key;  // hash of service and key, from claim_key()
    std::string request_id;
};

/// How a claim ended.
enum class claim_end {
    released,  // the request was never sent; the key is free again
    done,      // the upstream answered
    unknown,   // it may have run
};

/// Ends a claim of the writer.
struct claim_end_record {
    std::string key;
    std::string request_id;
    claim_end end = claim_end::done;
};

// ---- Keeping the log short ----

/// A part of a snapshot.
struct snapshot_chunk {
    std::string id;  // writer and sequence of the snapshot
    std::int64_t index = 0;
    std::string bytes;
};

/// Closes a snapshot.
struct snapshot_done {
    std::string id;
    std::int64_t up_to = 0;        // first offset that is not part of the snapshot
    std::int64_t first_chunk = 0;  // offset of chunk 0
    std::int64_t chunks = 0;
    std::string hash;  // SHA-256 of all bytes
};

/// A sealed part of the audit chain, new or carried forward.
struct audit_segment {
    std::int64_t index = 0;
    std::string previous;  // hash of the segment before; empty for the first
    std::string entries;   // JSON array of audit entries
    std::string hash;      // SHA-256 of previous + entries
};

using record = std::variant<publish_record, host_record, condition_record, wave_record, claim_record,
                            claim_end_record, snapshot_chunk, snapshot_done, audit_segment>;

/// One append.
struct batch {
    std::string writer;            // node or operator
    std::int64_t incarnation = 0;  // start of the writer, ms since the epoch
    std::int64_t seq = 0;          // from 1 on within an incarnation
    std::int64_t seen_offset = 0;  // how far the writer had folded
    std::vector<record> records;
};

/// @return CBOR bytes
std::string encode(const batch& value);

/// @return the batch, or `malformed`; never throws on foreign bytes
result<batch> decode(std::string_view bytes);

/// @return the key under which a request of @p service with @p idempotency_key is claimed
std::string claim_key(std::string_view service, std::string_view idempotency_key);

const char* to_string(document kind);
const char* to_string(host_action action);
const char* to_string(host_condition condition);
const char* to_string(wave_action action);
const char* to_string(claim_end end);

}  // namespace waxwingnotch
