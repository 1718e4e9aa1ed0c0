/// @file
/// Hosts that each pool keeps ready for its next burst of demand.
///
/// Load pattern: a queue needs several times its mean for a few seconds, one queue after the other. A host
/// that comes from the standby pool takes its first task about two seconds after the burst began, when
/// most of the jobs that arrived first have missed their objective. Pools therefore keep the hosts that
/// their latest burst needed. Until a pool has been observed for a while, the operator's assignment is
/// the best estimate of that.
///
///     burst_reserve reserve;
///     reserve.assign("labels", 120, now);        // hosts at the first survey
///     reserve.observe("labels", needed, now);    // each survey
///     const std::map<std::string, std::uint32_t> kept = reserve.hosts(now);
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace waxwingnotch {

class burst_reserve {
public:
    struct options {
        std::int64_t memory_ms = 60'000;  // a burst is expected again within this time
    };

    burst_reserve() = default;
    explicit burst_reserve(options options) : options_(options) {}

    // Input
    /// Hosts that the operator has assigned to a pool. Further calls for the same pool have no effect.
    void assign(const std::string& pool, std::uint32_t hosts, std::int64_t now_ms);
    /// Hosts that the pool's running work needs now.
    void observe(const std::string& pool, std::uint32_t needed, std::int64_t now_ms);

    // Output
    /// @return hosts to keep by pool; together at most as many as the operator has assigned to these pools
    std::map<std::string, std::uint32_t> hosts(std::int64_t now_ms) const;

private:
    struct pool_peak {
        std::uint32_t assigned = 0;
        std::int64_t assigned_ms = 0;
        std::uint32_t peak = 0;  // most hosts needed at once since `memory_ms` ago
        std::int64_t peak_ms = 0;
    };

    std::uint32_t expected(const pool_peak& pool, std::int64_t now_ms) const;

    options options_;
    std::map<std::string, pool_peak> pools_;
};

}  // namespace waxwingnotch
