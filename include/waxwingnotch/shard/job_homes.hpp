/// @file
/// Which shard stores the jobs of a path: its home.
///
/// The shard that runs a job follows from the service that the route of its path leads to, and routes change.
/// The home of a path does not: the first submission to it stores the shard of its service as the home, and
/// every later submission, question and cancel goes there. A home never changes, so that nodes keep what they
/// have read, and a request costs no call to the store once its path is known. The shards of the services
/// themselves are stored in the same way; see service_shards.hpp.
///
///     if (const job_home* home = homes.find(key)) ...
///     else homes.claim(key, {queue.service, shard}, [](store_status) { ... find() again ... });
#pragma once

#include "waxwingnotch/store/store.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwingnotch {

constexpr const char* homes_topic = "keyed.homes";  // homes by key of their path; one partition

/// The shard that stores the jobs of a path, and the service that the first of them ran under.
struct job_home {
    std::string service;
    int shard = 0;

    bool operator==(const job_home&) const = default;
};

class job_homes {
public:
    /// Receives `ok` if find() now tells what is stored, else why not.
    using handler = std::function<void(store_status)>;

    /// In a claim for a service: the shard is chosen when the claim is stored.
    static constexpr int no_shard = -1;

    /// @param shards number of shards to choose from, at least 1
    explicit job_homes(log_store& store, int shards = 1);
    ~job_homes();
    job_homes(const job_homes&) = delete;
    job_homes& operator=(const job_homes&) = delete;
    job_homes(job_homes&&) = delete;
    job_homes& operator=(job_homes&&) = delete;

    /// @return the key of the paths that consist of @p prefix and a job id, of the same length for all
    static std::string key_of(std::string_view host, std::string_view prefix);
    /// @return the key under which the shard of a service is stored
    static std::string service_key(std::string_view service);
    /// @return the key under which the home of a single job is stored. Only jobs that requests for their path
    ///         would not find have one: they were accepted by a version that did not store homes
    static std::string job_key(std::string_view id);
    /// @return the key under which the format of the store is stored, as the shard of no service
    static std::string format_key();
    /// @return the home, or null if this node knows none; valid until the next call
    const job_home* find(const std::string& key) const;
    /// @return shards by service, of all services that this node knows one of
    std::map<std::string, int> services() const;
    /// @return homes of single jobs, by id
    std::vector<std::pair<std::string, job_home>> jobs() const;
    /// @return whether a home of a path or of a service names @p service
    bool names(std::string_view service) const;
    /// Reads the home of @p key. A path without one had no jobs at @p since_ms (monotonic time).
    void look_up(const std::string& key, std::int64_t since_ms, handler done);
    /// Reads the home of @p key, and stores @p home as such if it has none. Of several claims for one path
    /// the first in the store wins.
    void claim(const std::string& key, job_home home, handler done);
    /// Claims several keys, as claim() does. @p done receives `ok` if all of them have a home now.
    void claim_all(std::span<const std::pair<std::string, job_home>> claims, handler done);
    /// Stores a shard for each of @p services that has none, with one append. That is the shard of a path
    /// whose first job ran under the service, if there is one, because its jobs are there; else the shard
    /// with the fewest services. @p done receives `ok` if all of them have a shard now.
    void claim_services(const std::vector<std::string>& services, handler done);

private:
    struct request {
        std::string key;
        std::optional<job_home> claimed;
        handler done;
    };

    void start();
    void read_page(const std::string& after);
    void read_changes();
    void on_read();
    void append_claims();
    std::map<std::string, job_home> choose_shards(const std::vector<std::string>& services) const;
    void finish(store_status status);
    void keep(const keyed_record& record);

    log_store& store_;
    int shards_;
    std::map<std::string, job_home> homes_;
    std::vector<request> waiting_;         // for the next read
    std::vector<request> active_;          // for the read or append in flight
    std::int64_t next_offset_ = -1;        // end of what was read; -1: nothing was read
    std::optional<std::int64_t> read_ms_;  // monotonic time when the latest complete read was sent
    std::int64_t sent_ms_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace waxwingnotch
