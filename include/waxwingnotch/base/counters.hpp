/// @file
/// Counters, gauges and histograms for the metrics page.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwingnotch {

/// A number that only grows.
class counter {
public:
    void add(std::uint64_t amount = 1) { value_ += amount; }
    std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_ = 0;
};

/// A number that goes up and down.
class gauge {
public:
    void set(std::int64_t value) { value_ = value; }
    std::int64_t value() const { return value_; }

private:
    std::int64_t value_ = 0;
};

/// Histogram of durations; the upper bounds of its buckets double, starting at 1 ms.
class histogram {
public:
    static constexpr std::size_t bucket_count = 24;  // the last bucket holds everything above 2^22 ms

    void record(std::int64_t value_ms);
    /// @param fraction between 0 and 1
    /// @return upper bound in ms of the bucket that holds this quantile; 0 without records
    std::int64_t quantile(double fraction) const;
    std::uint64_t total() const { return total_; }
    std::int64_t sum_ms() const { return sum_ms_; }
    const std::array<std::uint64_t, bucket_count>& buckets() const { return buckets_; }

private:
    std::array<std::uint64_t, bucket_count> buckets_{};
    std::uint64_t total_ = 0;
    std::int64_t sum_ms_ = 0;
};

/// Owns all metrics of a process. The returned references stay valid for its lifetime.
class metrics {
public:
    // Each returns the existing metric if the name is already registered.
    counter& make_counter(std::string_view name, std::string_view help);
    gauge& make_gauge(std::string_view name, std::string_view help);
    histogram& make_histogram(std::string_view name, std::string_view help);

    /// Adds a metric whose labels tell something about the process; its value is always 1.
    /// @param labels names with values; values must contain no quotation mark, backslash or line break
    void add_info(std::string_view name, std::string_view help,
                  std::span<const std::pair<std::string_view, std::string_view>> labels);
    void add_info(std::string_view name, std::string_view help,
                  std::initializer_list<std::pair<std::string_view, std::string_view>> labels)
    {
        add_info(name, help, std::span(labels.begin(), labels.size()));
    }

    /// Renders every metric as `# HELP`, `# TYPE` and value lines.
    std::string render() const;

private:
    template <class Metric>
    struct entry {
        std::string name;
        std::string help;
        Metric metric;
    };
    template <class Metric>
    static Metric& find_or_add(std::deque<entry<Metric>>& list, std::string_view name, std::string_view help);

    struct info {
        std::string name;
        std::string help;
        std::string labels;  // as they stand between braces
    };

    std::vector<info> infos_;
    std::deque<entry<counter>> counters_;
    std::deque<entry<gauge>> gauges_;
    std::deque<entry<histogram>> histograms_;
};

}  // namespace waxwingnotch
