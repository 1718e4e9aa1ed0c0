#include "waxwingnotch/job/progress_parts.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace waxwingnotch {

namespace {

constexpr std::size_t first_digits = 6;  // of the number of a task; max_stored_tasks has as many

/// @return the first task that the key of a later part of @p occurrence names; nothing for other keys
std::optional<std::size_t> first_task_of(std::string_view key, std::string_view occurrence)
{
    if (key.size() != occurrence.size() + 1 + first_digits) {
        return std::nullopt;
    }
    std::size_t first = 0;
    const std::string_view digits = key.substr(occurrence.size() + 1);
    const auto [end, problem] = std::from_chars(digits.data(), digits.data() + digits.size(), first);
    const bool whole = problem == std::errc{} && end == digits.data() + digits.size() && first > 0;
    return whole ? std::optional(first) : std::nullopt;
}

/// Replaces the tasks from @p first on by those of a part, whose earlier steps are empty.
/// @return whether no task is missing before the part
bool replace_tail(occurrence_progress& progress, std::size_t first, occurrence_progress part)
{
    const auto begin = std::find_if(part.steps.begin(), part.steps.end(),
                                    [](const std::vector<task_progress>& tasks) { return !tasks.empty(); });
    const auto step = static_cast<std::size_t>(begin - part.steps.begin());
    if (begin == part.steps.end() || step > progress.steps.size()) {
        return false;
    }
    const std::size_t before = number_of_task(progress, step, 0);
    const std::size_t known = step < progress.steps.size() ? progress.steps[step].size() : 0;
    if (first < before || first - before > known) {
        return false;
    }
    progress.steps.resize(step + 1);
    progress.steps[step].resize(first - before);
    std::move(begin->begin(), begin->end(), std::back_inserter(progress.steps[step]));
    std::move(begin + 1, part.steps.end(), std::back_inserter(progress.steps));
    return true;
}

}  // namespace

void progress_parts::mark(std::size_t task)
{
    changed.insert(*std::prev(firsts.upper_bound(task)));
}

void progress_parts::mark_all()
{
    changed = firsts;
}

std::size_t number_of_task(const occurrence_progress& progress, std::size_t step, std::size_t index)
{
    std::size_t number = index;
    for (std::size_t earlier = 0; earlier < step; ++earlier) {
        number += progress.steps[earlier].size();
    }
    return number;
}

std::size_t count_tasks(const occurrence_progress& progress)
{
    return number_of_task(progress, progress.steps.size(), 0);
}

std::string part_key(const std::string& occurrence, std::size_t first_task)
{
    if (first_task == 0) {
        return occurrence;
    }
    const std::string digits = std::to_string(first_task);
    return occurrence + "." + std::string(first_digits - std::min(first_digits, digits.size()), '0') + digits;
}

std::map<std::string, std::string> encode_changed_parts(const occurrence_progress& progress,
                                                        const std::string& occurrence, progress_parts& parts,
                                                        std::size_t max_bytes)
{
    std::map<std::string, std::string> records;
    const std::size_t tasks = count_tasks(progress);
    while (!parts.changed.empty()) {
        const std::size_t first = *parts.changed.begin();
        const auto next = parts.firsts.upper_bound(first);
        const std::size_t end = next == parts.firsts.end() ? tasks : *next;
        std::string bytes = encode_progress(progress, first, end);
        if (bytes.size() > max_bytes && end - first > 1) {
            const std::size_t middle = first + (end - first) / 2;
            parts.firsts.insert(middle);
            parts.changed.insert(middle);
            continue;
        }
        records[part_key(occurrence, first)] = std::move(bytes);
        parts.changed.erase(first);
    }
    return records;
}

result<joined_progress> join_parts(const std::map<std::string, std::string>& records,
                                   const std::string& occurrence)
{
    const auto head = records.find(occurrence);
    if (head == records.end()) {
        return fail(error_code::not_found, "progress of " + occurrence + ": no record");
    }
    auto progress = decode_progress(head->second);
    if (!progress) {
        return progress.error();
    }
    joined_progress joined{.progress = std::move(progress.value()), .parts = {}};
    joined.parts.changed.clear();
    const std::string prefix = occurrence + ".";
    for (auto at = records.lower_bound(prefix); at != records.end() && at->first.starts_with(prefix); ++at) {
        const std::optional<std::size_t> first = first_task_of(at->first, occurrence);
        if (!first) {
            continue;
        }
        auto part = decode_progress(at->second);
        if (!part) {
            return part.error();
        }
        if (!replace_tail(joined.progress, *first, std::move(part.value()))) {
            return fail(error_code::malformed, "progress record " + at->first + " leaves a gap");
        }
        joined.parts.firsts.insert(*first);
    }
    return joined;
}

}  // namespace waxwingnotch
