/// @file
/// Random appends for tests of the fold: many valid ones, and every kind of bad one.
#pragma once

#include "waxwingnotch/fleet/fold.hpp"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace waxwingnotch {

/// Draws the entries of a log. The same seed gives the same log.
class random_log {
public:
    explicit random_log(std::uint64_t seed) : random_(seed) {}

    /// @param state after the entries so far; valid records are made to fit it
    log_entry next(const fleet_state& state);
    std::size_t below(std::size_t limit) { return random_() % limit; }
    bool chance(std::size_t percent) { return below(100) < percent; }
    /// Flips, drops, repeats or inserts bytes.
    std::string mutated(std::string bytes);

private:
    struct writer {
        std::int64_t incarnation = 1;
        std::int64_t seq = 0;
    };

    std::string pick(std::initializer_list<const char*> names);
    std::string fresh_batch(const fleet_state& state);
    record any_record(const fleet_state& state);
    std::string odd_patch();
    record publication(const fleet_state& state);
    record host_step(const fleet_state& state);
    record claim_step();
    record segment(const fleet_state& state);

    std::mt19937_64 random_;
    std::map<std::string, writer> writers_;
    std::vector<std::string> appended_;
    std::vector<std::string> held_;  // made, not appended yet: other writers overtake them
    std::int64_t time_ = 1'000'000;
};

}  // namespace waxwingnotch
