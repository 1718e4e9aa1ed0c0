/// @file
/// Learned run times, by service, kind and order of magnitude of the declared run time. Plain
/// data; time is an argument.
///
///     run_time_table table;
///     table.record({"grading", "photo", 200}, 1'850, now_ms);
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

/// What is known about work before it runs.
struct work_label {
    std::string_view service;
    std::string_view kind;         // empty: none
    std::int64_t declared_ms = 0;  // 0: not declared
};

/// Parameters of a table.
struct run_time_rules {
    std::size_t max_entries = 2'048;   // beyond this, the least recently updated entry is evicted
    std::size_t window = 31;           // newest run times kept per entry; odd, so that a median exists
    std::size_t min_samples = 5;       // an entry with fewer is not used
    std::int64_t default_ms = 1'000;   // estimate for work without any information
    std::int64_t max_age_ms = 60'000;  // an older estimate refuses no work; see misses_deadline()
};

/// Source of an estimate, most specific first.
enum class estimate_basis {
    declared_class,  // run times of this kind with a declared run time of this magnitude
    kind,            // run times of this kind
    service,         // run times of the service, combined with the declared run time
    declared,        // the declared run time; nothing is learned yet
    nothing,         // the default; nothing is learned or declared
};

/// Expected run time.
struct run_time_estimate {
    std::int64_t median_ms = 0;
    std::int64_t p10_ms = 0;              // 10th percentile; same as median_ms unless learned for the kind
    std::int64_t service_typical_ms = 0;  // median of the whole service; 0: not learned
    std::int64_t learned_at = 0;  // time of the newest sample, ms; not set for `declared` and `nothing`
    std::size_t samples = 0;
    estimate_basis basis = estimate_basis::nothing;
};

const char* to_string(estimate_basis value);

/// @return order of magnitude, to base 4, of a declared run time; 0 if nothing is declared
std::uint32_t declared_class(std::int64_t declared_ms);

/// Bounded table of recent run times.
class run_time_table {
public:
    explicit run_time_table(run_time_rules rules = {});

    /// Records the run time of completed work.
    void record(const work_label& work, std::int64_t ran_ms, std::int64_t now_ms);
    /// Records work that was stopped after @p ran_ms. The sample counts only if it exceeds the estimate,
    /// because a shorter time says nothing about the whole run.
    void record_stopped(const work_label& work, std::int64_t ran_ms, std::int64_t now_ms);
    run_time_estimate estimate(const work_label& work) const;
    /// @return median run time of the service; 0: not learned
    std::int64_t service_typical_ms(std::string_view service) const;
    /// @return true if @p deadline_at has passed, or if work that starts now would miss it unless it runs
    ///         shorter than nine tenths of its kind. Only a recent estimate that is learned for the kind
    ///         counts: refused work adds no samples, so a wrong estimate has to expire.
    /// @param deadline_at ms; 0: no deadline, which is never missed
    bool misses_deadline(const run_time_estimate& value, std::int64_t deadline_at, std::int64_t now_ms) const;

    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        std::string key;
        std::vector<std::int64_t> ran_ms;  // ring buffer
        std::size_t next = 0;              // index of the next write
        std::int64_t learned_at = 0;
    };
    using entry_list = std::list<entry>;  // most recently updated first

    void add(std::string key, std::int64_t ran_ms, std::int64_t now_ms);
    const entry* find_trusted(const std::string& key) const;

    run_time_rules rules_;
    entry_list entries_;
    std::unordered_map<std::string, entry_list::iterator> by_key_;
};

}  // namespace waxwingnotch
