/// Jobs of a shard: arrival, occurrences, cancelling, completion, retention.
#include "shard/core_parts.hpp"
#include "shard/held_job.hpp"

#include "waxwingnotch/base/log.hpp"

#include <algorithm>

namespace waxwingnotch {

namespace {

constexpr std::int64_t forget_interval_ms = 5'000;  // between checks for ended jobs to forget
// Progress whose job does not exist is deleted this long after the takeover, when the work of the takeover
// itself is over.
constexpr std::int64_t orphan_retention_ms = 30'000;

}  // namespace

shard_core::shard_core(shard_options options) : options_(options) {}

shard_core::~shard_core() = default;

void shard_core::load_progress(const std::string& key, std::string_view bytes)
{
    if (key.ends_with(rerouted_key_suffix)) {
        if (auto route = decode_route(bytes)) {
            loaded_routes_[key.substr(0, key.size() - 1)] = std::move(route.value());
            return;
        }
        log_event(log_level::error, "route_unreadable", {{"key", key}});
        unreadable_routes_.insert(key.substr(0, key.size() - 1));
        return;
    }
    loaded_progress_[key] = std::string(bytes);
}

void shard_core::finish_load(std::int64_t now_ms)
{
    loaded_ = true;
    loaded_ms_ = now_ms;
    for (auto& [id, worker] : workers_) {
        assume_inherited_leases(*worker, now_ms);
    }
    load_unreadable_jobs(now_ms);
    load_rerouted_jobs(now_ms);
    for (auto& [id, job] : jobs_) {
        open_occurrences(*job, now_ms);
    }
    hand_over_jobs(now_ms);
    for (const auto& [key, bytes] : loaded_progress_) {
        const std::string id = key.substr(0, key.find('.'));
        if (!jobs_.contains(id) && !forwards_.contains(id)) {
            orphaned_progress_.insert(key);
        }
    }
    loaded_progress_.clear();
    handed_progress_.clear();
    schedule_needed_ = true;
    const auto ended_jobs =
        std::count_if(jobs_.begin(), jobs_.end(), [](const auto& entry) { return entry.second->ended(); });
    log_event(log_level::info, "shard_loaded",
              {{"shard", options_.shard},
               {"epoch", options_.epoch},
               {"jobs", jobs_.size()},
               {"ended_jobs", ended_jobs},
               {"open", open_.size()},
               {"runs", runs_.size()}});
}

void shard_core::set_config(std::shared_ptr<const cluster_config> config)
{
    config_ = std::move(config);
    for (auto& [id, job] : jobs_) {
        if (!held(id)) {
            follow_queue(*job);
        }
    }
    for (occurrence_entry* occurrence : open_) {
        occurrence->ranking_until_ms = 0;
    }
    schedule_needed_ = true;
}

/// Takes over what the job's queue says now, if it exists.
void shard_core::follow_queue(job_entry& job) const
{
    if (const queue_config* queue = config_ ? config_->queue(job.spec.queue) : nullptr) {
        job.max_attempts = queue->max_attempts;
        job.terms = queue->terms;
    }
}

void shard_core::add_job(const job_spec& spec, std::int64_t age_ms, std::int64_t now_ms)
{
    if (spec.shard >= 0 && !loaded_) {
        rerouted_jobs_.push_back({spec, age_ms});
        return;
    }
    if (spec.handed_over && forwards_.contains(spec.id) && !forwards_.at(spec.id)->route.handed_over) {
        take_back(spec, age_ms, now_ms);
        return;
    }
    if (jobs_.contains(spec.id) || forwards_.contains(spec.id)) {
        return;
    }
    if (spec.shard >= 0) {
        decide_route(spec, age_ms, now_ms);
        return;
    }
    if (!loaded_) {
        unreadable_jobs_.erase(spec.id);  // this record has replaced one that could not be decoded
    }
    insert_job(spec, age_ms, now_ms);
    expected_jobs_.erase(spec.id);
    if (loaded_ && !spec.has_home) {
        hand_over_jobs(now_ms);
    }
}

shard_core::job_entry* shard_core::insert_job(const job_spec& spec, std::int64_t age_ms, std::int64_t now_ms)
{
    delete_orphans(spec.id);
    auto& slot = jobs_[spec.id];
    slot = std::make_unique<job_entry>();
    job_entry& job = *slot;
    job.spec = spec;
    for (auto& [number, bytes] : std::exchange(job.spec.progress, {})) {
        handed_progress_[spec.id + "." + std::to_string(number)] = bytes;
    }
    job.max_attempts = spec.max_attempts;
    job.terms = spec.terms.value_or(queue_terms{});
    job.arrived_ms = now_ms - std::max<std::int64_t>(age_ms, 0);
    follow_queue(job);
    if (cancels_without_job_.erase(spec.id) > 0) {
        job.cancelled = true;
        job.ended_ms = now_ms;
    }
    if (loaded_) {
        open_occurrences(job, now_ms);
        handed_progress_.clear();
    }
    return slot.get();
}

void shard_core::open_occurrences(job_entry& job, std::int64_t now_ms)
{
    if (lacks_record(job.spec.id)) {
        open_unreadable_job(job, now_ms);
        return;
    }
    while (job.next_occurrence < job.spec.occurrences()) {
        const std::uint32_t number = job.next_occurrence;
        std::int64_t due_ms = job.arrived_ms;
        if (job.spec.repeat_count > 0) {
            due_ms = job.spec.first_ms + number * job.spec.interval_ms - wall_offset_ms_;
            const std::string key = job.spec.id + "." + std::to_string(number);
            const bool has_progress = loaded_progress_.contains(key) || handed_progress_.contains(key);
            const std::uint64_t open = job.next_occurrence - job.completed_occurrences;
            const bool full = open > 0 && (open + 1) * job.spec.tasks() > options_.max_open_tasks;
            if (!has_progress && (due_ms > now_ms || full || held(job.spec.id))) {
                return;
            }
        }
        ++job.next_occurrence;
        make_occurrence_entry(job, number, due_ms, now_ms);
    }
}

shard_core::occurrence_entry& shard_core::make_occurrence_entry(job_entry& job, std::uint32_t number,
                                                                std::int64_t due_ms, std::int64_t now_ms)
{
    auto entry = std::make_unique<occurrence_entry>();
    occurrence_entry& occurrence = *entry;
    occurrence.job = &job;
    occurrence.number = number;
    occurrence.due_ms = held(job.spec.id) ? never_ms : due_ms;
    occurrence.progress = make_occurrence(job.spec);
    job.occurrences[number] = std::move(entry);
    // What this shard has stored itself is newer than what another one has handed over.
    const bool own = loaded_progress_.contains(occurrence.key());
    const std::map<std::string, std::string>& source = own ? loaded_progress_ : handed_progress_;
    const bool saved = source.contains(occurrence.key());
    if (saved) {
        auto joined = join_parts(source, occurrence.key());
        if (joined && same_shape(joined.value().progress, occurrence.progress)) {
            occurrence.progress = std::move(joined.value().progress);
            occurrence.parts = std::move(joined.value().parts);
            apply_notes(occurrence);
        }
        else {
            hold_occurrence(occurrence);
        }
    }
    job.started = job.started || occurrence.progress.started();
    for (std::uint32_t step = 0; step < occurrence.progress.steps.size(); ++step) {
        for (std::uint32_t index = 0; index < occurrence.progress.steps[step].size(); ++index) {
            task_progress& task = occurrence.task(step, index);
            const std::vector<active_run> runs = task.runs;
            task.runs.clear();
            for (const active_run& run : runs) {
                const bool known_worker = workers_.contains(run.worker.id);
                worker_state& worker = find_or_add_worker(run.worker.id);
                if (!known_worker) {
                    assume_inherited_leases(worker, now_ms);
                }
                run_entry& loaded = add_run(occurrence, step, index, run.number, worker);
                loaded.stage = run_stage::running;
                loaded.inherited = true;
                loaded.confirmed_ms = now_ms;
                loaded.ordered_ms = now_ms;
                loaded.in_crash = run.crash_counted;
                loaded.crashed_life_ms = run.crash_counted ? run.worker.started_ms : 0;
                loaded.life_ms = run.listed ? run.worker.started_ms : 0;
                task.runs.back() = run;
            }
            occurrence.waiting_tasks += task.phase == task_phase::waiting ? 1 : 0;
            if (must_give_up(task.crashes, false)) {
                const task_name name{job.spec.id, number, step, index};
                // Which workers these were is not stored, so none of them can refute its crash any more.
                awaiting_proof_.insert_or_assign(to_string(name),
                                                 awaited_proof{.name = name, .expired = true});
            }
        }
    }
    open_.insert(&occurrence);
    if (has_suspects(occurrence)) {
        suspects_[occurrence.key()] = &occurrence;
    }
    schedule_needed_ = true;
    if (!own && saved && !held(job.spec.id)) {
        mark_changed(occurrence);
    }
    finish_occurrence(occurrence, now_ms);
    if (job.cancelled) {
        stop_job(job, now_ms);
    }
    return occurrence;
}

void shard_core::cancel_job(const std::string& id, std::int64_t now_ms)
{
    if (const auto forward = forwards_.find(id); forward != forwards_.end()) {
        forward->second->cancelled = true;
        if (!forward->second->settled()) {
            open_forwards_.insert(id);
        }
        return;
    }
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        cancels_without_job_.insert(id);
        return;
    }
    job_entry& job = *found->second;
    if (job.ended()) {
        return;
    }
    job.cancelled = true;
    job.ended_ms = now_ms;
    log_event(log_level::info, "job_cancelled", {{"job", id}, {"queue", job.spec.queue}});
    stop_job(job, now_ms);
}

void shard_core::stop_job(job_entry& job, std::int64_t now_ms)
{
    for (auto& [number, occurrence] : job.occurrences) {
        open_.erase(occurrence.get());
        suspects_.erase(occurrence->key());
        discard_advice(*occurrence);
        for (std::uint32_t step = 0; step < occurrence->progress.steps.size(); ++step) {
            for (std::uint32_t index = 0; index < occurrence->progress.steps[step].size(); ++index) {
                stop_task(*occurrence, step, index, now_ms);
            }
        }
    }
    schedule_needed_ = true;
}

void shard_core::finish_occurrence(occurrence_entry& occurrence, std::int64_t now_ms)
{
    if (held(occurrence.job->spec.id)) {
        update_notes(occurrence);
        return;
    }
    if (!open_.contains(&occurrence)) {
        return;
    }
    job_entry& job = *occurrence.job;
    // Otherwise an earlier owner has stored the end, and has logged it.
    const bool decided_here = dirty_.contains(&occurrence);
    if (occurrence.progress.failed()) {
        job.failed = true;
        job.ended_ms = now_ms;
        job.end_batch = decided_here ? batch_ + 1 : 0;
        if (decided_here) {
            log_event(log_level::info, "job_failed",
                      {{"shard", options_.shard},
                       {"epoch", options_.epoch},
                       {"job", job.spec.id},
                       {"queue", job.spec.queue},
                       {"attempts", job.max_attempts}});
        }
        stop_job(job, now_ms);
        return;
    }
    if (!occurrence.progress.done()) {
        return;
    }
    open_.erase(&occurrence);
    suspects_.erase(occurrence.key());
    discard_advice(occurrence);
    ++job.completed_occurrences;
    if (job.ended()) {
        job.ended_ms = now_ms;
        job.end_batch = decided_here ? batch_ + 1 : 0;
        if (decided_here) {
            log_event(log_level::info, "job_completed",
                      {{"shard", options_.shard},
                       {"epoch", options_.epoch},
                       {"job", job.spec.id},
                       {"queue", job.spec.queue},
                       {"age_ms", now_ms - job.arrived_ms}});
        }
    }
}

/// Discards the permissions for the steps of an occurrence that starts no more tasks.
void shard_core::discard_advice(const occurrence_entry& occurrence)
{
    const std::string prefix = occurrence.key() + ".";
    auto it = advice_.lower_bound(prefix);
    while (it != advice_.end() && it->first.starts_with(prefix)) {
        it = advice_.erase(it);
    }
}

void shard_core::forget_ended_jobs(std::int64_t now_ms)
{
    update_all_notes();
    if (now_ms - last_forget_ms_ < forget_interval_ms) {
        return;
    }
    last_forget_ms_ = now_ms;
    for (auto it = jobs_.begin(); it != jobs_.end();) {
        job_entry& job = *it->second;
        if (job.deleted && job.runs == 0) {
            drop_job(job);
            it = jobs_.erase(it);
            continue;
        }
        const bool expired = job.ended() && !lacks_record(job.spec.id) &&
                             now_ms - job.ended_ms > options_.ended_job_retention_ms;
        // The next owner must learn of the end from the store.
        if (expired && job.runs == 0 && job.end_batch <= stored_batch_ && !job.deleting) {
            job.deleting = true;
            forgotten_jobs_.push_back(job.spec.id);
        }
        ++it;
    }
    check_forwards(now_ms);
    if (now_ms - loaded_ms_ > orphan_retention_ms) {
        delete_orphans({});
    }
}

void shard_core::remove_job(const std::string& id)
{
    cancels_without_job_.erase(id);
    unreadable_jobs_.erase(id);
    remove_forward(id);
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return;
    }
    job_entry& job = *found->second;
    if (loaded_ && !job.ended() && !lacks_record(id)) {
        log_event(log_level::error, "job_deleted", {{"job", id}, {"reason", "its record was deleted early"}});
        return;
    }
    job.deleted = true;
    if (job.runs == 0) {
        drop_job(job);
        jobs_.erase(found);
    }
}

/// Forgets the occurrences of a job whose record is deleted, and deletes their progress.
void shard_core::drop_job(job_entry& job)
{
    release_held(job.spec.id);
    if (job.route) {
        deleted_progress_.insert(rerouted_key(job.spec.id));
        batch_needed_ = true;
    }
    for (auto& [number, occurrence] : job.occurrences) {
        open_.erase(occurrence.get());
        suspects_.erase(occurrence->key());
        dirty_.erase(occurrence.get());
        for (const std::size_t first : occurrence->parts.firsts) {
            deleted_progress_.insert(part_key(occurrence->key(), first));
        }
        batch_needed_ = true;
    }
}

/// Deletes the progress without a job whose key starts with @p prefix.
void shard_core::delete_orphans(const std::string& prefix)
{
    auto it = orphaned_progress_.lower_bound(prefix);
    while (it != orphaned_progress_.end() && it->starts_with(prefix)) {
        deleted_progress_.insert(*it);
        batch_needed_ = true;
        it = orphaned_progress_.erase(it);
    }
}

std::uint32_t shard_core::attempt_limit(const job_entry& job) const
{
    return std::max<std::uint32_t>(job.max_attempts, 1);
}

std::optional<job_state> shard_core::state_of(const std::string& id) const
{
    if (const auto forward = forwards_.find(id); forward != forwards_.end()) {
        if (forward->second->deleting) {
            return std::nullopt;
        }
        return forward->second->cancelled ? job_state::cancelled : job_state::queued;
    }
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return std::nullopt;
    }
    const job_entry& job = *found->second;
    if (job.cancelled) {
        return job_state::cancelled;
    }
    if (job.ended() && job.end_batch > stored_batch_) {
        // If this owner failed now, the next one might not learn of the job's last end.
        return job_state::running;
    }
    if (job.failed) {
        return job_state::failed;
    }
    if (job.ended()) {
        return job_state::completed;
    }
    return job.started ? job_state::running : job_state::queued;
}

std::uint64_t shard_core::pending(std::string_view queue) const
{
    const auto here = std::count_if(jobs_.begin(), jobs_.end(), [&](const auto& entry) {
        const job_entry& job = *entry.second;
        return job.spec.queue == queue && !job.started && !job.ended();
    });
    const auto on_the_way =
        std::count_if(open_forwards_.begin(), open_forwards_.end(), [&](const std::string& id) {
            const forward_entry& forward = *forwards_.at(id);
            return forward.route.queue == queue && !forward.route.forwarded && !forward.cancelled;
        });
    return static_cast<std::uint64_t>(here + on_the_way);
}

service_demand shard_core::demand_of(std::string_view service) const
{
    service_demand total;
    for (const occurrence_entry* occurrence : open_) {
        if (occurrence->job->spec.service != service || held(occurrence->job->spec.id)) {
            continue;
        }
        total.min_workers = std::max(total.min_workers, min_workers(*occurrence));
        if (!occurrence->job->spec.long_running()) {
            total.waiting_cpu_ms += waiting_cpu_ms(*occurrence, true);
            continue;
        }
        const resources demand = waiting_demand(*occurrence);
        total.running_cpu_milli += demand.cpu_milli;
        total.running_memory_mb += demand.memory_mb;
    }
    for (const auto& [id, worker] : workers_) {
        if (worker->entry.service == service && (!worker->runs.empty() || worker->end_batch != 0)) {
            // What the runs of a job without a readable record take counts as more than a worker has.
            total.running_cpu_milli += std::min(worker->used.cpu_milli, worker->entry.capacity.cpu_milli);
            total.running_memory_mb += std::min(worker->used.memory_mb, worker->entry.capacity.memory_mb);
            total.busy.push_back(id);
        }
    }
    return total;
}

}  // namespace waxwingnotch
