/// @file
/// Chooses the upstream of a request. Pure: it takes candidates and random bits and returns a choice.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace waxwingnotch {

/// One upstream that may take the request.
struct route_candidate {
    std::string_view host;
    std::uint32_t slots = 8;
    std::uint32_t in_flight_here = 0;    // requests of this node in flight
    std::uint32_t busy_elsewhere = 0;    // last reported by the worker, without this node's own requests
    std::uint32_t connections_left = 8;  // free connections of this node's share
};

/// A worker's last report of the slots that other nodes use.
struct slot_report {
    std::uint32_t busy_elsewhere = 0;
    std::int64_t at_ms = 0;
};

/// The reported count decays linearly to 0 within this time. A node gets no new report from a worker while it
/// has nothing in flight there, so without decay a report of a full worker would exclude the worker for good.
constexpr std::int64_t report_decay_ms = 100;

/// @return estimate of the slots that other nodes use now
std::uint32_t busy_elsewhere(const slot_report& report, std::int64_t now_ms);

/// The chosen candidate and the one that it was compared with.
struct route_choice {
    std::size_t index = 0;                 // index of the candidate
    std::optional<std::size_t> runner_up;  // index of the other compared candidate
    double load = 0;                       // busy share of the chosen candidate's slots
};

/// Power of two choices: draws two candidates with a free slot and takes the less loaded.
/// @param candidates in any order
/// @param random 64 random bits
/// @return nullopt if no candidate has a free slot and a free connection
std::optional<route_choice> choose_upstream(std::span<const route_candidate> candidates,
                                            std::uint64_t random);

/// @return candidate number `index` of a pool, or nullopt if it may not take this request
using candidate_source = std::function<std::optional<route_candidate>(std::size_t index)>;

/// Like choose_upstream(), but without a list of the pool: samples until two candidates have a free slot, and
/// scans the whole pool only if a fixed number of samples does not find them.
/// @param count number of candidates of the pool
std::optional<route_choice> sample_upstreams(std::size_t count, const candidate_source& candidate,
                                             std::uint64_t random);

// ---- Subsets of a large pool ----

/// @return number of entry nodes that can use one worker when each needs @p needed of its @p connections;
/// at least 1
std::uint32_t nodes_per_worker(std::uint32_t connections, std::uint32_t needed);

/// @return true if @p node is among the @p max_nodes members that rank first for @p host by rendezvous
/// hashing. When a member joins or leaves, only hosts that it uses are assigned differently.
/// @param members entry nodes that are alive, @p node included
bool uses_worker(std::string_view node, std::span<const std::string> members, std::string_view host,
                 std::uint32_t max_nodes);

}  // namespace waxwingnotch
