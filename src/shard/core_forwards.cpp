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
constexpr std::size_t max_checks_per_round = 200;  // of some seconds; a question is a call to another node

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
    forwards_.erase(found);
    open_forwards_.erase(id);
    changed_routes_.erase(id);
    deleted_progress_.insert(rerouted_key(id));
    batch_needed_ = true;
}

}  // namespace waxwingnotch
