#include "waxwingnotch/shard/service_shards.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/decision/shard_choice.hpp"

#include <utility>

namespace waxwingnotch {

service_shards::service_shards(job_homes& homes, int shards) : homes_(homes), shards_(shards) {}

service_shards::~service_shards()
{
    *alive_ = false;
}

int service_shards::find(const std::string& service) const
{
    const auto found = known_.find(service);
    return found == known_.end() ? no_shard : found->second;
}

void service_shards::ensure(std::vector<std::string> services, handler done)
{
    std::erase_if(services, [&](const std::string& service) { return known_.contains(service); });
    if (services.empty()) {
        done(store_status::ok);
        return;
    }
    const std::string key = job_homes::service_key(services.front());
    homes_.look_up(
        key, monotonic_ms(),
        [this, services = std::move(services), done = std::move(done), alive = alive_](store_status status) {
            if (!*alive) {
                return;
            }
            if (status != store_status::ok) {
                done(status);
                return;
            }
            claim(services, done);
        });
}

void service_shards::claim(const std::vector<std::string>& services, handler done)
{
    if (keep(services)) {
        done(store_status::ok);
        return;
    }
    std::vector<std::pair<std::string, job_home>> claims;
    for (auto& [service, shard] : choose_service_shards(services, homes_.services(), shards_)) {
        claims.emplace_back(job_homes::service_key(service), job_home{service, shard});
    }
    homes_.claim(claims, [this, services, done = std::move(done), alive = alive_](store_status status) {
        if (*alive) {
            done(keep(services) ? store_status::ok : status);
        }
    });
}

/// Keeps the shards of @p services that have been read. @return whether all of them have
bool service_shards::keep(const std::vector<std::string>& services)
{
    bool all = true;
    for (const std::string& service : services) {
        const job_home* home = homes_.find(job_homes::service_key(service));
        all = all && home != nullptr;
        if (home != nullptr) {
            known_.try_emplace(service, home->shard);
        }
    }
    return all;
}

}  // namespace waxwingnotch
