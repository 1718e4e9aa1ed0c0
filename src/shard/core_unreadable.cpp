/// Jobs with a record that this version cannot decode. Nothing of them starts; their records stay in the
/// store as they are, for a version that can decode them.
///
/// What becomes of the runs that are at work is stored all the same. If the progress can be decoded, it is
/// kept up to date. If not, notes are stored under a key of their own, and the owner that can decode the
/// progress adds them to it: a worker forgets an end that is acknowledged, and the task would run again.
#include "shard/core_parts.hpp"
#include "shard/held_job.hpp"

#include "waxwingnotch/base/log.hpp"

#include <algorithm>
#include <charconv>
#include <functional>
#include <limits>
#include <utility>

namespace waxwingnotch {

namespace {

// What a run of a job without a readable record may take is not known, so no other task fits its worker. More
// than any worker has, and far from overflowing a sum.
constexpr std::int64_t unknown_need = 1'000'000'000;

/// @return the number in the key JOB.NUMBER of a progress record; nothing for other keys
std::optional<std::uint32_t> occurrence_of(std::string_view key, std::string_view job)
{
    std::uint32_t number = 0;
    const std::string_view digits = key.substr(std::min(key.size(), job.size() + 1));
    const auto [end, problem] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    const bool whole = problem == std::errc{} && end == digits.data() + digits.size();
    return whole ? std::optional(number) : std::nullopt;
}

/// @return the steps of a job of which only the progress of an occurrence is known
std::vector<step_spec> unknown_steps(const occurrence_progress& progress)
{
    std::vector<step_spec> steps;
    for (const std::vector<task_progress>& tasks : progress.steps) {
        steps.push_back({.task_count = static_cast<std::uint32_t>(tasks.size()),
                         .need = {unknown_need, unknown_need, 0}});
    }
    return steps;
}

/// Applies @p change to each task of @p progress and the same task of @p notes, if their shapes are the same.
void for_each_task(occurrence_progress& progress, const occurrence_progress& notes,
                   const std::function<void(task_progress&, const task_progress&)>& change)
{
    if (!same_shape(progress, notes)) {
        return;
    }
    for (std::size_t step = 0; step < notes.steps.size(); ++step) {
        for (std::size_t index = 0; index < notes.steps[step].size(); ++index) {
            change(progress.steps[step][index], notes.steps[step][index]);
        }
    }
}

/// @return what is to be noted: the tasks with a run that some owner has heard of
occurrence_progress notes_of(occurrence_progress progress)
{
    for (std::vector<task_progress>& tasks : progress.steps) {
        for (task_progress& task : tasks) {
            task = task.last_run == 0 ? task_progress{} : std::move(task);
        }
    }
    return progress;
}

}  // namespace

bool same_shape(const occurrence_progress& a, const occurrence_progress& b)
{
    return std::equal(a.steps.begin(), a.steps.end(), b.steps.begin(), b.steps.end(),
                      [](const auto& left, const auto& right) { return left.size() == right.size(); });
}

std::string notes_key(const std::string& job, std::uint32_t occurrence)
{
    return job + notes_suffix + "." + std::to_string(occurrence);
}

bool shard_core::held(const std::string& job) const
{
    return held_jobs_.contains(job);
}

bool shard_core::lacks_record(const std::string& job) const
{
    const auto found = held_jobs_.find(job);
    return found != held_jobs_.end() && found->second->record_unreadable;
}

/// Starts nothing of @p job any more. Its runs go on: they may do so whatever its other tasks have done.
shard_core::held_job& shard_core::hold(job_entry& job)
{
    auto& slot = held_jobs_[job.spec.id];
    if (slot) {
        return *slot;
    }
    slot = std::make_unique<held_job>();
    job.started = true;
    job.max_attempts = std::numeric_limits<std::uint32_t>::max();
    job.spec.repeat_count = job.spec.occurrences();
    for (step_spec& step : job.spec.steps) {
        step.depends_on.clear();
        step.speculative = false;
        step.gang = false;
    }
    for (auto& [number, occurrence] : job.occurrences) {
        occurrence->due_ms = never_ms;
    }
    // It is not handed over to another shard either, which would need the progress.
    const auto shard = service_shards_.find(job.spec.service);
    if (shard != service_shards_.end() && shard->second != options_.shard) {
        job.spec.service.clear();
    }
    if (job.route && job.route->handed_over) {
        job.route.reset();
    }
    return *slot;
}

void shard_core::add_unreadable_job(const std::string& id, std::int64_t now_ms)
{
    if (!loaded_) {
        unreadable_jobs_.insert(id);
        return;
    }
    if (!jobs_.contains(id) && !forwards_.contains(id)) {
        insert_unreadable_job(id, now_ms);
    }
}

/// Inserts the jobs whose own records, or the decisions about them, were read at the takeover and cannot be
/// decoded. What is left of a job without any record is none.
void shard_core::load_unreadable_jobs(std::int64_t now_ms)
{
    for (const rerouted_job& job : rerouted_jobs_) {
        if (unreadable_routes_.contains(job.spec.id)) {
            unreadable_jobs_.insert(job.spec.id);
        }
    }
    for (const std::string& id : unreadable_routes_) {
        if (jobs_.contains(id)) {
            unreadable_jobs_.insert(id);
        }
    }
    for (const std::string& id : std::exchange(unreadable_jobs_, {})) {
        const bool decided = loaded_routes_.contains(id) || unreadable_routes_.contains(id);
        if (jobs_.contains(id) && !decided) {
            continue;  // the other record of the id can be decoded, and it is the one that may have started
        }
        drop_repeat(id);
        loaded_routes_.erase(id);
        std::erase_if(rerouted_jobs_, [&](const rerouted_job& job) { return job.spec.id == id; });
        insert_unreadable_job(id, now_ms);
    }
    unreadable_routes_.clear();
}

void shard_core::insert_unreadable_job(const std::string& id, std::int64_t now_ms)
{
    auto& slot = jobs_[id];
    slot = std::make_unique<job_entry>();
    job_entry& job = *slot;
    job.spec.id = id;
    job.arrived_ms = now_ms;
    hold(job).record_unreadable = true;
    ++counts_.records_unreadable;
    if (cancels_without_job_.erase(id) > 0) {
        job.cancelled = true;
        job.ended_ms = now_ms;
    }
}

/// Opens the occurrences of a job without a readable record, as far as their progress can be decoded.
void shard_core::open_unreadable_job(job_entry& job, std::int64_t now_ms)
{
    const std::string prefix = job.spec.id + ".";
    for (auto at = loaded_progress_.lower_bound(prefix);
         at != loaded_progress_.end() && at->first.starts_with(prefix); ++at) {
        const std::optional<std::uint32_t> number = occurrence_of(at->first, job.spec.id);
        if (!number) {
            continue;
        }
        const auto joined = join_parts(loaded_progress_, at->first);
        if (joined && job.spec.steps.empty()) {
            job.spec.steps = unknown_steps(joined.value().progress);
        }
        if (!joined || !same_shape(joined.value().progress, make_occurrence(job.spec))) {
            report_unreadable(at->first);
            continue;
        }
        make_occurrence_entry(job, *number, never_ms, now_ms);
    }
}

void shard_core::report_unreadable(const std::string& key)
{
    ++counts_.records_unreadable;
    log_event(log_level::error, "progress_unreadable",
              {{"shard", options_.shard}, {"epoch", options_.epoch}, {"job", key}});
}

/// Holds the job of an occurrence whose progress cannot be decoded, and begins with what earlier owners have
/// noted. A task that nothing is noted of may be at work, done, or not have started.
void shard_core::hold_occurrence(occurrence_entry& occurrence)
{
    report_unreadable(occurrence.key());
    job_entry& job = *occurrence.job;
    held_job& entry = hold(job);
    occurrence.due_ms = never_ms;
    for (std::vector<task_progress>& tasks : occurrence.progress.steps) {
        for (task_progress& task : tasks) {
            task.phase = task_phase::active;
        }
    }
    const auto stored = join_parts(loaded_progress_, notes_key(job.spec.id, occurrence.number));
    if (stored) {
        for_each_task(
            occurrence.progress, stored.value().progress,
            [](task_progress& task, const task_progress& note) { task = note.last_run == 0 ? task : note; });
    }
    if (entry.notes_job == nullptr) {
        entry.notes_job = std::make_unique<job_entry>();
        entry.notes_job->spec.id = job.spec.id + notes_suffix;
    }
    auto& slot = entry.notes[occurrence.number];
    slot = std::make_unique<occurrence_entry>();
    slot->job = entry.notes_job.get();
    slot->number = occurrence.number;
    slot->progress = notes_of(occurrence.progress);
    if (stored) {
        slot->parts = stored.value().parts;
    }
}

/// Adds what owners have noted that could not decode the progress.
void shard_core::apply_notes(occurrence_entry& occurrence)
{
    const std::string key = notes_key(occurrence.job->spec.id, occurrence.number);
    if (!loaded_progress_.contains(key)) {
        return;
    }
    const auto stored = join_parts(loaded_progress_, key);
    if (!stored || !same_shape(stored.value().progress, occurrence.progress)) {
        report_unreadable(key);
        return;
    }
    const occurrence_progress& notes = stored.value().progress;
    for_each_task(occurrence.progress, notes, [](task_progress& task, const task_progress& note) {
        task.last_run = std::max(task.last_run, note.last_run);
        task.failures += note.failures;
        task.checkpoint = note.checkpoint.empty() ? task.checkpoint : note.checkpoint;
        if (note.phase == task_phase::done) {
            task = {.phase = task_phase::done, .last_run = task.last_run, .failures = task.failures};
        }
        const bool may_run = task.phase == task_phase::waiting || task.phase == task_phase::active;
        for (const active_run& run : note.runs) {
            const bool known = std::any_of(task.runs.begin(), task.runs.end(), [&](const active_run& other) {
                return other.number == run.number;
            });
            if (may_run && !known) {
                task.phase = task_phase::active;
                task.runs.push_back(run);
            }
        }
    });
    for (const std::size_t first : stored.value().parts.firsts) {
        deleted_progress_.insert(part_key(key, first));
    }
    occurrence.parts.mark_all();
    dirty_.insert(&occurrence);
    batch_needed_ = true;
}

/// Brings the notes about an occurrence up to date, if it has some.
/// @return the notes, which are stored instead of the progress; null if that can be decoded
shard_core::occurrence_entry* shard_core::update_notes(const occurrence_entry& occurrence)
{
    const auto found = held_jobs_.find(occurrence.job->spec.id);
    if (found == held_jobs_.end()) {
        return nullptr;
    }
    const auto notes = found->second->notes.find(occurrence.number);
    if (notes == found->second->notes.end()) {
        return nullptr;
    }
    occurrence_progress latest = notes_of(occurrence.progress);
    if (latest != notes->second->progress) {
        notes->second->progress = std::move(latest);
        notes->second->parts.mark_all();
        dirty_.insert(notes->second.get());
        batch_needed_ = true;
    }
    return notes->second.get();
}

/// Brings all notes up to date: a failure is counted only after the change of its task was marked.
void shard_core::update_all_notes()
{
    for (const auto& [id, entry] : held_jobs_) {
        const auto job = jobs_.find(id);
        if (job == jobs_.end()) {
            continue;
        }
        for (const auto& [number, notes] : entry->notes) {
            update_notes(*job->second->occurrences.at(number));
        }
    }
}

/// Forgets that a job is held, and deletes the notes about it.
void shard_core::release_held(const std::string& job)
{
    const auto found = held_jobs_.find(job);
    if (found == held_jobs_.end()) {
        return;
    }
    for (const auto& [number, notes] : found->second->notes) {
        dirty_.erase(notes.get());
        for (const std::size_t first : notes->parts.firsts) {
            deleted_progress_.insert(part_key(notes_key(job, number), first));
        }
        batch_needed_ = true;
    }
    held_jobs_.erase(found);
}

bool shard_core::refused_by_store(std::string_view task) const
{
    const auto found = held_jobs_.find(std::string(task.substr(0, task.find('.'))));
    return found != held_jobs_.end() && found->second->refused;
}

/// Holds the job, so that no other one waits for its record. A start whose assignment is not stored is not
/// ordered, and the workers keep listing the ends that the next owner has to learn of.
void shard_core::on_record_refused(const std::string& key, std::int64_t now_ms)
{
    ++counts_.records_refused;
    const std::string id = key.substr(0, key.find('.'));
    const auto found = jobs_.find(id);
    log_event(log_level::error, "progress_refused",
              {{"shard", options_.shard},
               {"epoch", options_.epoch},
               {"record", key},
               {"job_known", found != jobs_.end()}});
    if (found == jobs_.end()) {
        return;
    }
    hold(*found->second).refused = true;
    for (const unstored_end& end : unstored_ends_) {
        const auto worker = workers_.find(end.worker);
        if (worker == workers_.end() || !refused_by_store(end.row.task)) {
            continue;
        }
        std::int64_t& withheld = worker->second->withheld_end;
        withheld = withheld == 0 ? end.row.number : std::min(withheld, end.row.number);
    }
    std::vector<run_entry*> unordered;
    for (const auto& [name, run] : runs_) {
        if (run->occurrence->job == found->second.get() && run->stage == run_stage::writing) {
            unordered.push_back(run.get());
        }
    }
    for (run_entry* run : unordered) {
        requeue(*run, "the store does not take the assignment", now_ms);
    }
}

}  // namespace waxwingnotch
