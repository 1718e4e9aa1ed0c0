/// @file
/// Chooses the upstream of a request. Pure: candidates and random bits in, choice out.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
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

}  // namespace waxwingnotch
