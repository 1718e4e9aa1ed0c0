#include "waxwingnotch/shard/shard_group.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"
#include "waxwingnotch/decision/owner_choice.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace waxwingnotch {

namespace {

constexpr std::int64_t min_owners_interval_ms = 50;  // between polls of the owners
// A partition that is taken again within one generation needs a higher epoch than before.
constexpr std::int64_t epochs_per_generation = 1'000;
constexpr std::int64_t join_retry_ms = 150;  // after a join that failed

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

/// @return 0 if the name does not contain it
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
    if (options_.processor_milli < options_.immediate_join_milli) {
        role_ = role::reserve;
    }
    notify_role();
    join();
    refresh_owners();
    owners_timer_ = loop_.every(options_.owners_interval_ms, [this] { refresh_owners(); });
    check_timer_ = loop_.every(options_.check_interval_ms, [this] { check_limits(); });
}

void shard_group::join()
{
    // An answer that arrives after that of a later join would bring an earlier generation back.
    if (role_ != role::member || join_pending_) {
        return;
    }
    join_pending_ = true;
    const std::int64_t sent = monotonic_ms();
    const join_request request{.group = options_.group,
                               .member = member_,
                               .topic = options_.topic,
                               .ttl_ms = options_.ttl_ms,
                               .generation = generation_};
    store_.join(request, [this, sent, alive = alive_](const join_result& answer) {
        if (*alive) {
            join_pending_ = false;
            on_join(answer, sent);
        }
    });
}

void shard_group::on_join(const join_result& answer, std::int64_t sent_ms)
{
    if (role_ != role::member) {
        return;
    }
    if (answer.status != store_status::ok) {
        check_limits();
        join_timer_ = loop_.after(join_retry_ms, [this] { join(); });
        return;
    }
    last_contact_ms_ = monotonic_ms();
    const bool lapsed = sent_ms - last_join_ms_ > options_.ttl_ms;
    last_join_ms_ = sent_ms;
    const bool changed = generation_ != answer.generation;
    generation_ = answer.generation;
    const std::set<int> assigned(answer.partitions.begin(), answer.partitions.end());
    const std::set<int> before = owned_;
    const std::shared_ptr<bool> alive = alive_;
    bool released = false;
    for (const int partition : before) {
        if (!assigned.contains(partition) && owned_.erase(partition) > 0) {
            released = true;
            log_event(log_level::info, "shard_revoked", {{"shard", partition}, {"generation", generation_}});
            handlers_.lost(partition);
        }
    }
    for (const int partition : assigned) {
        if (*alive && changed && lapsed && owned_.contains(partition) && handlers_.confirm) {
            handlers_.confirm(partition);
        }
        if (!*alive || owned_.contains(partition) || retake_is_delayed(partition)) {
            continue;
        }
        const std::optional<std::int64_t> epoch = next_epoch(partition);
        if (!epoch) {
            leave_for_new_generation(partition);
            return;
        }
        owned_.insert(partition);
        epochs_[partition] = *epoch;
        log_event(log_level::info, "shard_assigned",
                  {{"shard", partition}, {"generation", generation_}, {"epoch", *epoch}});
        handlers_.gained(partition, *epoch);
    }
    if (!*alive) {
        return;
    }
    if (changed) {
        refresh_owners();
    }
    // The store assigns a released partition to another member only after this node's next join.
    join_timer_ = loop_.after(released ? 1 : options_.join_interval_ms, [this] { join(); });
}

/// Releases the partitions when the store has not accepted a join for too long. A timer checks it as well,
/// since a join without an answer is open for as long as it takes to fail.
void shard_group::check_limits()
{
    if (last_join_ms_ == 0 || owned_.empty()) {
        return;
    }
    const std::int64_t now = monotonic_ms();
    const std::int64_t contact = handlers_.last_peer_answer_ms ? handlers_.last_peer_answer_ms() : 0;
    const bool isolated = now - contact > options_.peer_contact_ms;
    const std::int64_t limit = isolated ? options_.isolated_keep_ms : options_.outage_keep_ms;
    if (now - last_join_ms_ > limit) {
        release_all(isolated ? "neither the store nor another node answers"
                             : "the store has been unreachable for too long");
        return;
    }
    if (now - last_join_ms_ >= options_.ask_after_ms) {
        ask_peers(now);
    }
    const bool ended = now > renew_until_ms();
    if (ended && !renewals_ended_) {
        log_event(log_level::warning, "renewals_end",
                  {{"shards", owned_.size()},
                   {"ownership_age_ms", now - last_join_ms_},
                   {"known_peers", handlers_.known_peers ? handlers_.known_peers().size() : 0},
                   {"without_store", peers_without_store_.size()}});
    }
    renewals_ended_ = ended;
}

void shard_group::ask_peers(std::int64_t now_ms)
{
    if (!handlers_.known_peers || !handlers_.ask_peer) {
        return;
    }
    for (const std::string& peer : handlers_.known_peers()) {
        handlers_.ask_peer(peer,
                           [this, peer, now_ms, alive = alive_](const std::optional<peer_report>& report) {
                               if (*alive) {
                                   on_report(peer, now_ms, report);
                               }
                           });
    }
}

/// @param sent_ms when the question was sent. What the peer takes over, it takes over later than that.
void shard_group::on_report(const std::string& peer, std::int64_t sent_ms,
                            const std::optional<peer_report>& report)
{
    if (!report) {
        return;
    }
    const bool owns_none_of_these =
        std::ranges::none_of(report->owned, [this](int partition) { return owned_.contains(partition); });
    if (owns_none_of_these && report->store_silent_ms >= options_.store_missed_ms) {
        std::int64_t& latest = peers_without_store_[peer];
        latest = std::max(latest, sent_ms);
        return;
    }
    peers_without_store_.erase(peer);
}

std::int64_t shard_group::renew_until_ms() const
{
    const std::int64_t own_ms = last_join_ms_ + options_.isolated_keep_ms;
    const std::vector<std::string> known =
        handlers_.known_peers ? handlers_.known_peers() : std::vector<std::string>();
    if (known.empty()) {
        return own_ms;
    }
    std::int64_t peers_ms = last_join_ms_ + options_.outage_keep_ms;
    for (const std::string& peer : known) {
        const auto found = peers_without_store_.find(peer);
        const std::int64_t said_ms = found == peers_without_store_.end() ? 0 : found->second;
        peers_ms = std::min(peers_ms, said_ms + options_.isolated_keep_ms);
    }
    return std::max(own_ms, peers_ms);
}

shard_group::peer_report shard_group::report() const
{
    return {.store_silent_ms = monotonic_ms() - last_contact_ms_, .owned = owned_};
}

/// With an epoch that this node had before, the store takes the first appends of the new owner for repeats of
/// earlier ones: it answers them as stored and drops their records.
/// @return nothing if the generation has no higher epoch left
std::optional<std::int64_t> shard_group::next_epoch(int partition) const
{
    const std::int64_t first = generation_ * epochs_per_generation;
    const auto used = epochs_.find(partition);
    if (used == epochs_.end() || used->second < first) {
        return first;
    }
    const std::int64_t next = used->second + 1;
    return next < first + epochs_per_generation ? std::optional(next) : std::nullopt;
}

/// Epochs of the next generation may be another node's, so this one leaves, which raises the generation.
void shard_group::leave_for_new_generation(int partition)
{
    log_event(log_level::error, "group_rejoin",
              {{"shard", partition}, {"generation", generation_}, {"reason", "no epoch is left"}});
    release_all("this node rejoins the group for a new generation");
    store_.leave(options_.group, member_, [this, alive = alive_] {
        if (*alive) {
            join_timer_ = loop_.after(join_retry_ms, [this] { join(); });
        }
    });
}

void shard_group::release_all(const char* reason)
{
    const std::set<int> before = std::exchange(owned_, {});
    for (const int partition : before) {
        log_event(log_level::warning, "shard_revoked", {{"shard", partition}, {"reason", reason}});
        handlers_.lost(partition);
    }
}

void shard_group::release(int partition)
{
    if (owned_.erase(partition) == 0) {
        return;
    }
    retake& next = retakes_[partition];
    const std::int64_t now = monotonic_ms();
    if (next.generation != generation_ || now - next.earliest_ms > options_.retake_calm_ms) {
        next = {.generation = generation_, .earliest_ms = now};
        return;
    }
    next.delay_ms = next.delay_ms == 0 ? options_.retake_delay_ms
                                       : std::min(2 * next.delay_ms, options_.max_retake_delay_ms);
    next.earliest_ms = now + next.delay_ms;
    log_event(log_level::warning, "shard_retake",
              {{"shard", partition}, {"generation", generation_}, {"delay_ms", next.delay_ms}});
}

bool shard_group::retake_is_delayed(int partition) const
{
    const auto found = retakes_.find(partition);
    return found != retakes_.end() && found->second.generation == generation_ &&
           monotonic_ms() < found->second.earliest_ms;
}

void shard_group::leave()
{
    if (std::exchange(role_, role::left) != role::member) {
        return;  // a reserve owns no partitions that others could take over
    }
    release_all("this node is shutting down");
    store_.leave(options_.group, member_, [this, alive = alive_] {
        if (*alive && handlers_.left) {
            handlers_.left();
        }
    });
}

void shard_group::join_now()
{
    join();
}

void shard_group::refresh_owners()
{
    const std::int64_t now = monotonic_ms();
    if (owners_pending_ || now - last_owners_ms_ < min_owners_interval_ms) {
        return;
    }
    owners_pending_ = true;
    last_owners_ms_ = now;
    store_.owners(options_.group, [this, alive = alive_](const owners_result& answer) {
        if (!*alive) {
            return;
        }
        owners_pending_ = false;
        if (answer.status == store_status::ok) {
            last_contact_ms_ = monotonic_ms();
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

/// Changes between member and reserve. The owners must call for the change for `role_change_delay_ms`, since
/// they change within a second while nodes start or take over.
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
        role_change_since_ms_ = 0;
        return;
    }
    role_change_since_ms_ = role_change_since_ms_ == 0 ? now : role_change_since_ms_;
    if (now - role_change_since_ms_ < options_.role_change_delay_ms) {
        return;
    }
    role_change_since_ms_ = 0;
    log_event(log_level::info, "group_role",
              {{"role", own ? "member" : "reserve"},
               {"processor_milli", options_.processor_milli},
               {"other_owners", owners.size()},
               {"owned", owned},
               {"partitions", options_.partitions}});
    if (own) {
        role_ = role::member;
        notify_role();
        join();
        return;
    }
    become_reserve();
    notify_role();
}

void shard_group::notify_role()
{
    if (handlers_.role_changed) {
        handlers_.role_changed(reserve());
    }
}

void shard_group::become_reserve()
{
    role_ = role::reserve;
    join_timer_.cancel();
    release_all("larger hosts own the shards");
    store_.leave(options_.group, member_, [] {});
}

std::string shard_group::owner_of(int partition) const
{
    if (owned_.contains(partition)) {
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
