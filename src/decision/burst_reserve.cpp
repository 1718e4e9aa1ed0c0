#include "waxwingnotch/decision/burst_reserve.hpp"

#include <algorithm>

namespace waxwingnotch {

void burst_reserve::assign(const std::string& pool, std::uint32_t hosts, std::int64_t now_ms)
{
    const auto [slot, added] = pools_.try_emplace(pool);
    if (added) {
        slot->second.assigned = hosts;
        slot->second.assigned_ms = now_ms;
    }
}

void burst_reserve::observe(const std::string& pool, std::uint32_t needed, std::int64_t now_ms)
{
    pool_peak& entry = pools_[pool];
    if (needed >= entry.peak || now_ms - entry.peak_ms > options_.memory_ms) {
        entry.peak = needed;
        entry.peak_ms = now_ms;
    }
}

std::uint32_t burst_reserve::expected(const pool_peak& pool, std::int64_t now_ms) const
{
    const bool observed_long_enough = now_ms - pool.assigned_ms > options_.memory_ms;
    return observed_long_enough ? pool.peak : std::max(pool.peak, pool.assigned);
}

std::map<std::string, std::uint32_t> burst_reserve::hosts(std::int64_t now_ms) const
{
    std::uint64_t wanted = 0;
    std::uint64_t assigned = 0;
    for (const auto& [name, pool] : pools_) {
        wanted += expected(pool, now_ms);
        assigned += pool.assigned;
    }
    std::map<std::string, std::uint32_t> kept;
    for (const auto& [name, pool] : pools_) {
        const std::uint64_t share = expected(pool, now_ms);
        kept[name] = static_cast<std::uint32_t>(wanted > assigned ? share * assigned / wanted : share);
    }
    return kept;
}

}  // namespace waxwingnotch
