/// @file
/// Decides when a call may use the link of this host.
///
/// Load pattern: in a turn of demand the owner of a pool sends 200 orders a second over a link of 2 Mbit/s.
/// What is sent at once waits in the queue of the link, all answers arrive later than their time-outs, and
/// the calls that are repeated keep the queue full after the turn has ended. Calls therefore wait in this
/// process, where those on which the ownership rests go first, while the link has more to carry than a call
/// of their class may wait for. No I/O.
#pragma once

#include "waxwingnotch/net/traffic.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace waxwingnotch {

/// The two directions of a link, each a queue that drains at the rate of the link. All bytes of the process
/// are added; those of an answer are expected when its call is sent. Answers in bulk, such as a configuration
/// of 1.2 s, share the link with others as they arrive, so only calls in bulk wait for them, and orders,
/// whose late answers count as none.
class link_budget {
public:
    /// @param link_kbps rate in each direction; 0: not known, all calls are admitted
    explicit link_budget(std::int64_t link_kbps);

    bool limited() const { return bytes_per_ms_ > 0; }
    /// Whether a call may be sent now.
    /// @param waited_ms how long it has waited. Calls that have waited are admitted a little earlier.
    bool admits(traffic_class what, std::int64_t waited_ms, std::int64_t now_ms) const;

    /// Adds the expected answer of a call that is sent now. @return its bytes, by the earlier ones of the
    /// class
    std::size_t expect_answer(traffic_class what, std::int64_t now_ms);
    /// Adds bytes that were sent, or were received and not expected.
    void add(traffic_class what, const traffic_bytes& bytes, std::int64_t now_ms);
    /// Learns the size of an answer. An answer that was shorter than expected frees the difference; one that
    /// has not come may still be on its way, and frees nothing.
    /// @param expected what expect_answer() returned
    void on_answer(traffic_class what, std::size_t expected, std::size_t received, std::int64_t now_ms);

    /// The call was refused without an answer: nothing of what was expected will come.
    void on_refused(traffic_class what, std::size_t expected, std::int64_t now_ms);

    /// @return how long the fuller direction needs for what it has been given, without answers in bulk, in ms
    std::int64_t backlog_ms(std::int64_t now_ms) const;
    /// @return the same with answers in bulk: how late an answer may be because of this host's link
    std::int64_t full_backlog_ms(std::int64_t now_ms) const;
    /// @return how long the link needs for @p bytes, in ms; 0 if it is not limited
    std::int64_t transfer_ms(std::size_t bytes) const;

private:
    struct queue {
        double bytes = 0;
        std::int64_t at_ms = 0;
    };
    double left(const queue& direction, std::int64_t now_ms) const;
    void change(queue& direction, double bytes, std::int64_t now_ms);
    queue& received_queue(traffic_class what);

    double bytes_per_ms_ = 0;
    queue sent_;
    queue received_;
    queue received_in_bulk_;
    std::array<double, traffic_class_count> mean_answer_{};
};

}  // namespace waxwingnotch
