/// @file
/// Decides whether a node sends the records of accepted jobs to the owner of their shard, which appends the
/// records of all nodes together, or appends them itself.
///
/// Load pattern: a hundred nodes accept the jobs of one queue while the store takes 0.2 s for an append and
/// processes the appends to a partition one after the other. Single appends of the nodes would wait for
/// each other for 20 s, and the store refuses appends that would wait for 2 s.
///
/// The other load pattern: in a turn of demand the link of the owner is full. A record that goes through it
/// crosses that link once more in each direction, while the links of the other nodes are idle; the store
/// answers within milliseconds. No I/O.
#pragma once

#include <cstdint>

namespace waxwingnotch {

/// The route to the owner of one shard.
class submission_route {
public:
    struct options {
        std::int64_t min_timeout_ms = 1'000;  // covers an append that waits behind another in a slow store
        std::int64_t max_timeout_ms = 2'000;  // leaves time for an own append before the caller's deadline
        double timeout_factor = 3.0;          // of the mean answer time
        std::int64_t avoid_ms = 1'500;        // the time that a takeover takes
        std::int64_t full_link_ms = 1'000;    // a load peak lasts for seconds
        // An owner whose link has more than this to carry has no room for records of others.
        std::int64_t max_owner_backlog_ms = 40;
        // A store whose appends take longer is not given the single appends of all nodes.
        std::int64_t max_append_ms = 100;
    };

    submission_route() = default;
    explicit submission_route(options options) : options_(options) {}

    /// Whether to send the next record to the owner.
    bool use_owner(std::int64_t now_ms) const { return now_ms >= avoid_until_ms_; }
    /// How long to wait for the owner's answer.
    std::int64_t timeout_ms() const;

    void on_answer(std::int64_t answer_ms);
    /// The owner has taken the record and asks for no more for a while.
    void on_full_link(std::int64_t now_ms) { avoid_until_ms_ = now_ms + options_.full_link_ms; }
    /// Whether an owner asks the other nodes to append the next records themselves.
    /// @param backlog_ms of the owner's link
    /// @param append_ms time of the latest append, with its wait for the link
    bool append_elsewhere(std::int64_t backlog_ms, std::int64_t append_ms) const
    {
        return backlog_ms > options_.max_owner_backlog_ms && append_ms - backlog_ms <= options_.max_append_ms;
    }
    void on_timeout(std::int64_t now_ms) { avoid_until_ms_ = now_ms + options_.avoid_ms; }

private:
    options options_;
    double mean_answer_ms_ = 0;
    std::int64_t avoid_until_ms_ = 0;
};

}  // namespace waxwingnotch
