#include "waxwingnotch/decision/run_time.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>

namespace waxwingnotch {

namespace {

// Keys of the three levels. The separator cannot occur in a header value.
std::string service_key(const work_label& work)
{
    return std::string(work.service);
}

std::string kind_key(const work_label& work)
{
    return service_key(work) + '\n' + std::string(work.kind);
}

std::string class_key(const work_label& work)
{
    return kind_key(work) + '\n' + std::to_string(declared_class(work.declared_ms));
}

/// @param tenths tenths of the values that lie below the result
std::int64_t quantile(std::vector<std::int64_t> values, std::size_t tenths)
{
    constexpr std::size_t whole = 10;
    const auto place = values.begin() + static_cast<std::ptrdiff_t>(values.size() * tenths / whole);
    std::nth_element(values.begin(), place, values.end());
    return *place;
}

std::int64_t median(const std::vector<std::int64_t>& values)
{
    constexpr std::size_t half = 5;
    return quantile(values, half);
}

std::int64_t geometric_mean(std::int64_t left, std::int64_t right)
{
    return std::llround(std::sqrt(static_cast<double>(left) * static_cast<double>(right)));
}

}  // namespace

const char* to_string(estimate_basis value)
{
    constexpr std::array<const char*, 5> names = {"declared-class", "kind", "service", "declared", "nothing"};
    return names.at(static_cast<std::size_t>(value));
}

std::uint32_t declared_class(std::int64_t declared_ms)
{
    std::uint32_t magnitude = 0;
    for (std::int64_t remaining = declared_ms; remaining > 0; remaining /= 4) {
        ++magnitude;
    }
    return magnitude;
}

run_time_table::run_time_table(run_time_rules rules) : rules_(rules)
{
    assert(rules_.max_entries >= 3 && rules_.window > 0 &&
           "a table needs one entry of each level and a window");
}

void run_time_table::add(std::string key, std::int64_t ran_ms, std::int64_t now_ms)
{
    const auto found = by_key_.find(key);
    if (found != by_key_.end()) {
        entries_.splice(entries_.begin(), entries_, found->second);
    }
    else {
        if (entries_.size() == rules_.max_entries) {
            by_key_.erase(entries_.back().key);
            entries_.pop_back();
        }
        entries_.push_front({key, {}, 0, 0});
        by_key_.emplace(std::move(key), entries_.begin());
    }
    entry& item = entries_.front();
    if (item.ran_ms.size() < rules_.window) {
        item.ran_ms.push_back(ran_ms);
    }
    else {
        item.ran_ms[item.next] = ran_ms;
    }
    item.next = (item.next + 1) % rules_.window;
    item.learned_at = now_ms;
}

void run_time_table::record(const work_label& work, std::int64_t ran_ms, std::int64_t now_ms)
{
    const std::int64_t counted = std::max<std::int64_t>(1, ran_ms);
    add(class_key(work), counted, now_ms);
    add(kind_key(work), counted, now_ms);
    add(service_key(work), counted, now_ms);
}

void run_time_table::record_stopped(const work_label& work, std::int64_t ran_ms, std::int64_t now_ms)
{
    if (ran_ms > estimate(work).median_ms) {
        record(work, ran_ms, now_ms);
    }
}

const run_time_table::entry* run_time_table::find_trusted(const std::string& key) const
{
    const auto found = by_key_.find(key);
    const bool enough =
        found != by_key_.end() && found->second->ran_ms.size() >= std::min(rules_.min_samples, rules_.window);
    return enough ? &*found->second : nullptr;
}

std::int64_t run_time_table::service_typical_ms(std::string_view service) const
{
    const entry* found = find_trusted(std::string(service));
    return found != nullptr ? median(found->ran_ms) : 0;
}

run_time_estimate run_time_table::estimate(const work_label& work) const
{
    const entry* service = find_trusted(service_key(work));
    run_time_estimate value;
    value.service_typical_ms = service != nullptr ? median(service->ran_ms) : 0;
    const entry* source = find_trusted(class_key(work));
    value.basis = estimate_basis::declared_class;
    if (source == nullptr) {
        source = find_trusted(kind_key(work));
        value.basis = estimate_basis::kind;
    }
    if (source != nullptr) {
        value.median_ms = median(source->ran_ms);
        value.p10_ms = quantile(source->ran_ms, 1);
    }
    else if (service != nullptr) {
        source = service;
        value.basis = estimate_basis::service;
        value.median_ms = work.declared_ms > 0 ? geometric_mean(work.declared_ms, value.service_typical_ms)
                                               : value.service_typical_ms;
        value.p10_ms = value.median_ms;
    }
    else {
        value.basis = work.declared_ms > 0 ? estimate_basis::declared : estimate_basis::nothing;
        value.median_ms = work.declared_ms > 0 ? work.declared_ms : rules_.default_ms;
        value.p10_ms = value.median_ms;
        return value;
    }
    value.samples = source->ran_ms.size();
    value.learned_at = source->learned_at;
    return value;
}

bool run_time_table::misses_deadline(const run_time_estimate& value, std::int64_t deadline_at,
                                     std::int64_t now_ms) const
{
    if (deadline_at == 0) {
        return false;
    }
    const bool of_kind = value.basis == estimate_basis::declared_class || value.basis == estimate_basis::kind;
    const bool usable = of_kind && now_ms - value.learned_at <= rules_.max_age_ms;
    return now_ms >= deadline_at || (usable && now_ms + value.p10_ms > deadline_at);
}

}  // namespace waxwingnotch
