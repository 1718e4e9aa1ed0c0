/// @file
/// Interface of the log store, which holds all durable data. The platform adapter implements it; tests
/// use an in-memory implementation.
///
/// A topic is a set of partitions; a partition is a sequence of records with offsets. In a keyed
/// topic the newest record of each key is kept indefinitely.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace waxwingnotch {

/// Result of a call to the store.
enum class store_status {
    ok,
    refused,         // not carried out: rate limit exceeded, or the store is unavailable
    unknown,         // no answer: it may have been carried out, or may still be
    fenced,          // a writer with a higher epoch has written to the partition
    wrong_sequence,  // the sequence number is not the expected one
    wrong_offset,    // the partition does not end at the offset that the append requires
    not_holder,      // the caller does not hold the partition in the group
    offset_expired,  // the requested offset is no longer kept
    rejected,        // the call is invalid; a retry does not help
};
const char* to_string(store_status status);

/// A record of a keyed topic.
struct keyed_record {
    std::string key;
    std::optional<std::string> value;  // none: the key was deleted
    std::int64_t offset = -1;
};

/// Records to append atomically. If a writer is named, the store deduplicates retries by sequence number
/// and refuses lower epochs.
struct append_request {
    std::string topic;
    int partition = 0;
    std::string writer;                 // producer name; empty: epoch and sequence are not used
    std::int64_t epoch = 0;             // ownership epoch of the writer
    std::int64_t sequence = 0;          // rises by one with each append within an epoch
    std::int64_t at_offset = -1;        // appends only if the partition ends there; -1: anywhere
    std::vector<keyed_record> records;  // none: only registers the epoch
};

struct append_result {
    store_status status = store_status::unknown;
    std::int64_t offset = -1;             // of the first record
    std::int64_t end_offset = -1;         // next offset of the partition
    std::int64_t expected_sequence = -1;  // with status `wrong_sequence`
};

struct read_request {
    std::string topic;
    int partition = 0;
    std::int64_t from_offset = 0;
    std::int64_t wait_ms = 0;  // long-poll time: how long the store may wait for a first record
    std::int64_t max_kb = 0;   // size of the answer; 0: the store's own limit
};

struct read_result {
    store_status status = store_status::unknown;
    std::int64_t end_offset = -1;    // next offset of the partition
    std::int64_t first_offset = -1;  // oldest kept offset
    std::vector<keyed_record> records;
};

/// One page of the newest records of a keyed partition.
struct newest_page {
    store_status status = store_status::unknown;
    std::vector<keyed_record> records;
    bool more = false;             // further pages follow
    std::int64_t end_offset = -1;  // next offset of the partition
};

/// Joins a group, or renews the membership. The store assigns the partitions of a topic to the members.
struct join_request {
    std::string group;
    std::string member;
    std::string topic;
    std::int64_t ttl_ms = 0;
    std::int64_t generation = 0;  // the latest one received from the store
};

struct join_result {
    store_status status = store_status::unknown;
    std::int64_t generation = 0;
    std::vector<int> partitions;
};

/// Member of a group that holds a partition.
struct owner_row {
    int partition = 0;
    std::string member;
};

struct owners_result {
    store_status status = store_status::unknown;
    std::vector<owner_row> rows;
};

/// Asynchronous calls; each handler runs once, from the loop. Unless a field's comment says otherwise,
/// fields beside `status` are set only if it is `ok`.
class log_store {
public:
    template <class Result>
    using handler = std::function<void(const Result&)>;

    virtual ~log_store() = default;
    virtual void append(const append_request& request, handler<append_result> done) = 0;
    virtual void read(const read_request& request, handler<read_result> done) = 0;
    /// Reads one page of the newest record of each key.
    /// @param after last key of the previous page; empty: first page
    virtual void read_newest(const std::string& topic, int partition, const std::string& after,
                             handler<newest_page> done) = 0;
    virtual void join(const join_request& request, handler<join_result> done) = 0;
    virtual void leave(const std::string& group, const std::string& member, std::function<void()> done) = 0;
    virtual void owners(const std::string& group, handler<owners_result> done) = 0;

protected:
    log_store() = default;
    log_store(const log_store&) = default;
    log_store& operator=(const log_store&) = default;
    log_store(log_store&&) = default;
    log_store& operator=(log_store&&) = default;
};

}  // namespace waxwingnotch
