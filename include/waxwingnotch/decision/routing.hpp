/// @file
/// Chooses the upstream of a request. Pure: candidates and random bits in, choice out.
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
    std::uint32_t in_flight_here = 0;    // sent by this node, not answered yet
    std::uint32_t busy_elsewhere = 0;    // last reported by the worker, less this node's own
    std::uint32_t connections_left = 8;  // of this node's share
};

/// What a worker last said of the slots that other nodes use.
struct slot_report {
    std::uint32_t busy_elsewhere = 0;
    std::int64_t at_ms = 0;
};

/// A report loses its force within this time. A node that has nothing in flight at a worker hears nothing
/// new from it, so a full report that held for good would keep the node away from the worker for good.
constexpr std::int64_t report_valid_ms = 100;

/// @return slots that other nodes are taken to use now
std::uint32_t busy_elsewhere(const slot_report& report, std::int64_t now_ms);

/// What was chosen, and between which two.
struct route_choice {
    std::size_t index = 0;                 // into the candidates
    std::optional<std::size_t> runner_up;  // the other one that was compared
    double load = 0;                       // busy share of the chosen one
};

/// Power of two choices: draws two candidates with a free slot and takes the less loaded.
/// @param candidates in any order
/// @param random 64 random bits
/// @return nothing if no candidate has a free slot and a free connection
std::optional<route_choice> choose_upstream(std::span<const route_candidate> candidates,
                                            std::uint64_t random);

/// @return candidate number `index` of a pool, or nothing if it may not take this request
using candidate_source = std::function<std::optional<route_candidate>(std::size_t index)>;

/// Same choice without a list of the pool: draws until two candidates have a free slot. Only if few of
/// them have one it looks at all.
/// @param count candidates of the pool
std::optional<route_choice> sample_upstreams(std::size_t count, const candidate_source& candidate,
                                             std::uint64_t random);

// ---- Subsets of a large pool ----

/// @return entry nodes that can use one worker when each needs @p needed connections to it; at least 1
std::uint32_t nodes_per_worker(std::uint32_t connections, std::uint32_t needed);

/// True if @p node is among the @p most members that come first for @p host by rendezvous hashing. When a
/// member joins or leaves, only hosts that it uses change hands.
/// @param members entry nodes that are alive, @p node included
bool uses_worker(std::string_view node, std::span<const std::string> members, std::string_view host,
                 std::uint32_t most);

}  // namespace waxwingnotch
