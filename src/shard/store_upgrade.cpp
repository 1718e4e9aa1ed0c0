#include "waxwingnotch/shard/store_upgrade.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"
#include "waxwingnotch/job/route.hpp"
#include "waxwingnotch/shard/shard_owner.hpp"

#include <algorithm>
#include <utility>

namespace waxwingnotch {

namespace {

constexpr std::int64_t retry_ms = 150;            // after a call that failed
constexpr std::size_t max_claims_per_call = 500;  // some 100 bytes each; a call may have 2 MB

}  // namespace

store_upgrade::store_upgrade(event_loop& loop, log_store& store, job_homes& homes, service_shards& services,
                             int shards)
    : loop_(loop), store_(store), homes_(homes), services_(services), shards_(shards)
{
}

store_upgrade::~store_upgrade()
{
    *alive_ = false;
}

/// @return @p action, which is left out if this object is gone or run() was called again
template <class Action>
auto store_upgrade::guarded(Action action)
{
    return [this, action = std::move(action), run = runs_, alive = alive_](const auto&... arguments) {
        if (*alive && run == runs_) {
            action(arguments...);
        }
    };
}

void store_upgrade::run(std::shared_ptr<const cluster_config> config, handlers on)
{
    config_ = std::move(config);
    on_ = std::move(on);
    ++runs_;
    retry_.cancel();
    if (complete_) {
        on_.done();
        return;
    }
    begin();
}

void store_upgrade::retry()
{
    retry_ = loop_.after(retry_ms, [this] { begin(); });
}

void store_upgrade::begin()
{
    homes_.look_up(job_homes::format_key(), monotonic_ms(), guarded([this](store_status status) {
                       if (status != store_status::ok) {
                           retry();
                           return;
                       }
                       if (homes_.find(job_homes::format_key()) != nullptr) {
                           finish();
                           return;
                       }
                       jobs_.clear();
                       read_jobs(0, {});
                   }));
}

/// Reads the newest records of the jobs of a shard, and of those after it.
void store_upgrade::read_jobs(int shard, const std::string& after)
{
    if (shard == shards_) {
        claim_services();
        return;
    }
    store_.read_newest(jobs_topic, shard, after, guarded([this, shard, after](const newest_page& page) {
                           if (page.status != store_status::ok) {
                               retry();
                               return;
                           }
                           for (const keyed_record& record : page.records) {
                               keep(record, shard);
                           }
                           const bool advances = !page.records.empty() && page.records.back().key > after;
                           if (page.more && advances) {
                               read_jobs(shard, page.records.back().key);
                               return;
                           }
                           read_jobs(shard + 1, {});
                       }));
}

void store_upgrade::keep(const keyed_record& record, int shard)
{
    if (!record.value || record.key.ends_with(cancel_key_suffix)) {
        return;
    }
    const auto job = decode_job(*record.value);
    if (!job) {
        log_event(log_level::error, "job_unreadable",
                  {{"key", record.key}, {"shard", shard}, {"reason", job.error().message}});
        return;
    }
    jobs_.push_back({.id = job.value().id,
                     .queue = job.value().queue,
                     .service = job.value().service,
                     .shard = shard,
                     .accepted_ms = job.value().accepted_ms,
                     .rerouted = record.key.ends_with(rerouted_key_suffix)});
}

/// Claims shards for the services of which jobs are stored, then for the others.
void store_upgrade::claim_services()
{
    std::map<std::string, int> shards = shards_with_most_jobs(jobs_);
    if (!jobs_.empty() && homes_.services().empty()) {
        // Nodes of earlier versions that still serve go by the place of a service in the list.
        for (std::size_t place = 0; place < config_->services.size(); ++place) {
            const std::string& service = config_->services[place].name;
            if (!homes_.names(service)) {
                shards.try_emplace(service, static_cast<int>(place) % shards_);
            }
        }
    }
    claims wanted;
    for (const auto& [service, shard] : shards) {
        wanted.emplace_back(job_homes::service_key(service), job_home{service, shard});
    }
    store_claims(std::move(wanted), 0,
                 [this] { services_.ensure(config_->service_names(), guarded([this] { claim_homes(); })); });
}

/// @return the shard that is the home of each queue's path, of those that have one
std::map<std::string, int> store_upgrade::homes_of_queues() const
{
    std::map<std::string, int> shards;
    for (const queue_config& queue : config_->queues) {
        if (const job_home* home = homes_.find(job_homes::key_of(queue.host, queue.path_prefix))) {
            shards[queue.name] = home->shard;
        }
    }
    return shards;
}

/// Claims homes for all paths of the configuration if there are stored jobs, and for the jobs that lie
/// elsewhere.
void store_upgrade::claim_homes()
{
    const std::map<std::string, int> homes = homes_of_queues();
    claims paths;
    for (const queue_config& queue : config_->queues) {
        const service_place place =
            place_with_most_jobs(jobs_, queue.name, {queue.service, services_.find(queue.service)});
        if (!jobs_.empty() && !homes.contains(queue.name) && place.shard != service_shards::no_shard) {
            paths.emplace_back(job_homes::key_of(queue.host, queue.path_prefix),
                               job_home{place.service, place.shard});
        }
    }
    if (!paths.empty()) {
        // Another node may have claimed other homes, so the jobs that lie elsewhere are told by what is
        // stored.
        store_claims(std::move(paths), 0, [this] { claim_homes(); });
        return;
    }
    claims wanted;
    for (const stored_job& job : jobs_away_from_home(jobs_, homes, homes_.services())) {
        wanted.emplace_back(job_homes::job_key(job.id), job_home{job.service, job.shard});
    }
    const std::size_t away = wanted.size();
    store_claims(std::move(wanted), 0, [this, away] {
        log_event(log_level::info, "store_upgrade",
                  {{"format", store_format}, {"jobs", jobs_.size()}, {"away_from_home", away}});
        store_claims({{job_homes::format_key(), job_home{"", store_format}}}, 0, [this] { finish(); });
    });
}

/// Stores the claims from number @p from on that nobody else has stored.
void store_upgrade::store_claims(claims wanted, std::size_t from, std::function<void()> done)
{
    if (from >= wanted.size()) {
        done();
        return;
    }
    const std::size_t end = std::min(from + max_claims_per_call, wanted.size());
    const claims part(wanted.begin() + static_cast<std::ptrdiff_t>(from),
                      wanted.begin() + static_cast<std::ptrdiff_t>(end));
    homes_.claim_all(
        part, guarded([this, wanted = std::move(wanted), end, done = std::move(done)](store_status status) {
            if (status != store_status::ok) {
                retry();
                return;
            }
            store_claims(wanted, end, done);
        }));
}

void store_upgrade::finish()
{
    const int format = homes_.find(job_homes::format_key())->shard;
    if (format > store_format) {
        log_event(log_level::error, "store_upgrade",
                  {{"format", format},
                   {"known_format", store_format},
                   {"outcome", "refused"},
                   {"reason", "a later version has written to the store"}});
        on_.unsupported(format);
        return;
    }
    jobs_.clear();
    complete_ = true;
    place_late_jobs();
    on_.done();
}

std::set<std::string> store_upgrade::jobs_to_hand_over(int shard) const
{
    std::set<std::string> ids;
    for (const auto& [id, home] : homes_.jobs()) {
        if (home.shard != shard && services_.find(home.service) == shard) {
            ids.insert(id);
        }
    }
    return ids;
}

void store_upgrade::add_late(stored_job job)
{
    late_.push_back(std::move(job));
    place_late_jobs();
}

/// Claims a home for each late job that does not lie at the home of its path.
void store_upgrade::place_late_jobs()
{
    if (!complete_ || placing_ || late_.empty()) {
        return;
    }
    std::vector<stored_job> taken = std::exchange(late_, {});
    claims wanted;
    for (const stored_job& job : jobs_away_from_home(taken, homes_of_queues(), homes_.services())) {
        wanted.emplace_back(job_homes::job_key(job.id), job_home{job.service, job.shard});
    }
    placing_ = true;
    homes_.claim_all(std::move(wanted),
                     [this, taken = std::move(taken), alive = alive_](store_status status) {
                         if (!*alive) {
                             return;
                         }
                         placing_ = false;
                         if (status == store_status::ok) {
                             place_late_jobs();
                             return;
                         }
                         late_.insert(late_.end(), taken.begin(), taken.end());
                         late_retry_ = loop_.after(retry_ms, [this] { place_late_jobs(); });
                     });
}

}  // namespace waxwingnotch
