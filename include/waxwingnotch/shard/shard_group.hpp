/// @file
/// Assignment of shards to entry nodes. The store distributes the partitions of a topic among the members
/// of a group; a member that stops joining loses its partitions.
#pragma once

#include "waxwingnotch/net/event_loop.hpp"
#include "waxwingnotch/store/store.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwingnotch {

class shard_group {
public:
    struct options {
        std::string group = "owners";
        std::string topic;
        std::string address;          // where other nodes reach this one
        std::int64_t start_ms = 0;    // start of this process; distinguishes it from earlier ones
        int partitions = 1;           // number of partitions of the topic
        int processor_milli = 1'000;  // processor share of this host, thousandths of a core
        // A host with a smaller processor share starts as a reserve and joins only if larger hosts do not
        // own all partitions. Other hosts join at once, since waiting would delay the recovery of a fleet
        // of equal hosts.
        int immediate_join_milli = 200;
        // The role changes only after the owners have called for the change for this long.
        std::int64_t role_change_delay_ms = 1'000;
        std::int64_t ttl_ms = 1'500;  // the store removes a member that has not joined for this long
        // Time between joins, and thus until another member takes over a released partition.
        std::int64_t join_interval_ms = 150;
        std::int64_t owners_interval_ms = 1'000;  // time between polls of the owners
        // How long this node keeps its partitions while the store is unreachable. `outage_keep_ms` applies
        // while other nodes answer; leases are renewed for that long only while renew_until_ms() allows it.
        std::int64_t isolated_keep_ms = 3'000;
        std::int64_t outage_keep_ms = 12'000;
        // A partition that other owners take from this node again and again within one generation is taken
        // back at the next join the first time, after this long the second time, and twice as long each time
        // after that. Two nodes that both hold a partition would otherwise fence each other at each join.
        std::int64_t retake_delay_ms = 200;
        std::int64_t max_retake_delay_ms = 3'000;
        // A partition that was not taken for this long counts as taken the first time: two nodes that both
        // hold it would take it from each other at least every `max_retake_delay_ms`.
        std::int64_t retake_calm_ms = 15'000;
        std::int64_t peer_contact_ms = 2'000;  // a node is isolated if no peer has answered it for this long
        std::int64_t check_interval_ms = 250;  // between checks of these limits
        // From this age of the latest join on, the peers are asked whether they reach the store.
        std::int64_t ask_after_ms = 1'000;
        // A peer misses the store if nothing has been answered to it for this long; longer than the owners'
        // polls, which are the only calls of a reserve to the group.
        std::int64_t store_missed_ms = 1'500;
    };
    /// What a node says about itself to a peer that does not reach the store.
    struct peer_report {
        std::int64_t store_silent_ms = 0;  // since the store has last answered it
        std::set<int> owned;               // its partitions
    };
    struct handlers {
        /// The epoch is higher than any that this node had for the partition before.
        std::function<void(int partition, std::int64_t epoch)> gained;
        std::function<void(int partition)> lost;
        std::function<void()> owners_changed;
        std::function<void()> left;                      // the store has confirmed leave(); may be null
        std::function<void(bool reserve)> role_changed;  // also called by start(); may be null
        // Monotonic time of a peer's last answer; may be null.
        std::function<std::int64_t()> last_peer_answer_ms;
        /// Internal addresses of the nodes that can take a partition over, as far as they are known here; may
        /// be null.
        std::function<std::vector<std::string>()> known_peers = nullptr;
        /// Asks a peer for its report(); @p done receives nothing without an answer. May be null.
        std::function<void(const std::string& address, std::function<void(std::optional<peer_report>)> done)>
            ask_peer = nullptr;
        /// The membership may have ended, and the partition may have had another owner since; may be null.
        std::function<void(int partition)> confirm = nullptr;
    };

    shard_group(event_loop& loop, log_store& store, options options, handlers handlers);
    ~shard_group();
    shard_group(const shard_group&) = delete;
    shard_group& operator=(const shard_group&) = delete;
    shard_group(shard_group&&) = delete;
    shard_group& operator=(shard_group&&) = delete;

    void start();
    /// Releases all partitions and leaves the group, so that other members need not wait for the ttl.
    void leave();
    /// Releases a partition that another owner has taken; the store may assign it to this node again, which
    /// then takes it with a higher epoch, later each time (see options::retake_delay_ms).
    void release(int partition);
    /// Joins at once, unless this node is a reserve. For use when another node has released partitions.
    void join_now();
    /// Requests the owners from the store, at most once per 50 ms.
    void refresh_owners();

    /// @return the internal address of the owner, or empty
    std::string owner_of(int partition) const;
    /// Internal addresses of all owners but this node.
    std::vector<std::string> peers() const;
    bool left() const { return role_ == role::left; }
    /// Monotonic time in ms at which the latest successful join was sent; 0: none yet.
    std::int64_t last_join_ms() const { return last_join_ms_; }
    /// @return monotonic time up to which leases may be renewed for the partitions of this node: a next owner
    ///         that cannot ask this one assumes that they were not renewed later than `isolated_keep_ms`
    ///         after its take-over
    std::int64_t renew_until_ms() const;
    /// What this node answers to peers that do not reach the store.
    peer_report report() const;
    /// Whether this node stays out of the group because larger hosts can own all partitions.
    bool reserve() const { return role_ == role::reserve; }

private:
    enum class role { member, reserve, left };
    /// A partition that other owners have taken from this node.
    struct retake {
        std::int64_t generation = 0;   // in which they have
        std::int64_t delay_ms = 0;     // the latest one; 0: taken once
        std::int64_t earliest_ms = 0;  // monotonic time; not taken back before. 0: was never taken
    };

    void join();
    void check_limits();
    void ask_peers(std::int64_t now_ms);
    void on_report(const std::string& peer, std::int64_t sent_ms, const std::optional<peer_report>& report);
    void on_owners(const owners_result& answer);
    void review_role(const std::map<std::string, int>& owners, int owned);
    void become_reserve();
    void notify_role();
    void on_join(const join_result& answer, std::int64_t sent_ms);
    std::optional<std::int64_t> next_epoch(int partition) const;
    void leave_for_new_generation(int partition);
    void release_all(const char* reason);
    bool retake_is_delayed(int partition) const;

    event_loop& loop_;
    log_store& store_;
    options options_;
    handlers handlers_;
    std::string member_;
    std::int64_t generation_ = 0;
    std::int64_t last_join_ms_ = 0;     // when the last successful join was sent
    bool renewals_ended_ = false;       // has been logged
    std::int64_t last_contact_ms_ = 0;  // when the store has last answered; 0: not yet
    // By peer: when the latest question was sent to which it has said that it has no partition of this node
    // and misses the store.
    std::map<std::string, std::int64_t> peers_without_store_;
    std::set<int> owned_;
    std::map<int, std::int64_t> epochs_;  // the latest epoch of each partition that this node has owned
    std::map<int, retake> retakes_;
    std::map<int, std::string> owners_;
    std::int64_t last_owners_ms_ = 0;
    bool owners_pending_ = false;
    role role_ = role::member;
    std::int64_t role_change_since_ms_ = 0;  // since when the owners call for another role; 0: they do not
    bool join_pending_ = false;              // a join is in flight
    timer join_timer_;
    timer owners_timer_;
    timer check_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace waxwingnotch
