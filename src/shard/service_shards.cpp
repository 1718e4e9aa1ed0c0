#include "waxwingnotch/shard/service_shards.hpp"

#include "waxwingnotch/base/log.hpp"

#include <utility>

namespace waxwingnotch {

namespace {

constexpr std::int64_t retry_ms = 150;  // after a call that failed; several fit into the bound for a version

}  // namespace

service_shards::service_shards(event_loop& loop, job_homes& homes, int shards)
    : loop_(loop), homes_(homes), shards_(shards)
{
}

service_shards::~service_shards()
{
    *alive_ = false;
}

int service_shards::find(const std::string& service) const
{
    const auto found = known_.find(service);
    if (found != known_.end()) {
        return found->second;
    }
    const job_home* home = homes_.find(job_homes::service_key(service));
    return home == nullptr || home->shard >= shards_ ? no_shard : home->shard;
}

void service_shards::ensure(std::vector<std::string> services, std::function<void()> known)
{
    wanted_ = std::move(services);
    on_known_ = std::move(known);
    ++calls_;
    failure_logged_ = false;
    retry_.cancel();
    if (keep()) {
        on_known_();
        return;
    }
    claim();
}

void service_shards::claim()
{
    homes_.claim_services(wanted_, [this, call = calls_, alive = alive_](store_status status) {
        if (!*alive || call != calls_) {
            return;
        }
        if (keep()) {
            on_known_();
            return;
        }
        if (!failure_logged_) {
            failure_logged_ = true;
            log_event(
                log_level::warning, "service_shards",
                {{"outcome", "asked again"}, {"reason", to_string(status)}, {"services", wanted_.size()}});
        }
        retry_ = loop_.after(retry_ms, [this] { claim(); });
    });
}

/// Keeps the shards that have been read. @return whether all wanted services have one
bool service_shards::keep()
{
    std::erase_if(wanted_, [&](const std::string& service) {
        if (known_.contains(service)) {
            return true;
        }
        const job_home* home = homes_.find(job_homes::service_key(service));
        if (home == nullptr) {
            return false;
        }
        const bool usable = home->shard < shards_;
        if (!usable) {
            log_event(log_level::error, "service_shards",
                      {{"service", service},
                       {"shard", home->shard},
                       {"shards", shards_},
                       {"outcome", "its requests are refused"},
                       {"reason", "the stored shard is beyond the number of partitions"}});
        }
        known_[service] = usable ? home->shard : no_shard;
        return true;
    });
    return wanted_.empty();
}

}  // namespace waxwingnotch
