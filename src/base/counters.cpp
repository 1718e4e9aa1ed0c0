#include "waxwingnotch/base/counters.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace waxwingnotch {

namespace {
std::int64_t upper_bound_ms(std::size_t bucket)
{
    return std::int64_t{1} << bucket;
}

void write_header(std::string& page, const std::string& name, const std::string& help, const char* type)
{
    page += "# HELP " + name + " " + help + "\n";
    page += "# TYPE " + name + " " + type + "\n";
}
}  // namespace

void histogram::record(std::int64_t value_ms)
{
    std::size_t bucket = 0;
    while (bucket + 1 < bucket_count && upper_bound_ms(bucket) < value_ms) {
        ++bucket;
    }
    ++buckets_[bucket];
    ++total_;
    sum_ms_ += std::max<std::int64_t>(value_ms, 0);
}

std::int64_t histogram::quantile(double fraction) const
{
    if (total_ == 0) {
        return 0;
    }
    const auto rank = static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(total_)));
    std::uint64_t cumulative = 0;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket) {
        cumulative += buckets_[bucket];
        if (cumulative >= rank && cumulative > 0) {
            return upper_bound_ms(bucket);
        }
    }
    return upper_bound_ms(bucket_count - 1);
}

template <class Metric>
Metric& metrics::find_or_add(std::deque<entry<Metric>>& list, std::string_view name, std::string_view help)
{
    for (entry<Metric>& item : list) {
        if (item.name == name) {
            return item.metric;
        }
    }
    list.push_back({std::string(name), std::string(help), {}});
    return list.back().metric;
}

counter& metrics::make_counter(std::string_view name, std::string_view help)
{
    return find_or_add(counters_, name, help);
}

gauge& metrics::make_gauge(std::string_view name, std::string_view help)
{
    return find_or_add(gauges_, name, help);
}

histogram& metrics::make_histogram(std::string_view name, std::string_view help)
{
    return find_or_add(histograms_, name, help);
}

void metrics::add_info(std::string_view name, std::string_view help,
                       std::span<const std::pair<std::string_view, std::string_view>> labels)
{
    std::string text;
    for (const auto& [label, value] : labels) {
        assert(value.find_first_of("\"\\\n") == std::string_view::npos && "add_info(): value needs escaping");
        text += (text.empty() ? "" : ",") + std::string(label) + "=\"" + std::string(value) + "\"";
    }
    infos_.push_back({std::string(name), std::string(help), std::move(text)});
}

std::string metrics::render() const
{
    std::string page;
    for (const info& item : infos_) {
        write_header(page, item.name, item.help, "gauge");
        page += item.name + "{" + item.labels + "} 1\n";
    }
    for (const auto& item : counters_) {
        write_header(page, item.name, item.help, "counter");
        page += item.name + " " + std::to_string(item.metric.value()) + "\n";
    }
    for (const auto& item : gauges_) {
        write_header(page, item.name, item.help, "gauge");
        page += item.name + " " + std::to_string(item.metric.value()) + "\n";
    }
    for (const auto& item : histograms_) {
        write_header(page, item.name, item.help, "histogram");
        std::uint64_t cumulative = 0;
        for (std::size_t bucket = 0; bucket < histogram::bucket_count; ++bucket) {
            cumulative += item.metric.buckets()[bucket];
            const bool last = bucket + 1 == histogram::bucket_count;
            const std::string bound = last ? "+Inf" : std::to_string(upper_bound_ms(bucket));
            page += item.name + "_bucket{le=\"" + bound + "\"} " + std::to_string(cumulative) + "\n";
        }
        page += item.name + "_sum " + std::to_string(item.metric.sum_ms()) + "\n";
        page += item.name + "_count " + std::to_string(item.metric.total()) + "\n";
    }
    return page;
}

}  // namespace waxwingnotch
