/// @file
/// Learned run times, by service, kind and order of magnitude of the declared run time. Plain
/// data: time comes in as an argument.
///
///     run_time_table table;
///     table.learn({"grading", "photo", 200}, 1'850, now_ms);
///     run_time_estimate guess = table.estimate({"grading", "photo", 200});
#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace waxwingnotch {

/// What is known of a piece of work before it runs.
struct work_label {
    std::string_view service;
    std::string_view kind;         // empty: none
    std::int64_t declared_ms = 0;  // 0: not declared
};

/// Fixed values of a table.
struct run_time_rules {
    std::size_t max_entries = 2'048;  // the least recently learned one is evicted
    std::size_t window = 31;          // newest run times that an entry keeps; odd, so that a median exists
    std::size_t trusted_samples = 5;  // an entry with fewer is passed over
    std::int64_t unknown_ms = 1'000;  // estimate of work of which nothing is known
    std::int64_t fresh_ms = 60'000;   // an older estimate refuses no work; see misses_deadline()
};

/// Where an estimate comes from, most specific first.
enum class estimate_basis {
    declared_class,  // run times of this kind with a declaration of this magnitude
    kind,            // run times of this kind
    service,         // run times of the service, weighed with the declaration
    declared,        // nothing was learned yet
    nothing,         // nothing was learned or declared
};

/// Expected run time.
struct run_time_estimate {
    std::int64_t typical_ms = 0;          // median
    std::int64_t quick_ms = 0;            // lower decile; same as typical unless learned for the kind
    std::int64_t service_typical_ms = 0;  // median of the whole service; 0: not learned
    std::int64_t learned_at = 0;          // newest run time behind it, ms; valid unless declared or nothing
    std::size_t samples = 0;
    estimate_basis basis = estimate_basis::nothing;
};

const char* to_string(estimate_basis value);

/// @return order of magnitude, to the base 4, of a declared run time; 0 if nothing is declared
std::uint32_t declared_class(std::int64_t declared_ms);

/// Run times of the newest work.
class run_time_table {
public:
    explicit run_time_table(run_time_rules rules = {});

    /// Takes over how long a piece of work ran.
    void learn(const work_label& work, std::int64_t ran_ms, std::int64_t now_ms);
    /// Takes over that work was stopped after @p ran_ms. It counts only if it exceeds the estimate,
    /// because a shorter time says nothing about the whole run.
    void learn_at_least(const work_label& work, std::int64_t ran_ms, std::int64_t now_ms);
    run_time_estimate estimate(const work_label& work) const;
    /// @return median of a whole service; 0: not learned
    std::int64_t service_typical_ms(std::string_view service) const;
    /// True if work that is started now cannot end by @p deadline_at unless it runs shorter than nine
    /// tenths of its kind do. Only an estimate that is learned for the kind and recent decides: work that
    /// is refused teaches nothing, so a wrong estimate must lose its force with time.
    /// @param deadline_at 0: none, which is never missed
    bool misses_deadline(const run_time_estimate& value, std::int64_t deadline_at, std::int64_t now_ms) const;

    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        std::string key;
        std::vector<std::int64_t> ran_ms;  // ring
        std::size_t next = 0;              // place of the next one in the ring
        std::int64_t learned_at = 0;
    };
    using entry_list = std::list<entry>;  // most recently learned first

    void add(std::string key, std::int64_t ran_ms, std::int64_t now_ms);
    const entry* trusted(const std::string& key) const;

    run_time_rules rules_;
    entry_list entries_;
    std::unordered_map<std::string, entry_list::iterator> by_key_;
};

}  // namespace waxwingnotch
