#include "waxwingnotch/shard/shard_group.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"
#include "waxwingnotch/decision/owner_choice.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace waxwingnotch {

namespace {

constexpr std::int64_t look_pause_ms = 50;  // shortest time between two looks at the owners
// A partition that is taken up again within one generation needs a higher epoch than before.
constexpr std::int64_t epochs_per_generation = 1'000;
constexpr std::int64_t retry_beat_ms = 150;  // after a join without an answer

// A member's name: ADDRESS/START/PROCESSOR_MILLI.
std::string member_name(const shard_group::options& options)
{
    return options.address + "/" + std::to_string(options.start_ms) + "/" +
           std::to_string(options.processor_milli);
}

std::string address_of(const std::string& member)
{
    return member.substr(0, member.find('/'));
}

/// @return 0 for a member that does not say it
int processor_of(const std::string& member)
{
    const std::string text = member.substr(member.rfind('/') + 1);
    int milli = 0;
    std::from_chars(text.data(), text.data() + text.size(), milli);
    return milli;
}

}  // namespace

shard_group::shard_group(event_loop& loop, log_store& store, options options, handlers handlers)
    : loop_(loop), store_(store), options_(std::move(options)), handlers_(std::move(handlers)),
      member_(member_name(options_))
{
}

shard_group::~shard_group()
{
    *alive_ = false;
}

void shard_group::start()
{
    if (options_.processor_milli < options_.join_at_once_milli) {
        role_ = role::reserve;
    }
    tell_role();
    beat();
    look();
    look_ = loop_.every(options_.look_ms, [this] { look(); });
}

void shard_group::beat()
{
    if (role_ != role::member) {
        return;
    }
    joining_ = true;
    const std::int64_t sent = monotonic_ms();
    const join_request request{.group = options_.group,
                               .member = member_,
                               .topic = options_.topic,
                               .ttl_ms = options_.ttl_ms,
                               .generation = generation_};
    store_.join(request, [this, sent, alive = alive_](const join_result& answer) {
        if (*alive) {
            joining_ = false;
            on_join(answer, sent);
        }
    });
}

void shard_group::on_join(const join_result& answer, std::int64_t sent_ms)
{
    if (role_ != role::member) {
        return;
    }
    const std::int64_t now = monotonic_ms();
    if (answer.status != store_status::ok) {
        const std::int64_t contact = handlers_.last_peer_ms ? handlers_.last_peer_ms() : 0;
        const bool isolated = now - contact > options_.contact_ms;
        const std::int64_t limit = isolated ? options_.isolated_ms : options_.outage_ms;
        if (valid_ms_ != 0 && !mine_.empty() && now - valid_ms_ > limit) {
            give_up_all(isolated ? "neither the store nor another node answers"
                                 : "the store is away for too long");
        }
        beat_ = loop_.after(retry_beat_ms, [this] { beat(); });
        return;
    }
    valid_ms_ = sent_ms;
    const bool changed = generation_ != answer.generation;
    generation_ = answer.generation;
    const std::set<int> listed(answer.partitions.begin(), answer.partitions.end());
    const std::set<int> before = mine_;
    const std::shared_ptr<bool> alive = alive_;
    bool gave = false;
    for (const int partition : before) {
        if (!listed.contains(partition) && mine_.erase(partition) > 0) {
            gave = true;
            log_event(log_level::info, "shard_given", {{"shard", partition}, {"generation", generation_}});
            handlers_.lost(partition);
        }
    }
    for (const int partition : listed) {
        if (*alive && mine_.insert(partition).second) {
            log_event(log_level::info, "shard_dealt", {{"shard", partition}, {"generation", generation_}});
            handlers_.gained(partition,
                             generation_ * epochs_per_generation + drops_[partition] % epochs_per_generation);
        }
    }
    if (!*alive) {
        return;
    }
    if (changed) {
        look();
    }
    // The next member gets a partition once this one has joined without it.
    beat_ = loop_.after(gave ? 1 : options_.beat_ms, [this] { beat(); });
}

void shard_group::give_up_all(const char* reason)
{
    const std::set<int> before = std::exchange(mine_, {});
    for (const int partition : before) {
        log_event(log_level::warning, "shard_given", {{"shard", partition}, {"reason", reason}});
        handlers_.lost(partition);
    }
}

void shard_group::drop(int partition)
{
    mine_.erase(partition);
    ++drops_[partition];
}

void shard_group::leave()
{
    if (std::exchange(role_, role::left) != role::member) {
        return;  // a reserve has nothing that others could take
    }
    give_up_all("this node stops");
    store_.leave(options_.group, member_, [this, alive = alive_] {
        if (*alive && handlers_.left) {
            handlers_.left();
        }
    });
}

void shard_group::join_now()
{
    if (!joining_) {
        beat();
    }
}

void shard_group::look()
{
    const std::int64_t now = monotonic_ms();
    if (looking_ || now - last_look_ms_ < look_pause_ms) {
        return;
    }
    looking_ = true;
    last_look_ms_ = now;
    store_.owners(options_.group, [this, alive = alive_](const owners_result& answer) {
        if (!*alive) {
            return;
        }
        looking_ = false;
        if (answer.status == store_status::ok) {
            on_owners(answer);
        }
    });
}

void shard_group::on_owners(const owners_result& answer)
{
    std::map<int, std::string> owners;
    std::map<std::string, int> processors;
    for (const owner_row& row : answer.rows) {
        owners[row.partition] = address_of(row.member);
        processors[owners[row.partition]] = processor_of(row.member);
    }
    const int owned = static_cast<int>(owners.size());
    if (owners != owners_) {
        owners_ = std::move(owners);
        handlers_.owners_changed();
    }
    processors.erase(options_.address);
    review_role(processors, owned);
}

/// Changes between member and reserve once the owners have called for it for a while: while nodes start or
/// take over, the owners change within a second.
void shard_group::review_role(const std::map<std::string, int>& owners, int owned)
{
    if (role_ == role::left) {
        return;
    }
    std::vector<int> processors;
    processors.reserve(owners.size());
    for (const auto& [address, milli] : owners) {
        processors.push_back(milli);
    }
    const bool own = should_own(options_.processor_milli, processors, owned, options_.partitions);
    const std::int64_t now = monotonic_ms();
    if (own == (role_ == role::member)) {
        review_since_ms_ = 0;
        return;
    }
    review_since_ms_ = review_since_ms_ == 0 ? now : review_since_ms_;
    if (now - review_since_ms_ < options_.reserve_ms) {
        return;
    }
    review_since_ms_ = 0;
    log_event(log_level::info, "group_role",
              {{"role", own ? "member" : "reserve"},
               {"processor_milli", options_.processor_milli},
               {"other_owners", owners.size()},
               {"owned", owned},
               {"partitions", options_.partitions}});
    if (own) {
        role_ = role::member;
        tell_role();
        beat();
        return;
    }
    become_reserve();
    tell_role();
}

void shard_group::tell_role()
{
    if (handlers_.role_changed) {
        handlers_.role_changed(reserve());
    }
}

void shard_group::become_reserve()
{
    role_ = role::reserve;
    beat_.cancel();
    give_up_all("larger hosts own the shards");
    store_.leave(options_.group, member_, [] {});
}

std::string shard_group::owner_of(int partition) const
{
    if (mine_.contains(partition)) {
        return options_.address;
    }
    const auto found = owners_.find(partition);
    return found == owners_.end() ? std::string() : found->second;
}

std::vector<std::string> shard_group::peers() const
{
    std::vector<std::string> list;
    for (const auto& [partition, address] : owners_) {
        if (address != options_.address && std::find(list.begin(), list.end(), address) == list.end()) {
            list.push_back(address);
        }
    }
    return list;
}

}  // namespace waxwingnotch
