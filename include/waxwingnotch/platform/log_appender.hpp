/// @file
/// Appends records to the platform's log by group commit: one append is under way at a time,
/// and what is proposed meanwhile shares the next.
///
/// A proposal is settled by the fold's verdict on it, never by the append's answer, which may
/// be lost. An append without an answer is repeated as it was; the fold drops the second copy.
///
///     ticket claim = appender.propose(claim_record{key, id}, [](const settlement& s) { ... });
///     for (const verdict& one : apply(state, entry)) appender.settle(one);
#pragma once

#include "waxwingnotch/fleet/fold.hpp"
#include "waxwingnotch/net/http_client.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace waxwingnotch {

/// What became of a proposal.
struct settlement {
    bool accepted = false;
    std::string reason;  // why not
};

using ticket = std::uint64_t;
using settlement_handler = std::function<void(const settlement&)>;

/// Who appends, and where to.
struct appender_options {
    std::string address;           // of the log
    std::string writer;            // node id
    std::int64_t incarnation = 0;  // ms since the epoch, of the process start
    std::function<std::int64_t()> seen_offset;
};

/// The appending side of a writer.
class log_appender {
public:
    static constexpr std::size_t max_batch_records = 256;
    static constexpr std::size_t max_batch_bytes = 512U << 10U;
    static constexpr std::size_t max_waiting = 20'000;  // further proposals are refused
    static constexpr std::int64_t append_gap_ms = 20;   // 8 nodes stay under 400 appends a second
    static constexpr std::int64_t append_timeout_ms = 2'000;
    static constexpr std::int64_t settle_timeout_ms = 3'000;  // then the append is repeated

    log_appender(event_loop& loop, http_client& client, appender_options options);

    /// Proposes a record. @p done runs once the fold has spoken; it may be empty.
    ticket propose(record item, settlement_handler done);
    /// Takes back a proposal.
    /// @return true if it never left this process; false if it may be in the log
    bool withdraw(ticket id);
    /// Tells the fold's verdicts, of every writer.
    void settle(const verdict& one);

    std::size_t waiting() const { return waiting_.size(); }
    bool busy() const { return !batch_.empty() || !waiting_.empty(); }
    std::uint64_t appends() const { return appends_; }
    std::uint64_t bytes() const { return bytes_; }

private:
    struct proposal {
        ticket id = 0;
        record item;
        settlement_handler done;
    };

    void start_batch();
    void append();
    void append_after(std::int64_t delay_ms);
    void finish_batch();

    event_loop& loop_;
    http_client& client_;
    appender_options options_;
    ticket next_ticket_ = 1;
    std::int64_t seq_ = 0;
    std::deque<proposal> waiting_;
    std::vector<proposal> batch_;  // under way; settled ones have no handler any more
    std::size_t unsettled_ = 0;
    std::string batch_bytes_;
    timer retry_;
    timer gap_;                       // pending while the next batch waits for its time
    std::int64_t next_batch_at_ = 0;  // monotonic ms
    call_id call_ = 0;
    std::int64_t failures_ = 0;
    std::uint64_t appends_ = 0;
    std::uint64_t bytes_ = 0;
};

}  // namespace waxwingnotch
