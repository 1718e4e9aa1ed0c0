#include "waxwingnotch/decision/pool_balance.hpp"

#include <algorithm>
#include <cmath>

namespace waxwingnotch {

namespace {

/// A pool while a plan is made.
struct pool_view {
    const balance_pool* pool = nullptr;
    std::uint32_t have = 0;
    std::uint32_t need = 0;
    std::uint32_t keep = 0;
    std::vector<const balance_host*> idle;  // movable idle hosts

    bool can_donate(const balance_policy& policy) const
    {
        const auto kept_reserve = static_cast<std::uint32_t>(pool->reserve * policy.kept_reserve);
        return !idle.empty() &&
               (pool->standby || have > std::max({need, policy.min_pool_hosts, kept_reserve}));
    }
    /// Whether the pool has had more hosts than it keeps for @p delay_ms.
    bool has_surplus(std::int64_t delay_ms) const
    {
        return !pool->standby && pool->surplus_ms >= delay_ms && !idle.empty() && have > keep;
    }
    std::int64_t surplus() const { return static_cast<std::int64_t>(have) - keep; }
};

std::vector<pool_view> make_views(std::span<const balance_pool> pools, std::span<const balance_host> hosts,
                                  const balance_policy& policy)
{
    std::vector<pool_view> views;
    for (const balance_pool& pool : pools) {
        pool_view view;
        view.pool = &pool;
        view.have = pool.arriving;
        resources mean;
        std::uint32_t count = 0;
        for (const balance_host& host : hosts) {
            mean.cpu_milli += host.capacity.cpu_milli;
            mean.memory_mb += host.capacity.memory_mb;
            ++count;
            if (host.pool != pool.name) {
                continue;
            }
            ++view.have;
            if (host.idle && host.movable) {
                view.idle.push_back(&host);
            }
        }
        if (!pool.standby && count > 0) {
            mean.cpu_milli /= count;
            mean.memory_mb /= count;
            view.need = hosts_needed(pool, mean, policy);
            view.keep = hosts_kept(pool, mean, policy);
        }
        views.push_back(std::move(view));
    }
    return views;
}

/// @return the pool to take a host from: standby first, then the pool with the largest surplus; null if none
pool_view* choose_donor(std::vector<pool_view>& views, const pool_view& receiver,
                        const balance_policy& policy)
{
    pool_view* best = nullptr;
    for (pool_view& view : views) {
        if (&view == &receiver || !view.can_donate(policy)) {
            continue;
        }
        if (view.pool->standby) {
            return &view;
        }
        if (best == nullptr || view.surplus() > best->surplus()) {
            best = &view;
        }
    }
    return best;
}

/// @param wanted member with the number of hosts that a pool should have
/// @return the pool that lacks most in proportion; null if none lacks any
pool_view* most_short(std::vector<pool_view>& views, std::uint32_t pool_view::*wanted)
{
    pool_view* shortest = nullptr;
    for (pool_view& view : views) {
        const bool shorter =
            shortest == nullptr || view.*wanted * shortest->have > shortest->*wanted * view.have;
        if (view.*wanted > view.have && shorter) {
            shortest = &view;
        }
    }
    return shortest;
}

void move_one(pool_view& from, pool_view& to, std::vector<pool_move>& moves)
{
    const balance_host* host = from.idle.back();
    from.idle.pop_back();
    moves.push_back({host->name, from.pool->name, to.pool->name, to.need, to.have});
    --from.have;
    ++to.have;
}

}  // namespace

std::uint32_t hosts_needed(const balance_pool& pool, const resources& host, const balance_policy& policy)
{
    const double waiting_milli =
        static_cast<double>(pool.waiting_cpu_ms) * 1'000.0 / static_cast<double>(policy.horizon_ms);
    const double by_cpu = (static_cast<double>(pool.running_cpu_milli) + waiting_milli) /
                          static_cast<double>(std::max<std::int64_t>(host.cpu_milli, 1));
    const double by_memory =
        host.memory_mb > 0 ? static_cast<double>(pool.running_memory_mb) / static_cast<double>(host.memory_mb)
                           : 0.0;
    const auto by_size =
        static_cast<std::uint32_t>(std::ceil(std::max(by_cpu, by_memory) * policy.capacity_factor));
    return std::max(by_size, pool.min_hosts);
}

std::uint32_t hosts_kept(const balance_pool& pool, const resources& host, const balance_policy& policy)
{
    return std::max({hosts_needed(pool, host, policy), pool.reserve, policy.min_pool_hosts});
}

std::vector<pool_move> balance_pools(std::span<const balance_pool> pools, std::span<const balance_host> hosts,
                                     const balance_policy& policy)
{
    std::vector<pool_view> views = make_views(pools, hosts, policy);
    std::vector<pool_move> moves;
    while (moves.size() < policy.max_moves) {
        pool_view* receiver = most_short(views, &pool_view::need);
        pool_view* donor = receiver == nullptr ? nullptr : choose_donor(views, *receiver, policy);
        if (donor == nullptr) {
            break;
        }
        move_one(*donor, *receiver, moves);
    }
    const auto standby =
        std::find_if(views.begin(), views.end(), [](const pool_view& view) { return view.pool->standby; });
    for (pool_view& view : views) {
        while (view.has_surplus(policy.return_delay_ms) && moves.size() < policy.max_moves) {
            pool_view* receiver = most_short(views, &pool_view::keep);
            if (receiver == nullptr) {
                break;
            }
            move_one(view, *receiver, moves);
        }
        while (standby != views.end() && view.has_surplus(policy.surplus_delay_ms) &&
               moves.size() < policy.max_moves) {
            move_one(view, *standby, moves);
        }
    }
    return moves;
}

}  // namespace waxwingnotch
