/// Rerouted jobs: they are stored in this shard, the home of their path, and run under the service that the
/// route leads to when they are accepted. See job/route.hpp.
#include "shard/core_parts.hpp"

#include "waxwingnotch/base/log.hpp"

#include <utility>

namespace waxwingnotch {

namespace {

constexpr std::int64_t forward_retry_ms = 150;          // after an append that failed
constexpr std::int64_t forward_check_ms = 60'000;       // between questions about a job that is still known
constexpr std::int64_t forward_check_retry_ms = 5'000;  // after a question without an answer
// From a takeover until the runs of a job that another shard was to hand over count as unknown: longer than
// the takeover of that shard.
constexpr std::int64_t handover_wait_ms = 60'000;
// Of the record of a job that is handed over: its key, and what each occurrence adds beside its progress.
constexpr std::size_t handed_record_margin_bytes = 256;
constexpr std::size_t handed_progress_margin_bytes = 16;
constexpr std::size_t max_checks_per_round = 200;  // of some seconds; a question is a call to another node

occurrence_progress without_checkpoints(occurrence_progress progress)
{
    for (std::vector<task_progress>& tasks : progress.steps) {
        for (task_progress& task : tasks) {
            task.checkpoint.clear();
        }
    }
    return progress;
}

/// The job as the shard that runs it reads it.
job_spec routed(const job_spec& spec, const job_route& route)
{
    job_spec job = spec;
    job.service = route.service;
    job.queue = route.queue;
    job.max_attempts = route.max_attempts;
    job.shard = -1;
    return job;
}

}  // namespace

/// Drops a job of the home's own service that was read at the takeover, because the decision for its id is
/// another one: its record is a repeat.
void shard_core::drop_repeat(const std::string& id)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return;
    }
    if (found->second->cancelled) {
        cancels_without_job_.insert(id);
    }
    jobs_.erase(found);
}

/// Decides about the rerouted jobs that were read at the takeover, and continues unfinished deletions.
void shard_core::load_rerouted_jobs(std::int64_t now_ms)
{
    for (const rerouted_job& job : std::exchange(rerouted_jobs_, {})) {
        load_rerouted_job(job.spec, job.age_ms, now_ms);
    }
    for (const auto& [id, route] : std::exchange(loaded_routes_, {})) {
        if (const auto job = jobs_.find(id); route.handed_over && job != jobs_.end()) {
            job->second->route = route;
            continue;
        }
        // The records of this job were being deleted. What is left of them goes before the decision: a record
        // without one would be a new job to the next owner.
        drop_repeat(id);
        add_forward({}, route, cancels_without_job_.erase(id) > 0, now_ms, id);
        open_forwards_.erase(id);
        forwards_[id]->deleting = true;
        forgotten_jobs_.push_back(id);
    }
}

void shard_core::load_rerouted_job(const job_spec& spec, std::int64_t age_ms, std::int64_t now_ms)
{
    const auto decided = loaded_routes_.find(spec.id);
    if (decided != loaded_routes_.end() && jobs_.contains(spec.id) && jobs_.at(spec.id)->spec.handed_over) {
        job_entry& job = *jobs_.at(spec.id);
        job.route = std::exchange(decided->second, {});
        loaded_routes_.erase(decided);
        keep_here(job);
        return;
    }
    if (decided != loaded_routes_.end() && decided->second.handed_over) {
        // The runs of the job are known from its progress, so it is opened before it goes on to the other
        // shard.
        if (!jobs_.contains(spec.id)) {
            insert_job(routed(spec, decided->second), age_ms, now_ms);
        }
        jobs_.at(spec.id)->route = decided->second;
        loaded_routes_.erase(decided);
        return;
    }
    if (decided == loaded_routes_.end()) {
        // Of two without a decision, the one of the home's own service may have started, the other one has
        // not.
        if (!jobs_.contains(spec.id)) {
            decide_route(spec, age_ms, now_ms);
        }
        return;
    }
    const job_route route = decided->second;
    loaded_routes_.erase(decided);
    drop_repeat(spec.id);
    if (route.shard != options_.shard) {
        add_forward(spec, route, cancels_without_job_.erase(spec.id) > 0, now_ms, spec.id);
        return;
    }
    insert_job(routed(spec, route), age_ms, now_ms)->route = route;
}

/// Decides that a job which this shard does not know yet runs where its record says. Nothing of it is
/// forwarded or started before the decision is stored.
void shard_core::decide_route(const job_spec& spec, std::int64_t age_ms, std::int64_t now_ms)
{
    const job_route route{
        .shard = spec.shard, .service = spec.service, .queue = spec.queue, .max_attempts = spec.max_attempts};
    log_event(log_level::info, "job_rerouted",
              {{"job", spec.id}, {"queue", spec.queue}, {"service", spec.service}, {"shard", spec.shard}});
    orphaned_progress_.erase(rerouted_key(spec.id));
    deleted_progress_.erase(rerouted_key(spec.id));
    changed_routes_.insert(spec.id);
    batch_needed_ = true;
    if (spec.shard == options_.shard) {
        insert_job(spec, age_ms, now_ms)->route = route;
        return;
    }
    delete_orphans(spec.id);
    add_forward(spec, route, cancels_without_job_.erase(spec.id) > 0, now_ms, spec.id);
    forwards_[spec.id]->route_batch = batch_ + 1;
}

/// @param spec empty if the job's records are being deleted; @p id is known then as well
void shard_core::add_forward(const job_spec& spec, const job_route& route, bool cancelled,
                             std::int64_t now_ms, const std::string& id)
{
    auto& slot = forwards_[id];
    slot = std::make_unique<forward_entry>();
    slot->spec = spec;
    slot->route = route;
    slot->cancelled = cancelled;
    slot->check_ms = now_ms + options_.ended_job_retention_ms;
    if (!slot->settled()) {
        open_forwards_.insert(id);
    }
}

/// Adds the decisions that were made or have changed to the writes of a batch.
void shard_core::write_routes(shard_effects& out)
{
    for (const std::string& id : std::exchange(changed_routes_, {})) {
        if (const auto forward = forwards_.find(id); forward != forwards_.end()) {
            out.writes.emplace_back(rerouted_key(id), encode_route(forward->second->route));
            continue;
        }
        const auto job = jobs_.find(id);
        if (job != jobs_.end() && job->second->route) {
            out.writes.emplace_back(rerouted_key(id), encode_route(*job->second->route));
        }
    }
}

/// Adds the records that other shards must get, except those on their way and those whose decision is not
/// stored.
void shard_core::plan_forwards(std::int64_t now_ms, shard_effects& out)
{
    for (const std::string& id : open_forwards_) {
        forward_entry& forward = *forwards_.at(id);
        if (forward.route_batch > stored_batch_ || now_ms < forward.retry_ms) {
            continue;
        }
        // The cancel goes first, so that nothing of the job starts.
        if (forward.cancelled && !forward.route.cancel_forwarded) {
            if (!forward.sending_cancel) {
                forward.sending_cancel = true;
                out.forwards.push_back(
                    {.id = id, .shard = forward.route.shard, .cancel = true, .record = cancel_record});
            }
            continue;
        }
        if (!forward.route.forwarded && !forward.sending_job) {
            forward.sending_job = true;
            out.forwards.push_back({.id = id,
                                    .shard = forward.route.shard,
                                    .cancel = false,
                                    .record = encode_job(routed(forward.spec, forward.route))});
        }
    }
    out.forward_checks = std::exchange(forward_checks_, {});
}

void shard_core::on_forwarded(const std::string& id, bool cancel, bool stored, std::int64_t now_ms)
{
    const auto found = forwards_.find(id);
    if (found == forwards_.end()) {
        return;
    }
    forward_entry& forward = *found->second;
    (cancel ? forward.sending_cancel : forward.sending_job) = false;
    if (!stored) {
        forward.retry_ms = now_ms + forward_retry_ms;
        return;
    }
    (cancel ? forward.route.cancel_forwarded : forward.route.forwarded) = true;
    changed_routes_.insert(id);
    batch_needed_ = true;
    if (forward.settled()) {
        open_forwards_.erase(id);
        forward.check_ms = now_ms + options_.ended_job_retention_ms;
    }
}

std::optional<int> shard_core::forwarded_to(const std::string& id) const
{
    const auto found = forwards_.find(id);
    if (found == forwards_.end() || !found->second->settled() || found->second->deleting) {
        return std::nullopt;
    }
    return found->second->route.shard;
}

/// Asks for the forwarded jobs that may have been forgotten by the shards that ran them.
void shard_core::check_forwards(std::int64_t now_ms)
{
    for (auto& [id, forward] : forwards_) {
        if (forward_checks_.size() >= max_checks_per_round) {
            return;
        }
        if (forward->settled() && !forward->checking && !forward->deleting && now_ms >= forward->check_ms) {
            forward->checking = true;
            forward_checks_.push_back({id, forward->route.shard});
        }
    }
}

void shard_core::on_forward_checked(const std::string& id, std::optional<bool> known, std::int64_t now_ms)
{
    const auto found = forwards_.find(id);
    if (found == forwards_.end()) {
        return;
    }
    forward_entry& forward = *found->second;
    forward.checking = false;
    forward.check_ms = now_ms + (known ? forward_check_ms : forward_check_retry_ms);
    if (known && !*known && !forward.deleting) {
        forward.deleting = true;
        forgotten_jobs_.push_back(id);
    }
}

/// The records of a forwarded job have been deleted; the decision about it goes last.
void shard_core::remove_forward(const std::string& id)
{
    const auto found = forwards_.find(id);
    if (found == forwards_.end()) {
        return;
    }
    if (!found->second->deleting) {
        log_event(log_level::error, "job_deleted", {{"job", id}, {"reason", "its record was deleted early"}});
        return;
    }
    deleted_progress_.insert(found->second->progress_keys.begin(), found->second->progress_keys.end());
    forwards_.erase(found);
    open_forwards_.erase(id);
    changed_routes_.erase(id);
    deleted_progress_.insert(rerouted_key(id));
    batch_needed_ = true;
}

void shard_core::set_service_shards(std::map<std::string, int> shards, std::int64_t now_ms)
{
    service_shards_ = std::move(shards);
    if (loaded_) {
        hand_over_jobs(now_ms);
    }
}

void shard_core::expect_jobs(std::set<std::string> ids)
{
    expected_jobs_ = std::move(ids);
}

/// Takes a job back that this shard, the home of its path, had forwarded: the shard that ran it has handed it
/// over.
void shard_core::take_back(const job_spec& spec, std::int64_t age_ms, std::int64_t now_ms)
{
    const auto found = forwards_.find(spec.id);
    const job_route route = found->second->route;
    if (found->second->cancelled) {
        cancels_without_job_.insert(spec.id);
    }
    forwards_.erase(found);
    open_forwards_.erase(spec.id);
    job_entry& job = *insert_job(spec, age_ms, now_ms);
    job.route = route;
    keep_here(job);
}

/// Changes the decision about a job so that it runs here.
void shard_core::keep_here(job_entry& job)
{
    if (job.route->shard == options_.shard) {
        return;
    }
    job.route->shard = options_.shard;
    changed_routes_.insert(job.spec.id);
    batch_needed_ = true;
}

/// @return whether the job of @p task is on its way from the shard in which an earlier version has stored it
bool shard_core::expected(std::string_view task, std::int64_t now_ms) const
{
    if (now_ms - loaded_ms_ >= handover_wait_ms) {
        return false;
    }
    const std::string id(task.substr(0, task.find('.')));
    if (jobs_.contains(id)) {
        return false;
    }
    if (expected_jobs_.contains(id)) {
        return true;
    }
    const auto forward = forwards_.find(id);
    const auto shard = forward == forwards_.end() ? service_shards_.end()
                                                  : service_shards_.find(forward->second->route.service);
    return shard != service_shards_.end() && shard->second == options_.shard;
}

/// Hands over each job that is to run in another shard by the shards of the services, or by a decision
/// before.
void shard_core::hand_over_jobs(std::int64_t now_ms)
{
    std::vector<std::pair<std::string, int>> leaving;
    for (const auto& [id, job] : jobs_) {
        if (job->route && job->route->handed_over) {
            leaving.emplace_back(id, job->route->shard);
            continue;
        }
        const auto shard = service_shards_.find(job->spec.service);
        const bool elsewhere = shard != service_shards_.end() && shard->second != options_.shard;
        // Ended ones too: a worker may still list their ends, which only the other owner can acknowledge.
        if (elsewhere && !job->deleting && !job->deleted) {
            leaving.emplace_back(id, shard->second);
        }
    }
    for (const auto& [id, shard] : leaving) {
        hand_over(*jobs_.at(id), shard, now_ms);
    }
}

/// Turns a job into one that runs in another shard. The decision is stored first, as for rerouted jobs; the
/// progress goes along with the record, so that the other owner knows the runs that are at work.
void shard_core::hand_over(job_entry& job, int shard, std::int64_t now_ms)
{
    const bool decided = job.route && job.route->handed_over;
    job_route route = decided ? *job.route
                              : job_route{.shard = shard,
                                          .service = job.spec.service,
                                          .queue = job.spec.queue,
                                          .max_attempts = job.spec.max_attempts,
                                          .handed_over = true};
    job_spec spec = routed(job.spec, route);
    spec.has_home = true;
    spec.handed_over = true;
    std::vector<std::string> keys;
    std::size_t bytes = encode_job(spec).size() + handed_record_margin_bytes;
    for (const auto& [number, occurrence] : job.occurrences) {
        if (occurrence->progress != make_occurrence(job.spec)) {
            spec.progress[number] = encode_progress(occurrence->progress);
            bytes += spec.progress[number].size() + handed_progress_margin_bytes;
        }
        for (const std::size_t first : occurrence->parts.firsts) {
            keys.push_back(part_key(occurrence->key(), first));
        }
    }
    const std::string id = job.spec.id;
    if (bytes > options_.max_record_bytes) {
        // The workers list the checkpoints of the runs that are at work to the next owner.
        log_event(log_level::warning, "checkpoints_dropped",
                  {{"job", id}, {"reason", "its record is too long to be handed over"}, {"bytes", bytes}});
        for (auto& [number, progress] : spec.progress) {
            progress = encode_progress(without_checkpoints(job.occurrences.at(number)->progress));
        }
    }
    const bool cancelled = job.cancelled;
    log_event(log_level::info, "job_handed_over",
              {{"job", id}, {"service", route.service}, {"shard", route.shard}, {"runs", job.runs}});
    release_job(job);
    jobs_.erase(id);
    add_forward(spec, route, cancelled, now_ms, id);
    forward_entry& forward = *forwards_[id];
    forward.progress_keys = std::move(keys);
    if (!decided) {
        forward.route_batch = batch_ + 1;
        changed_routes_.insert(id);
        batch_needed_ = true;
    }
}

/// Forgets the occurrences and runs of a job, and leaves its records as they are.
void shard_core::release_job(job_entry& job)
{
    for (auto& [number, occurrence] : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence->progress.steps.size(); ++step) {
            for (std::uint32_t index = 0; index < occurrence->progress.steps[step].size(); ++index) {
                awaiting_proof_.erase(to_string(task_name{job.spec.id, number, step, index}));
            }
        }
        open_.erase(occurrence.get());
        suspects_.erase(occurrence->key());
        dirty_.erase(occurrence.get());
        discard_advice(*occurrence);
    }
    std::vector<run_entry*> runs;
    for (const auto& [key, run] : runs_) {
        if (run->occurrence->job == &job) {
            runs.push_back(run.get());
        }
    }
    for (run_entry* run : runs) {
        remove_run(*run);
    }
}

}  // namespace waxwingnotch
