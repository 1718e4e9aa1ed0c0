/// @file
/// Fenced writer of one partition with group commit. Values that are put while an append is in flight
/// are sent together in the next one; only the newest value of each key is sent. Where they need several
/// appends, higher keys are stored first.
#pragma once

#include "waxwingnotch/net/event_loop.hpp"
#include "waxwingnotch/store/store.hpp"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace waxwingnotch {

class journal {
public:
    struct options {
        std::string topic;
        int partition = 0;
        std::string writer;      // producer name, the same for all owners of the partition
        std::int64_t epoch = 0;  // higher than that of every earlier owner
        // Whether all records of the partition come from fenced writers, so that those of one epoch follow
        // each other without a gap.
        bool sole_writer = true;
        // Shortest time between two appends; keeps the writer below the store's rate limit.
        std::int64_t min_append_interval_ms = 8;
        // Record that the append which registers the epoch carries. With a claim, the sequence numbers begin
        // at a random one, so that the store refuses a second writer with this epoch. Without one they begin
        // at 0: the protocol does not say which number follows an append without records. Empty key: no
        // claim.
        std::string claim_key;
        std::string claim_value;
        // Longest record that the store takes, with its key.
        std::size_t max_record_bytes = 262'144;
        // Runs when the store does not take a record that is valid in itself, before the actions that wait
        // for it; all other records are written. Empty: the record is only logged.
        std::function<void(const std::string& key)> on_refused = {};
        // Record that is written when an action is pending and no value is.
        std::string probe_key = "~owner";
        std::string probe_value = "-";
    };

    /// @param on_lost runs once when this writer can write no more: another owner has written with a higher
    ///        epoch, the sequence number is unexpected, the store rejects the probe record or the
    ///        registration, or it answers with an offset that does not follow this writer's records
    journal(event_loop& loop, log_store& store, options options, std::function<void()> on_lost);
    ~journal();
    journal(const journal&) = delete;
    journal& operator=(const journal&) = delete;
    journal(journal&&) = delete;
    journal& operator=(journal&&) = delete;

    /// Registers the epoch with the store, which fences all earlier owners, and stores the claim if there is
    /// one.
    /// @param done runs once the store has accepted the epoch
    void open(std::function<void()> done);
    /// Queues a value to be written.
    /// @param value none: deletes the key
    void put(const std::string& key, std::optional<std::string> value);
    /// Runs @p action once all values put before this call are stored. If there are none, the probe record is
    /// written first, which confirms that this writer is not fenced.
    void when_stored(std::function<void()> action);
    /// @return the offset behind the newest record that this writer knows of: of its latest append, or what
    ///         the store held when it accepted the epoch, with the claim; -1 before that
    std::int64_t end_offset() const { return end_offset_; }
    /// Monotonic time in ms at which the latest append that the store has accepted was first sent; 0: none
    /// yet. No other writer had registered a higher epoch by then.
    std::int64_t confirmed_ms() const { return confirmed_ms_; }
    /// Monotonic time in ms at which the pending append first failed; 0: no append is failing.
    std::int64_t stalled_since_ms() const { return stalled_since_ms_; }

private:
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    void flush();
    void send();
    void on_append_result(const append_result& answer);
    void on_append_stored(const append_result& answer);
    bool isolate_rejected();
    void refuse(const keyed_record& record, const char* reason);
    bool follows(const append_result& answer) const;
    void close(const append_result& answer, const char* reason);
    void schedule(std::int64_t delay_ms, void (journal::*action)());

    event_loop& loop_;
    log_store& store_;
    options options_;
    std::function<void()> on_lost_;
    std::function<void()> on_opened_;
    std::map<std::string, std::optional<std::string>, std::greater<>> pending_;
    std::vector<std::function<void()>> pending_actions_;
    append_request batch_;
    std::vector<std::function<void()>> batch_actions_;
    std::size_t max_batch_records_ = unlimited;  // less while a rejected record is looked for
    std::optional<keyed_record> suspect_;        // was rejected alone; refused if the store takes the probe
    bool open_ = false;
    bool closed_ = false;
    bool in_flight_ = false;
    bool scheduled_ = false;
    std::int64_t sequence_ = 0;
    std::int64_t end_offset_ = -1;
    std::int64_t last_append_ms_ = 0;
    std::int64_t first_attempt_ms_ = 0;  // of the append in flight
    std::int64_t confirmed_ms_ = 0;
    int attempts_ = 0;
    std::int64_t stalled_since_ms_ = 0;
    timer timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace waxwingnotch
