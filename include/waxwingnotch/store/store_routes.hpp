/// @file
/// Chooses the route of a call to the store: directly, or through another entry node.
///
/// Failure pattern: the store stops answering a third of the nodes for several seconds, without closing
/// their connections, and serves the others. A node that waits for a timeout on each call, or on each
/// attempt to use its own connection again, loses its group membership and delays every start. A call
/// without an answer is therefore sent again over a second route, and only reads probe a failed direct
/// route. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace waxwingnotch {

/// The internal address of a peer; empty: the store itself.
using store_route = std::string;

class store_routes {
public:
    struct options {
        std::int64_t min_resend_ms = 120;      // shortest wait for an answer before another route is tried
        double resend_factor = 4.0;            // the wait, as a multiple of the mean answer time
        std::int64_t direct_avoid_ms = 5'000;  // a failed direct route is avoided unless a probe succeeds
        std::int64_t peer_avoid_ms = 2'000;    // a failed peer is avoided
        std::int64_t probe_interval_ms = 300;  // between probes of a failed direct route
    };

    store_routes() = default;
    explicit store_routes(options options) : options_(options) {}

    void set_peers(std::vector<std::string> peers);
    const std::vector<std::string>& peers() const { return peers_; }

    /// @param tried routes that this call has used
    /// @return the next route. A route that has failed recently is only used if no other is left, and one
    ///         that this call has tried before only if all have been tried.
    store_route next(std::span<const store_route> tried, std::int64_t now_ms) const;
    /// Whether a read that goes through a peer should also be sent directly. Counts as sent if so.
    bool take_probe(std::int64_t now_ms);
    /// How long to wait for an answer before the call is sent over a second route.
    std::int64_t resend_after_ms() const;

    /// @param answer_ms time from the call to its answer, without the time that the store was asked to wait
    void on_answer(const store_route& route, std::int64_t answer_ms);
    void on_failure(const store_route& route, std::int64_t now_ms);

    bool direct_usable(std::int64_t now_ms) const { return now_ms >= avoid_direct_until_ms_; }

private:
    bool peer_usable(const std::string& peer, std::int64_t now_ms) const;

    options options_;
    std::vector<std::string> peers_;
    std::string preferred_peer_;                          // the latest that answered
    std::map<std::string, std::int64_t> avoid_until_ms_;  // by peer
    std::int64_t avoid_direct_until_ms_ = 0;
    std::int64_t last_probe_ms_ = 0;
    double mean_answer_ms_ = 0;
};

}  // namespace waxwingnotch
