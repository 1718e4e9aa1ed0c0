/// @file
/// Random log entries for tests of the fold: many valid ones, and invalid ones of every kind.
#pragma once

#include "waxwingnotch/fleet/fold.hpp"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace waxwingnotch {

/// Generates the entries of a log. Equal seeds give equal logs.
class random_log {
public:
    explicit random_log(std::uint64_t seed) : random_(seed) {}

    /// Generates the next entry.
    /// @param state after all entries so far; valid records are generated to match it
    log_entry next(const fleet_state& state);
    std::size_t below(std::size_t limit) { return random_() % limit; }
    bool chance(std::size_t percent) { return below(100) < percent; }
    /// Overwrites, truncates, repeats or inserts bytes.
    std::string mutated(std::string bytes);

private:
    struct writer {
        std::int64_t incarnation = 1;
        std::int64_t seq = 0;
    };

    std::string pick(std::initializer_list<const char*> names);
    std::string new_batch(const fleet_state& state);
    record random_record(const fleet_state& state);
    std::string random_patch();
    record publication(const fleet_state& state);
    record host_action_record(const fleet_state& state);
    record claim_or_claim_end();
    record segment(const fleet_state& state);

    std::mt19937_64 random_;
    std::map<std::string, writer> writers_;
    std::vector<std::string> appended_;
    std::vector<std::string> delayed_;  // generated and to be appended later, after batches of other writers
    std::int64_t log_time_ = 1'000'000;
};

}  // namespace waxwingnotch
