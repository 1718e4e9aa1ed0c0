/// @file
/// Decides when a list of all hosts may be requested from the host service.
///
/// Load pattern: a list has some 160 bytes for each host. Four a second of 155 hosts took 39 % of a link of
/// 2 Mbit/s all day, and 2,100 hosts would need more than twice that link. Lists therefore get a fixed share
/// of the link. What they do not use is saved up, so that a list on which an order waits can be requested at
/// once although the next regular one is not due.
///
///     list_pace pace(link_kbps);
///     if (pace.admits(list_need::order, now)) {
///         const std::int64_t expected = pace.begin(now);
///         // request the list; then
///         pace.end(expected, bytes_of_the_list, true, now);
///     }
#pragma once

#include <cstdint>

namespace waxwingnotch {

/// What a list of hosts is needed for.
enum class list_need : std::uint8_t {
    refresh,  // to learn of changes; waits until all is saved up that may be
    order,    // an order or the end of a worker waits for it
};

class list_pace {
public:
    static constexpr std::int64_t share_percent = 10;  // of the link, for lists
    static constexpr std::int64_t saved_ms = 4'000;    // bytes are saved up for this long

    /// @param link_kbps rate of the link in each direction; 0: not known, all lists are admitted
    explicit list_pace(std::int64_t link_kbps);

    bool limited() const { return bytes_per_ms_ > 0; }
    /// Whether a list may be requested now.
    bool admits(list_need need, std::int64_t now_ms) const;
    /// Spends the bytes of a list that is requested now. @return these, by the latest whole list
    std::int64_t begin(std::int64_t now_ms);
    /// Learns what a list has cost.
    /// @param expected what begin() returned @param bytes received of it
    /// @param whole false: it failed. What it was expected to cost stays spent, as its bytes may still be on
    ///        their way.
    void end(std::int64_t expected, std::int64_t bytes, bool whole, std::int64_t now_ms);

private:
    double capacity() const;
    double owed(std::int64_t now_ms) const;
    void spend(double bytes, std::int64_t now_ms);

    double bytes_per_ms_;
    std::int64_t list_bytes_ = 0;  // of the latest whole list
    double spent_ = 0;             // bytes that had not been earned again at spent_at_ms_
    std::int64_t spent_at_ms_ = 0;
};

}  // namespace waxwingnotch
