#include "waxwingnotch/shard/shard_owner.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

#include <algorithm>
#include <random>

namespace waxwingnotch {

namespace {

constexpr std::int64_t tick_ms = 50;            // resolution of retries and of lease expiry
constexpr std::int64_t pump_interval_ms = 4;    // between scheduling rounds; an append takes as long
constexpr std::int64_t read_wait_ms = 1'000;    // a silent connection is noticed after this plus a timeout
constexpr std::int64_t release_retry_ms = 300;  // between requests to a previous owner that does not answer
// Age limit of complete_until_ms(), which is the time at which the last answered read was sent. Reads wait up
// to 1 s, so the age reaches 2 s in normal operation.
constexpr std::int64_t max_jobs_age_ms = 3'000;

/// @return 128 random bits as 32 hexadecimal digits
std::string random_identity()
{
    constexpr std::size_t length = 32;
    std::random_device source;
    std::uniform_int_distribution<std::size_t> digit(0, 15);
    std::string identity;
    while (identity.size() < length) {
        identity += "0123456789abcdef"[digit(source)];
    }
    return identity;
}

}  // namespace

shard_owner::shard_owner(parts parts, int partition, shard_options options, std::function<void()> lost)
    : parts_(std::move(parts)), partition_(partition), options_(options),
      claim_((parts_.address.empty() ? "-" : parts_.address) + " " + random_identity()),
      on_lost_(std::move(lost)), core_(options),
      journal_(*parts_.loop, *parts_.store,
               {.topic = runs_topic,
                .partition = partition,
                .writer = "owner",
                .epoch = options.epoch,
                .claim_key = claim_key,
                .claim_value = claim_,
                .max_record_bytes = options.max_record_bytes,
                .on_refused =
                    [this](const std::string& key) {
                        core_.on_record_refused(key, monotonic_ms());
                        pump_soon();
                    },
                .probe_key = owner_key,
                .probe_value = parts_.address.empty() ? "-" : parts_.address},
               [this] { end_ownership("another owner has written to the shard"); }),
      deletions_(*parts_.loop, *parts_.store,
                 {.topic = jobs_topic,
                  .partition = partition,
                  .writer = "owner",
                  .epoch = options.epoch,
                  .sole_writer = false},  // all nodes append jobs
                 [this] { end_ownership("another owner deletes the jobs of the shard"); })
{
}

shard_owner::~shard_owner()
{
    *alive_ = false;
}

void shard_owner::start()
{
    started_ms_ = monotonic_ms();
    // Both topics are read after fencing previous owners, so that the job of each progress record is read
    // too. The answers tell what the store held then, and so how far the reads must reach. The deletions are
    // fenced while the jobs are read, so that the call does not make the takeover longer.
    journal_.open([this] {
        deletions_.open([this] { check_jobs_loaded(); });
        load_jobs();
        load_runs();
    });
}

void shard_owner::load_jobs()
{
    const follow_options follow{
        .topic = jobs_topic, .partition = partition_, .long_poll_ms = read_wait_ms, .read_interval_ms = 0};
    jobs_follower_ = std::make_unique<keyed_follower>(
        *parts_.loop, *parts_.store, follow,
        keyed_follower::handlers{.record = [this](const keyed_record& record) { on_job_record(record); },
                                 .after_read =
                                     [this] {
                                         jobs_read_offset_ = jobs_follower_->next_offset();
                                         check_jobs_loaded();
                                     }});
    jobs_follower_->start();
}

/// The jobs are loaded once all records that the store held when it fenced earlier deletions are handled.
/// Pages that are older are made up for by the reads that follow them.
void shard_owner::check_jobs_loaded()
{
    const std::int64_t fenced_offset = deletions_.end_offset();
    if (!jobs_loaded_ && (fenced_offset < 0 || jobs_read_offset_ < fenced_offset)) {
        return;
    }
    jobs_loaded_ = true;
    finish_load();
}

/// Reads the progress once; from then on this owner is the only writer.
void shard_owner::load_runs()
{
    const follow_options once{.topic = runs_topic,
                              .partition = partition_,
                              .long_poll_ms = 0,
                              .read_interval_ms = read_wait_ms,
                              .min_end_offset = journal_.end_offset()};
    runs_follower_ = std::make_unique<keyed_follower>(
        *parts_.loop, *parts_.store, once,
        keyed_follower::handlers{.record =
                                     [this](const keyed_record& record) {
                                         if (!record.value || runs_loaded_) {
                                             return;
                                         }
                                         if (record.key == owner_key) {
                                             previous_owner_ = *record.value;
                                             return;
                                         }
                                         if (record.key == claim_key) {
                                             newest_claim_ = *record.value;
                                             return;
                                         }
                                         core_.load_progress(record.key, *record.value);
                                     },
                                 .after_read =
                                     [this] {
                                         if (runs_loaded_) {
                                             return;
                                         }
                                         if (newest_claim_ != claim_) {
                                             end_ownership("the newest claim is another owner's");
                                             return;
                                         }
                                         if (runs_follower_->end_offset() != journal_.end_offset()) {
                                             end_ownership("another owner has written to the shard");
                                             return;
                                         }
                                         runs_loaded_ = true;
                                         parts_.loop->defer([this, alive = alive_] {
                                             if (*alive) {
                                                 runs_follower_.reset();
                                                 finish_load();
                                             }
                                         });
                                     }});
    runs_follower_->start();
}

void shard_owner::finish_load()
{
    if (core_.loaded() || !jobs_loaded_ || !runs_loaded_) {
        pump_soon();
        return;
    }
    const std::int64_t now = monotonic_ms();
    core_.tick(now, wall_ms());
    core_.finish_load(now);
    log_event(log_level::info, "shard_takeover",
              {{"shard", partition_},
               {"epoch", options_.epoch},
               {"claim", claim_},
               {"previous_owner", previous_owner_},
               {"jobs", core_.jobs()},
               {"ms", now - started_ms_}});
    tick_ = parts_.loop->every(tick_ms, [this] {
        core_.tick(monotonic_ms(), wall_ms());
        pump();
    });
    journal_.put(owner_key, parts_.address);
    journal_.when_stored([this] { core_.on_owner_stored(); });
    request_release();
    if (parts_.taken_over) {
        parts_.loop->defer([this, alive = alive_] {
            if (*alive && !ended_) {
                parts_.taken_over();
            }
        });
    }
    pump();
}

/// Asks the previous owner to release the shard: until it knows that it has been replaced, it may renew the
/// leases of workers that do not answer this owner.
void shard_owner::request_release()
{
    if (previous_owner_.empty()) {
        core_.on_first_owner(monotonic_ms());
        return;
    }
    if (previous_owner_ == "-" || previous_owner_ == parts_.address || !parts_.release) {
        core_.on_previous_owner_gone(monotonic_ms());
        return;
    }
    parts_.release(previous_owner_, partition_, options_.epoch, [this, alive = alive_](bool answered) {
        if (!*alive) {
            return;
        }
        if (answered) {
            core_.on_previous_owner_gone(monotonic_ms());
            return;
        }
        if (monotonic_ms() - started_ms_ < options_.previous_renewals_ms + options_.max_lease_ms) {
            release_retry_ = parts_.loop->after(release_retry_ms, [this] { request_release(); });
        }
    });
}

void shard_owner::on_job_record(const keyed_record& record)
{
    if (!record.value) {
        on_job_deleted(record);
        return;
    }
    const std::int64_t now = monotonic_ms();
    if (record.key.ends_with(cancel_key_suffix)) {
        core_.cancel_job(record.key.substr(0, record.key.size() - 1), now);
        pump_soon();
        return;
    }
    job_offsets_[record.key] = record.offset;
    auto job = decode_job(*record.value);
    const bool rerouted = record.key.ends_with(rerouted_key_suffix);
    const std::string id = rerouted ? record.key.substr(0, record.key.size() - 1) : record.key;
    if (job && (rerouted != (job.value().shard >= 0) || job.value().id != id)) {
        job = fail(error_code::malformed, "the key does not fit the id or the shard of the job");
    }
    if (!job) {
        log_event(log_level::error, "job_unreadable", {{"key", record.key}, {"reason", job.error().message}});
        if (is_job_id(id)) {
            core_.add_unreadable_job(id, now);
            pump_soon();
        }
        return;
    }
    if (!job.value().has_home && parts_.found_without_home) {
        parts_.found_without_home({.id = job.value().id,
                                   .queue = job.value().queue,
                                   .service = job.value().service,
                                   .shard = partition_,
                                   .accepted_ms = job.value().accepted_ms});
    }
    core_.add_job(job.value(), wall_ms() - job.value().accepted_ms, now);
    pump_soon();
}

/// Handles a deletion by this owner or an earlier one, in the order of the log: a job that was accepted anew
/// under the same id after it stays.
void shard_owner::on_job_deleted(const keyed_record& record)
{
    constexpr std::int64_t no_offset = -1;  // the store has dropped the history; the key is absent
    const auto found = job_offsets_.find(record.key);
    if (found != job_offsets_.end()) {
        if (record.offset != no_offset && record.offset < found->second) {
            return;
        }
        job_offsets_.erase(found);
    }
    if (record.key.ends_with(rerouted_key_suffix)) {
        // The deletion of the id itself follows, but is not read if the store drops its history meanwhile.
        const std::string id = record.key.substr(0, record.key.size() - 1);
        if (!job_offsets_.contains(id)) {
            core_.remove_job(id);
        }
        pump_soon();
        return;
    }
    core_.remove_job(record.key);
    pump_soon();
}

bool shard_owner::up_to_date() const
{
    return core_.loaded() && monotonic_ms() - complete_until_ms() < max_jobs_age_ms;
}

std::int64_t shard_owner::complete_until_ms() const
{
    return jobs_follower_ ? jobs_follower_->complete_until_ms() : 0;
}

void shard_owner::set_config(std::shared_ptr<const cluster_config> config)
{
    core_.set_config(std::move(config));
    pump_soon();
}

void shard_owner::set_service_shards(std::map<std::string, int> shards)
{
    core_.set_service_shards(std::move(shards), monotonic_ms());
    pump_soon();
}

void shard_owner::expect_jobs(std::set<std::string> ids)
{
    core_.expect_jobs(std::move(ids));
}

void shard_owner::put_worker(const worker_entry& entry)
{
    core_.put_worker(entry, monotonic_ms());
    pump_soon();
}

void shard_owner::remove_worker(const std::string& id)
{
    core_.remove_worker(id, monotonic_ms());
}

void shard_owner::leave_worker(const std::string& id, std::int64_t started_ms)
{
    core_.leave_worker(id, started_ms, monotonic_ms());
}

void shard_owner::note_host_lost(const std::string& id)
{
    core_.note_host_lost(id);
}

void shard_owner::drain_worker(const std::string& id, std::int64_t for_ms, leftover_runs leftover)
{
    const std::int64_t now = monotonic_ms();
    core_.drain_worker(id, now + for_ms, now, leftover);
    pump_soon();
}

std::size_t shard_owner::report_ends(const std::vector<ended_row>& ends)
{
    const std::size_t applied = core_.report_ends(ends, monotonic_ms());
    pump_soon();
    return applied;
}

void shard_owner::end_ownership(const char* reason)
{
    if (ended_) {
        return;
    }
    ended_ = true;
    tick_.cancel();
    log_event(log_level::warning, "shard_lost",
              {{"shard", partition_},
               {"epoch", options_.epoch},
               {"claim", claim_},
               {"newest_claim", newest_claim_},
               {"reason", reason}});
    parts_.loop->defer([lost = on_lost_] { lost(); });
}

void shard_owner::pump_soon()
{
    if (pump_pending_ || !core_.loaded()) {
        return;
    }
    pump_pending_ = true;
    // A single event is handled at once; events that follow closely are handled together.
    const std::int64_t pause_ms =
        std::max<std::int64_t>(pump_interval_ms - (monotonic_ms() - last_pump_ms_), 0);
    pump_timer_ = parts_.loop->after(pause_ms, [this] {
        pump_pending_ = false;
        pump();
    });
}

/// Passes the age of the owner's knowledge and of its ownership to the core, which starts nothing while they
/// are too old.
void shard_owner::update_known_until()
{
    core_.set_ownership_confirmed(journal_.confirmed_ms());
    if (parts_.renew_until) {
        core_.set_renew_until(parts_.renew_until());
    }
    if (!parts_.registrations_until || !jobs_follower_) {
        return;
    }
    // The load has read all that was stored when the take-over began.
    core_.set_known_until(parts_.registrations_until(),
                          std::max(jobs_follower_->known_until_ms(), started_ms_));
}

void shard_owner::pump()
{
    if (ended_) {
        return;
    }
    last_pump_ms_ = monotonic_ms();
    update_known_until();
    if (core_.fenced()) {
        end_ownership("a worker has seen the token of a newer owner");
        return;
    }
    if (parts_.open_start_limit) {
        core_.set_max_open_start_bytes(parts_.open_start_limit());
    }
    shard_effects effects = core_.take_effects(monotonic_ms());
    execute(effects);
}

void shard_owner::execute(shard_effects& effects)
{
    for (auto& [key, value] : effects.writes) {
        journal_.put(key, std::move(value));
    }
    if (effects.batch != 0) {
        journal_.when_stored([this, batch = effects.batch] {
            update_known_until();
            core_.on_stored(batch, monotonic_ms());
            pump_soon();
        });
    }
    for (const std::string& id : effects.forget) {
        delete_job_records(id);
    }
    send_forwards(effects);
    send_starts(effects);
    for (const stop_effect& effect : effects.stops) {
        send_stop(effect);
    }
    for (const pace_effect& effect : effects.paces) {
        parts_.workers->pace(effect.worker, effect.order, [effect](const order_answer& answer) {
            if (answer.outcome != order_result::ok) {
                log_event(log_level::info, "pace_failed",
                          {{"task", effect.order.task}, {"reason", to_string(answer.outcome)}});
            }
        });
    }
    for (const poll_effect& effect : effects.polls) {
        send_poll(effect);
    }
    for (const advice_order& order : effects.advice) {
        if (parts_.advice == nullptr) {
            log_event(log_level::error, "advice",
                      {{"step", order.step}, {"reason", "the settings name no policy service"}});
            core_.on_advice(order.step, {}, monotonic_ms());
            continue;
        }
        parts_.advice->ask(order, [this, step = order.step, alive = alive_](const advice_answer& answer) {
            if (*alive) {
                core_.on_advice(step, answer, monotonic_ms());
                pump_soon();
            }
        });
    }
}

void shard_owner::send_forwards(shard_effects& effects)
{
    for (forward_effect& effect : effects.forwards) {
        const std::string key = effect.cancel ? effect.id + cancel_key_suffix : effect.id;
        keyed_record record{.key = key, .value = std::move(effect.record), .offset = -1};
        parts_.forward(effect.shard, std::move(record),
                       [this, id = effect.id, cancel = effect.cancel, alive = alive_](store_status outcome) {
                           if (*alive) {
                               core_.on_forwarded(id, cancel, outcome == store_status::ok, monotonic_ms());
                               pump_soon();
                           }
                       });
    }
    for (const forward_check& check : effects.forward_checks) {
        parts_.ask(check.shard, check.id, [this, id = check.id, alive = alive_](std::optional<bool> known) {
            if (*alive) {
                core_.on_forward_checked(id, known, monotonic_ms());
                pump_soon();
            }
        });
    }
}

/// Deletes the record of a job and of its cancel after its retention time. The core deletes the progress once
/// the deletion has been read back.
///
/// The appends of the journal carry sequence numbers, so that one that the store carries out late, after a
/// retry, deletes nothing a second time: the job may have been accepted anew by then.
void shard_owner::delete_job_records(const std::string& id)
{
    const std::string rerouted = rerouted_key(id);
    if (job_offsets_.contains(rerouted)) {
        // This one goes first: if it were left without the others, it would be a new job to the next owner.
        deletions_.put(rerouted, std::nullopt);
        deletions_.when_stored([this, id] { delete_job_and_cancel(id); });
        return;
    }
    delete_job_and_cancel(id);
}

void shard_owner::delete_job_and_cancel(const std::string& id)
{
    deletions_.put(id, std::nullopt);
    deletions_.put(id + cancel_key_suffix, std::nullopt);
}

}  // namespace waxwingnotch
