/// @file
/// Appends records to the platform's log by group commit: at most one append is in flight, and records
/// proposed in the meantime form the next batch.
///
/// A proposal is settled by the fold's verdict, never by the answer to the append, which may be lost. An
/// append without an answer is retried unchanged; the fold drops duplicates.
///
///     proposal_id claim = appender.propose(claim_record{key, id}, [](const proposal_outcome& outcome) { ...
///     }); for (const verdict& one : apply(state, entry)) appender.apply_verdict(one);
#pragma once

#include "waxwingnotch/fleet/fold.hpp"
#include "waxwingnotch/net/http_client.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace waxwingnotch {

/// Outcome of a proposal.
struct proposal_outcome {
    bool accepted = false;
    std::string reason;  // of the rejection
};

using proposal_id = std::uint64_t;
using proposal_handler = std::function<void(const proposal_outcome&)>;

/// Identity of the writer, and address of the log.
struct appender_options {
    std::string address;                        // of the log
    std::string writer;                         // node id
    std::int64_t incarnation = 0;               // start time of the process, ms since the Unix epoch
    std::function<std::int64_t()> seen_offset;  // next offset that this node will fold
};

/// Batches, appends and retries the proposals of one writer.
class log_appender {
public:
    static constexpr std::size_t max_batch_records = 256;
    static constexpr std::size_t max_batch_bytes = 512U << 10U;
    static constexpr std::size_t max_waiting_proposals = 20'000;  // further proposals are rejected
    static constexpr std::int64_t append_interval_ms = 20;        // 8 nodes stay below 400 appends per second
    static constexpr std::int64_t append_timeout_ms = 2'000;
    static constexpr std::int64_t verdict_timeout_ms = 3'000;  // then an answered append is repeated

    log_appender(event_loop& loop, http_client& client, appender_options options);

    /// Proposes a record.
    /// @param done called with the fold's verdict, or with a rejection if the queue is full; may be empty
    proposal_id propose(record item, proposal_handler done);
    /// Withdraws a proposal that is not part of an append yet; its handler is then not called.
    /// @return true if it was withdrawn; false if it may be in the log
    bool withdraw(proposal_id id);
    /// Applies a verdict to the proposal that it belongs to. Call it with every verdict of the fold; those on
    /// records of other writers are ignored.
    void apply_verdict(const verdict& outcome);

    /// Number of proposals that are not part of an append yet.
    std::size_t waiting() const { return waiting_.size(); }
    bool busy() const { return !batch_.empty() || !waiting_.empty(); }
    /// Number and total bytes of the appends that were sent, including retries.
    std::uint64_t appends() const { return appends_; }
    std::uint64_t bytes() const { return bytes_; }

private:
    struct proposal {
        proposal_id id = 0;
        record item;
        proposal_handler done;
    };

    void start_batch();
    void append();
    void append_after(std::int64_t delay_ms);
    void finish_batch();

    event_loop& loop_;
    http_client& client_;
    appender_options options_;
    proposal_id next_id_ = 1;
    std::int64_t seq_ = 0;
    std::deque<proposal> waiting_;
    std::vector<proposal> batch_;  // in flight; settled proposals have no handler
    std::size_t unsettled_ = 0;
    std::string batch_bytes_;
    timer retry_timer_;
    timer batch_timer_;                  // active until next_batch_at_ms_ while proposals wait
    std::int64_t next_batch_at_ms_ = 0;  // monotonic
    call_id call_ = 0;
    std::int64_t failures_ = 0;
    std::uint64_t appends_ = 0;
    std::uint64_t bytes_ = 0;
};

}  // namespace waxwingnotch
