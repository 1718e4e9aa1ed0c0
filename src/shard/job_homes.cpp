#include "waxwingnotch/shard/job_homes.hpp"

#include "waxwingnotch/base/cbor_reader.hpp"
#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/hash.hpp"
#include "waxwingnotch/base/log.hpp"
#include "waxwingnotch/decision/shard_choice.hpp"

#include <algorithm>
#include <utility>

namespace waxwingnotch {

namespace {

using nlohmann::json;

constexpr std::size_t key_digits = 32;  // 128 bits; keys of the store have at most 255 bytes
// Of the keys of services and of single jobs; those of paths are digits.
constexpr std::string_view service_prefix = "service/";
constexpr std::string_view job_prefix = "job/";

std::string encode_home(const job_home& home)
{
    std::string bytes;
    json::to_cbor(json::array({home.service, home.shard}), bytes);
    return bytes;
}

std::optional<job_home> decode_home(std::string_view bytes)
{
    try {
        const json row = parse_bounded_cbor(bytes);
        job_home home{row.at(0).get<std::string>(), row.at(1).get<int>()};
        return home.shard < 0 ? std::nullopt : std::optional(std::move(home));
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

}  // namespace

job_homes::job_homes(log_store& store, int shards) : store_(store), shards_(shards) {}

job_homes::~job_homes()
{
    *alive_ = false;
}

std::string job_homes::key_of(std::string_view host, std::string_view prefix)
{
    return sha256_hex(std::string(host) + '\n' + std::string(prefix)).substr(0, key_digits);
}

std::string job_homes::service_key(std::string_view service)
{
    return std::string(service_prefix) + sha256_hex(std::string(service)).substr(0, key_digits);
}

std::string job_homes::job_key(std::string_view id)
{
    return std::string(job_prefix) + std::string(id);
}

std::string job_homes::format_key()
{
    return "format";
}

std::vector<std::pair<std::string, job_home>> job_homes::jobs() const
{
    std::vector<std::pair<std::string, job_home>> rows;
    for (auto at = homes_.lower_bound(std::string(job_prefix));
         at != homes_.end() && at->first.starts_with(job_prefix); ++at) {
        rows.emplace_back(at->first.substr(job_prefix.size()), at->second);
    }
    return rows;
}

bool job_homes::names(std::string_view service) const
{
    return std::ranges::any_of(homes_, [&](const auto& entry) {
        return entry.second.service == service && !entry.first.starts_with(job_prefix);
    });
}

std::map<std::string, int> job_homes::services() const
{
    std::map<std::string, int> shards;
    for (auto at = homes_.lower_bound(std::string(service_prefix));
         at != homes_.end() && at->first.starts_with(service_prefix); ++at) {
        shards.emplace(at->second.service, at->second.shard);
    }
    return shards;
}

const job_home* job_homes::find(const std::string& key) const
{
    const auto found = homes_.find(key);
    return found == homes_.end() ? nullptr : &found->second;
}

void job_homes::look_up(const std::string& key, std::int64_t since_ms, handler done)
{
    if (homes_.contains(key) || (read_ms_ && *read_ms_ > since_ms)) {
        done(store_status::ok);
        return;
    }
    waiting_.push_back({key, std::nullopt, std::move(done)});
    start();
}

void job_homes::claim(const std::string& key, job_home home, handler done)
{
    if (homes_.contains(key)) {
        done(store_status::ok);
        return;
    }
    waiting_.push_back({key, std::move(home), std::move(done)});
    start();
}

void job_homes::claim_services(const std::vector<std::string>& services, handler done)
{
    std::vector<std::pair<std::string, job_home>> claims;
    claims.reserve(services.size());
    for (const std::string& service : services) {
        claims.emplace_back(service_key(service), job_home{service, no_shard});
    }
    claim_all(claims, std::move(done));
}

void job_homes::claim_all(std::span<const std::pair<std::string, job_home>> claims, handler done)
{
    if (claims.empty()) {
        done(store_status::ok);
        return;
    }
    struct outcome {
        std::size_t open = 0;
        store_status status = store_status::ok;
        handler done;
    };
    auto all = std::make_shared<outcome>(outcome{.open = claims.size(), .done = std::move(done)});
    for (const auto& [key, home] : claims) {
        waiting_.push_back({key, home, [all](store_status status) {
                                all->status = status == store_status::ok ? all->status : status;
                                if (--all->open == 0) {
                                    all->done(all->status);
                                }
                            }});
    }
    start();
}

/// @return the homes of services that have none, by key
std::map<std::string, job_home> job_homes::choose_shards(const std::vector<std::string>& services) const
{
    std::map<std::string, int> known = this->services();
    std::map<std::string, job_home> chosen;
    for (const auto& [key, home] : homes_) {
        const bool wanted = !key.starts_with(job_prefix) &&
                            std::find(services.begin(), services.end(), home.service) != services.end();
        if (wanted && known.try_emplace(home.service, home.shard).second) {
            chosen[service_key(home.service)] = home;
        }
    }
    for (const auto& [service, shard] : choose_service_shards(services, known, shards_)) {
        chosen[service_key(service)] = {service, shard};
    }
    return chosen;
}

void job_homes::start()
{
    if (!active_.empty() || waiting_.empty()) {
        return;
    }
    active_ = std::exchange(waiting_, {});
    sent_ms_ = monotonic_ms();
    if (next_offset_ < 0) {
        read_page({});
        return;
    }
    read_changes();
}

/// Reads all homes. The pages are not a snapshot, so reading continues at the end of the first one.
void job_homes::read_page(const std::string& after)
{
    store_.read_newest(homes_topic, 0, after, [this, after, alive = alive_](const newest_page& page) {
        if (!*alive) {
            return;
        }
        if (page.status != store_status::ok) {
            next_offset_ = -1;
            finish(page.status);
            return;
        }
        if (after.empty()) {
            next_offset_ = page.end_offset;
        }
        for (const keyed_record& record : page.records) {
            keep(record);
        }
        const bool advances = !page.records.empty() && page.records.back().key > after;
        if (page.more && advances) {
            read_page(page.records.back().key);
            return;
        }
        on_read();
    });
}

void job_homes::read_changes()
{
    const read_request changes{.topic = homes_topic, .partition = 0, .from_offset = next_offset_};
    store_.read(changes, [this, alive = alive_](const read_result& read) {
        if (!*alive) {
            return;
        }
        if (read.status == store_status::offset_expired) {
            read_page({});
            return;
        }
        if (read.status != store_status::ok) {
            finish(read.status);
            return;
        }
        for (const keyed_record& record : read.records) {
            next_offset_ = record.offset + 1;
            keep(record);
        }
        if (next_offset_ < read.end_offset && !read.records.empty()) {
            read_changes();
            return;
        }
        on_read();
    });
}

void job_homes::keep(const keyed_record& record)
{
    if (!record.value) {
        return;
    }
    auto home = decode_home(*record.value);
    if (!home) {
        log_event(log_level::error, "home_unreadable", {{"key", record.key}});
        return;
    }
    homes_.try_emplace(record.key, std::move(*home));
}

void job_homes::on_read()
{
    read_ms_ = sent_ms_;
    append_claims();
}

/// Stores the claims for paths without a home, on the condition that nothing was stored since the read.
void job_homes::append_claims()
{
    append_request append{.topic = homes_topic, .partition = 0, .at_offset = next_offset_};
    std::map<std::string, job_home> claimed;
    std::vector<std::string> services;
    for (const request& item : active_) {
        if (!item.claimed || homes_.contains(item.key)) {
            continue;
        }
        if (item.claimed->shard == no_shard) {
            services.push_back(item.claimed->service);
        }
        else {
            claimed.try_emplace(item.key, *item.claimed);
        }
    }
    claimed.merge(choose_shards(services));
    for (const auto& [key, home] : claimed) {
        append.records.push_back({.key = key, .value = encode_home(home), .offset = -1});
    }
    if (claimed.empty()) {
        finish(store_status::ok);
        return;
    }
    store_.append(append, [this, claimed, alive = alive_](const append_result& answer) {
        if (!*alive) {
            return;
        }
        if (answer.status == store_status::wrong_offset) {
            sent_ms_ = monotonic_ms();
            read_changes();
            return;
        }
        if (answer.status == store_status::ok) {
            next_offset_ = answer.end_offset >= 0 ? answer.end_offset
                                                  : next_offset_ + static_cast<std::int64_t>(claimed.size());
            for (const auto& [key, home] : claimed) {
                homes_.try_emplace(key, home);
                log_event(log_level::info, "home",
                          {{"key", key}, {"service", home.service}, {"shard", home.shard}});
            }
        }
        finish(answer.status);
    });
}

void job_homes::finish(store_status status)
{
    const std::vector<request> finished = std::exchange(active_, {});
    const std::shared_ptr<bool> alive = alive_;
    for (const request& item : finished) {
        item.done(homes_.contains(item.key) ? store_status::ok : status);
        if (!*alive) {
            return;
        }
    }
    start();
}

}  // namespace waxwingnotch
