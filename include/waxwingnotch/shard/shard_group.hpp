/// @file
/// Which entry node owns which shard. The store shares out the partitions among the members of a
/// group; a member that stops sending loses its share.
#pragma once

#include "waxwingnotch/net/event_loop.hpp"
#include "waxwingnotch/store/store.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
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
        std::int64_t start_ms = 0;    // of this process; tells its lives apart
        int partitions = 1;           // of the topic
        int processor_milli = 1'000;  // processor share of this host, thousandths of a core
        // A host below this waits and sees whether larger ones own everything; a host of the usual size
        // joins at once, since waiting would delay the recovery of a fleet of equals.
        int join_at_once_milli = 200;
        std::int64_t reserve_ms = 1'000;  // how long the owners must call for a change before this node acts
        std::int64_t ttl_ms = 1'500;      // a member that is silent for so long is gone
        std::int64_t beat_ms = 150;       // between joins; a partition that is given up waits so long
        std::int64_t look_ms = 1'000;     // between looks at the other owners
        // Without the store, a share is kept for `isolated_ms`. While other nodes answer that they do
        // not reach the store either, nobody can take it over, and it is kept for `outage_ms`.
        std::int64_t isolated_ms = 3'000;
        std::int64_t outage_ms = 12'000;
        std::int64_t contact_ms = 2'000;  // an answer of a peer counts for so long
    };
    struct handlers {
        std::function<void(int partition, std::int64_t epoch)> gained;
        std::function<void(int partition)> lost;
        std::function<void()> owners_changed;
        std::function<void()> left;  // the store has taken this node's leaving; may be null
        std::function<void(bool reserve)> role_changed;  // also at the start; may be null
        std::function<std::int64_t()> last_peer_ms;  // last answer of another node, monotonic; may be null
    };

    shard_group(event_loop& loop, log_store& store, options options, handlers handlers);
    ~shard_group();
    shard_group(const shard_group&) = delete;
    shard_group& operator=(const shard_group&) = delete;
    shard_group(shard_group&&) = delete;
    shard_group& operator=(shard_group&&) = delete;

    void start();
    /// Gives everything up at once, so that others need not wait.
    void leave();
    /// Gives up one partition that another owner has taken; the store may deal it again.
    void drop(int partition);
    /// Joins at once, unless this node is a reserve: another node has given partitions up.
    void join_now();
    /// Asks the store for the owners now, at most once per 50 ms.
    void look();

    /// @return the internal address of the owner, or empty
    std::string owner_of(int partition) const;
    /// Internal addresses of all owners but this node.
    std::vector<std::string> peers() const;
    bool left() const { return role_ == role::left; }
    /// Stays out of the group because larger hosts own everything.
    bool reserve() const { return role_ == role::reserve; }

private:
    enum class role { member, reserve, left };

    void beat();
    void on_owners(const owners_result& answer);
    void review_role(const std::map<std::string, int>& owners, int owned);
    void become_reserve();
    void tell_role();
    void on_join(const join_result& answer, std::int64_t sent_ms);
    void give_up_all(const char* reason);

    event_loop& loop_;
    log_store& store_;
    options options_;
    handlers handlers_;
    std::string member_;
    std::int64_t generation_ = 0;
    std::int64_t valid_ms_ = 0;  // last join that was answered left then
    std::set<int> mine_;
    std::map<int, std::int64_t> drops_;  // of this process, by partition
    std::map<int, std::string> owners_;
    std::int64_t last_look_ms_ = 0;
    bool looking_ = false;
    role role_ = role::member;
    std::int64_t review_since_ms_ = 0;  // the owners call for another role since; 0: they do not
    bool joining_ = false;              // a join is under way
    timer beat_;
    timer look_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace waxwingnotch
