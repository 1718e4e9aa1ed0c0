/// @file
/// Follows one partition of a keyed topic: reads the newest record of each key, then every later
/// record. If the store no longer keeps the next offset, the follower reloads the newest records. An answer
/// that ends before an offset that the partition is known to reach is stale; the call is repeated.
///
/// With `newest_only_key`, a value of that key costs one copy of the newest one, however many came in
/// between. The values of a key are handed over in the order of the log, also where records are skipped.
#pragma once

#include "waxwingnotch/net/event_loop.hpp"
#include "waxwingnotch/store/store.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace waxwingnotch {

struct follow_options {
    std::string topic;
    int partition = 0;
    std::int64_t long_poll_ms = 0;      // long-poll time of each read; 0: returns at once
    std::int64_t read_interval_ms = 0;  // between reads
    std::int64_t min_end_offset = 0;    // the partition is known to reach this offset
    // Size of the answer to a read. A large answer takes a slow host so long that the call times out, and the
    // next answer is larger still.
    std::int64_t max_answer_kb = 64;
    // Key of which only the newest value matters, as the configuration's. If a record that is due does not
    // fit an answer, the last one is read instead, and the newest values of the other keys are loaded if
    // records were skipped. The load leaves out this key, which would cost a second copy, and the keys that
    // sort before it. Empty: each record is read.
    std::string newest_only_key;
};

class keyed_follower {
public:
    struct handlers {
        std::function<void(const keyed_record& record)> record;  // `value` empty: the key was deleted
        std::function<void()> after_read;                        // after each load and each successful read
    };

    keyed_follower(event_loop& loop, log_store& store, follow_options options, handlers handlers);
    ~keyed_follower();
    keyed_follower(const keyed_follower&) = delete;
    keyed_follower& operator=(const keyed_follower&) = delete;
    keyed_follower(keyed_follower&&) = delete;
    keyed_follower& operator=(keyed_follower&&) = delete;

    void start();
    /// @return monotonic time in ms; all records that the store held then have been handled. 0: none yet
    std::int64_t complete_until_ms() const { return complete_until_ms_; }
    /// @return as complete_until_ms(), but later after a read that has waited in vain
    std::int64_t known_until_ms() const { return known_until_ms_; }
    /// @return the offset of the next read; after a load, all records before it have been handled
    std::int64_t next_offset() const { return next_offset_; }
    /// @return the offset that the partition is known to reach: the highest end of an answer so far
    std::int64_t end_offset() const { return end_offset_; }

private:
    void load(std::string after);
    void load_page(const std::string& after);
    void finish_load();
    void read_next();
    void schedule_read(std::int64_t delay_ms);
    bool stale(std::int64_t end_offset);
    void on_newest_page(const std::string& after, const newest_page& page);
    void on_read_result(const read_result& read);
    bool hand_over(const std::vector<keyed_record>& records);
    void finish_read(const read_result& read);
    void read_newest_record(std::int64_t end_offset);
    void on_newest_record(std::int64_t from_offset, const read_result& read);
    bool repeat_if_failed(const read_result& read);
    bool newest_record_due(const read_result& read) const;
    void note_size(const keyed_record& record);

    event_loop& loop_;
    log_store& store_;
    follow_options options_;
    handlers handlers_;
    bool first_page_ = true;
    std::int64_t next_offset_ = 0;
    std::string load_after_;  // the load in progress leaves out the keys up to this one
    std::int64_t loaded_offset_ =
        0;  // records of the other keys before it are older than what a load returned
    std::int64_t end_offset_;
    bool stale_logged_ = false;
    std::int64_t answer_kb_ = 0;  // size asked for; above the limit while the next record does not fit
    std::int64_t newest_kb_;      // size asked for to read the newest record
    std::int64_t complete_until_ms_ = 0;
    std::int64_t known_until_ms_ = 0;
    std::int64_t read_sent_ms_ = 0;      // of the read in flight
    std::set<std::string> live_keys_;    // keys that have a value
    std::set<std::string> loaded_keys_;  // keys seen by the load in progress
    timer delay_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace waxwingnotch
