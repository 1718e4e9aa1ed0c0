#include "waxwingnotch/shard/shard_owner.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

#include <algorithm>

namespace waxwingnotch {

namespace {

constexpr std::int64_t tick_ms = 50;            // resolution of retries and lapses
constexpr std::int64_t pump_pause_ms = 4;       // between rounds of decisions; one append takes as long
constexpr std::int64_t intake_wait_ms = 1'000;  // a silent connection is noticed after this and a time-out
constexpr std::int64_t release_retry_ms = 300;  // between questions to an earlier owner that is silent
constexpr std::int64_t current_ms = 3'000;      // a read waits 1 s and is answered once the next one is due

}  // namespace

shard_owner::shard_owner(parts parts, int partition, shard_options options, std::function<void()> lost)
    : parts_(std::move(parts)), partition_(partition), options_(options), lost_(std::move(lost)),
      core_(options), journal_(*parts_.loop, *parts_.store,
                               {.topic = runs_topic,
                                .partition = partition,
                                .writer = "owner",
                                .epoch = options.epoch,
                                .marker = owner_key,
                                .marker_value = parts_.address.empty() ? "-" : parts_.address},
                               [this] { lose("another owner has written to the shard"); })
{
}

shard_owner::~shard_owner()
{
    *alive_ = false;
}

void shard_owner::start()
{
    started_ms_ = monotonic_ms();
    // Both topics are read after earlier owners are fenced, so each job whose progress is there is read too.
    journal_.open([this] {
        load_jobs();
        load_runs();
    });
}

void shard_owner::load_jobs()
{
    const follow_options follow{
        .topic = jobs_topic, .partition = partition_, .wait_ms = intake_wait_ms, .pause_ms = 0};
    intake_ = std::make_unique<keyed_follower>(
        *parts_.loop, *parts_.store, follow,
        keyed_follower::handlers{.record = [this](const keyed_record& record) { on_intake(record); },
                                 .caught_up =
                                     [this] {
                                         intake_loaded_ = true;
                                         finish_load();
                                     }});
    intake_->start();
}

/// Reads the progress once; from then on this owner is the only writer.
void shard_owner::load_runs()
{
    const follow_options once{
        .topic = runs_topic, .partition = partition_, .wait_ms = 0, .pause_ms = intake_wait_ms};
    runs_ = std::make_unique<keyed_follower>(
        *parts_.loop, *parts_.store, once,
        keyed_follower::handlers{.record =
                                     [this](const keyed_record& record) {
                                         if (!record.value || runs_loaded_) {
                                             return;
                                         }
                                         if (record.key == owner_key) {
                                             earlier_owner_ = *record.value;
                                             return;
                                         }
                                         core_.load_progress(record.key, *record.value);
                                     },
                                 .caught_up =
                                     [this] {
                                         runs_loaded_ = true;
                                         parts_.loop->defer([this, alive = alive_] {
                                             if (*alive) {
                                                 runs_.reset();
                                                 finish_load();
                                             }
                                         });
                                     }});
    runs_->start();
}

void shard_owner::finish_load()
{
    if (core_.loaded() || !intake_loaded_ || !runs_loaded_) {
        pump_soon();
        return;
    }
    const std::int64_t now = monotonic_ms();
    core_.tick(now, wall_ms());
    core_.finish_load(now);
    log_event(log_level::info, "shard_taken",
              {{"shard", partition_},
               {"epoch", options_.epoch},
               {"jobs", core_.jobs()},
               {"ms", now - started_ms_}});
    tick_ = parts_.loop->every(tick_ms, [this] {
        core_.tick(monotonic_ms(), wall_ms());
        pump();
    });
    journal_.put(owner_key, parts_.address);
    ask_earlier_owner();
    pump();
}

/// A worker that does not answer may still get leases from the earlier owner, until that one knows
/// that it is replaced.
void shard_owner::ask_earlier_owner()
{
    if (earlier_owner_.empty() || earlier_owner_ == "-" || earlier_owner_ == parts_.address ||
        !parts_.release) {
        core_.earlier_owner_gone(monotonic_ms());
        return;
    }
    parts_.release(earlier_owner_, partition_, options_.epoch, [this, alive = alive_](bool answered) {
        if (!*alive) {
            return;
        }
        if (answered) {
            core_.earlier_owner_gone(monotonic_ms());
            return;
        }
        if (monotonic_ms() - started_ms_ < options_.inherited_lease_ms) {
            release_retry_ = parts_.loop->after(release_retry_ms, [this] { ask_earlier_owner(); });
        }
    });
}

void shard_owner::on_intake(const keyed_record& record)
{
    if (!record.value) {
        return;  // dropped by an owner after its time; this core forgets by itself
    }
    const std::int64_t now = monotonic_ms();
    if (!record.key.empty() && record.key.back() == cancel_mark) {
        core_.cancel_job(record.key.substr(0, record.key.size() - 1), now);
        pump_soon();
        return;
    }
    auto job = decode_job(*record.value);
    if (!job) {
        log_event(log_level::error, "job_unreadable", {{"key", record.key}, {"reason", job.error().message}});
        return;
    }
    core_.add_job(job.value(), wall_ms() - job.value().accepted_ms, now);
    pump_soon();
}

bool shard_owner::current() const
{
    return core_.loaded() && monotonic_ms() - complete_until_ms() < current_ms;
}

std::int64_t shard_owner::complete_until_ms() const
{
    return intake_ ? intake_->complete_until_ms() : 0;
}

void shard_owner::set_config(std::shared_ptr<const cluster_config> config)
{
    core_.set_config(std::move(config));
    pump_soon();
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

void shard_owner::close_worker(const std::string& id, std::int64_t for_ms)
{
    const std::int64_t now = monotonic_ms();
    core_.close_worker(id, now + for_ms, now);
    pump_soon();
}

void shard_owner::report_ends(const std::vector<ended_row>& ends)
{
    core_.report_ends(ends, monotonic_ms());
    pump_soon();
}

void shard_owner::lose(const char* reason)
{
    if (over_) {
        return;
    }
    over_ = true;
    tick_.cancel();
    log_event(log_level::warning, "shard_lost",
              {{"shard", partition_}, {"epoch", options_.epoch}, {"reason", reason}});
    parts_.loop->defer([lost = lost_] { lost(); });
}

void shard_owner::pump_soon()
{
    if (pump_pending_ || !core_.loaded()) {
        return;
    }
    pump_pending_ = true;
    // A lone event is handled at once; what follows it closely is handled together.
    const std::int64_t pause_ms = std::max<std::int64_t>(pump_pause_ms - (monotonic_ms() - last_pump_ms_), 0);
    pump_timer_ = parts_.loop->after(pause_ms, [this] {
        pump_pending_ = false;
        pump();
    });
}

void shard_owner::pump()
{
    if (over_) {
        return;
    }
    last_pump_ms_ = monotonic_ms();
    if (core_.fenced()) {
        lose("a worker knows a newer owner");
        return;
    }
    shard_effects todo = core_.take_effects(monotonic_ms());
    carry_out(todo);
}

void shard_owner::carry_out(shard_effects& todo)
{
    for (auto& [key, value] : todo.writes) {
        journal_.put(key, std::move(value));
    }
    if (todo.batch != 0) {
        journal_.when_stored([this, batch = todo.batch] {
            core_.stored(batch, monotonic_ms());
            pump_soon();
        });
    }
    for (const std::string& id : todo.forget) {
        forget(id);
    }
    send_starts(todo);
    for (const stop_effect& item : todo.stops) {
        parts_.workers->stop(item.worker, item.order,
                             [this, item, alive = alive_](const order_answer& answer) {
                                 if (*alive) {
                                     core_.on_stop(item.worker.id, item.order, answer, monotonic_ms());
                                     pump_soon();
                                 }
                             });
    }
    for (const pace_effect& item : todo.paces) {
        parts_.workers->pace(item.worker, item.order, [item](const order_answer& answer) {
            if (answer.outcome != order_result::ok) {
                log_event(log_level::info, "pace_failed",
                          {{"task", item.order.task}, {"reason", to_string(answer.outcome)}});
            }
        });
    }
    for (const hold_effect& item : todo.holds) {
        parts_.workers->hold(item.worker, item.order,
                             [this, id = item.worker.id, extra = item.extra, sent = monotonic_ms(),
                              alive = alive_](const hold_answer& answer) {
                                 if (*alive) {
                                     core_.on_hold(id, sent, extra, answer, monotonic_ms());
                                     pump_soon();
                                 }
                             });
    }
    for (const advice_effect& item : todo.advice) {
        if (parts_.advice == nullptr) {
            log_event(log_level::error, "advice",
                      {{"step", item.step}, {"reason", "the settings name no policy service"}});
            continue;
        }
        parts_.advice->ask(item.step, item.workers,
                           [this, step = item.step, alive = alive_](const advice_answer& answer) {
                               if (*alive) {
                                   core_.on_advice(step, answer, monotonic_ms());
                                   pump_soon();
                               }
                           });
    }
}

void shard_owner::send_starts(shard_effects& todo)
{
    for (const start_effect& item : todo.starts) {
        parts_.workers->start(item.worker, item.order,
                              [this, item, alive = alive_](const order_answer& answer) {
                                  if (*alive) {
                                      core_.on_start(item.worker.id, item.order, answer, monotonic_ms());
                                      pump_soon();
                                  }
                              });
    }
}

/// Drops the records of a job that ended long ago.
void shard_owner::forget(const std::string& id)
{
    journal_.put(id + ".0", std::nullopt);
    append_request drop{.topic = jobs_topic,
                        .partition = partition_,
                        .writer = {},
                        .epoch = 0,
                        .sequence = 0,
                        .records = {{.key = id, .value = std::nullopt, .offset = -1},
                                    {.key = id + cancel_mark, .value = std::nullopt, .offset = -1}}};
    parts_.store->append(drop, [id](const append_result& answer) {
        if (answer.status != store_status::ok) {
            log_event(log_level::warning, "forget_failed",
                      {{"job", id}, {"reason", to_string(answer.status)}});
        }
    });
}

}  // namespace waxwingnotch
