#include "waxwingnotch/decision/placement.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <tuple>

namespace waxwingnotch {

namespace {

/// Source of a replacement, best first.
enum class donor_kind {
    home,     // home host of the pool that is in another pool; needs no second move
    surplus,  // host away from its home pool that its current pool no longer needs; saves its move home
    spare,    // host of a spare pool
    headroom  // host of a pool above its budget; only for a broken budget
};

constexpr std::array<const char*, 4> donor_names = {"home host", "no longer needed where it is", "spare",
                                                    "from a pool above its budget"};

/// A host that could move into the pool, with the criteria of its rank.
struct donor {
    const host_state* machine = nullptr;
    donor_kind kind = donor_kind::spare;
    bool causes_later_move = false;      // causes another move that would not be needed otherwise
    bool undersized = false;             // smaller than the pool's smallest home host
    bool breaks_target = false;          // its pool misses its target without it
    std::uint32_t headroom = 0;          // hosts of its pool above the budget; larger is better
    std::uint32_t rack_losses = 0;       // hosts down in its rack; the rack may be failing
    std::uint32_t same_rack = 0;         // available hosts of the receiving pool in its rack
    std::uint32_t same_data_centre = 0;  // available hosts of the receiving pool in its data centre

    bool better_than(const donor& other) const
    {
        return std::tie(kind, breaks_target, causes_later_move, undersized, other.headroom, rack_losses,
                        same_rack, same_data_centre, machine->spec.name) <
               std::tie(other.kind, other.breaks_target, other.causes_later_move, other.undersized, headroom,
                        other.rack_losses, other.same_rack, other.same_data_centre, other.machine->spec.name);
    }
};

/// Smallest memory and accelerator count of a pool's home hosts; donors are compared with it.
struct pool_shape {
    std::uint32_t memory_gb = UINT32_MAX;
    std::uint32_t accelerators = UINT32_MAX;
};

std::string describe(const donor& item)
{
    return item.machine->spec.name + " (" + donor_names.at(static_cast<std::size_t>(item.kind)) + ", rack " +
           item.machine->spec.rack + ", shared with " + std::to_string(item.same_rack) +
           " hosts of the pool)";
}

/// One plan under construction.
class planner {
public:
    explicit planner(capacity_index& index) : state_(index.state()), index_(index) {}

    std::vector<host_record> run(const std::set<std::string>& pools)
    {
        std::vector<const pool_capacity*> planned_pools;
        for (const pool_capacity& item : index_.pools()) {
            if (pools.count(std::string(item.name)) > 0) {
                planned_pools.push_back(&item);
            }
        }
        for (const pool_capacity* item : planned_pools) {
            while (item->missing_for_budget() > 0 && restore_budget(*item, donor_kind::headroom)) {
            }
        }
        for (const pool_capacity* item : planned_pools) {
            // Home hosts need no second move, so they return without waiting for hosts that are expected
            // back.
            while (item->available < item->budget && restore_budget(*item, donor_kind::home)) {
            }
        }
        for (const pool_capacity* item : planned_pools) {
            while (item->missing_for_target() > 0 && restore_target(*item)) {
            }
        }
        for (const pool_capacity* item : planned_pools) {
            apply_inventory(*item);
            return_surplus_hosts(*item);
        }
        return std::move(plan_);
    }

    std::vector<host_record> lend(const pool_capacity& pool, const std::string& need)
    {
        add_replacement(pool, false, need);
        return std::move(plan_);
    }

private:
    host_record propose(const host_state& machine, host_action action, const document_state& asked_by,
                        std::string reason) const
    {
        host_record item;
        item.action = action;
        item.host = machine.spec.name;
        item.pool = machine.pool;
        item.epoch = machine.epoch;
        item.reason = std::move(reason);
        item.basis = {state_.inventory_document.version, state_.rules_document.version, asked_by.author};
        return item;
    }

    void move(const host_state& machine, std::string_view to_pool, const document_state& asked_by,
              std::string reason, std::string alternatives)
    {
        host_record item = propose(machine, host_action::move, asked_by, std::move(reason));
        item.to_pool = std::string(to_pool);
        item.alternatives = std::move(alternatives);
        plan_.push_back(std::move(item));
        index_.move(machine, to_pool);
    }

    void take_out(const host_state& machine, host_action action, std::string reason, std::string alternatives)
    {
        host_record item = propose(machine, action, state_.inventory_document, std::move(reason));
        item.alternatives = std::move(alternatives);
        plan_.push_back(std::move(item));
        index_.take_out(machine);
    }

    // ---- Replacements ----

    pool_shape shape_of(const pool_capacity& pool) const
    {
        pool_shape shape;
        for (const host_state* machine : pool.members) {
            if (machine->spec.pool == pool.name) {
                shape.memory_gb = std::min(shape.memory_gb, machine->spec.memory_gb);
                shape.accelerators = std::min(shape.accelerators, machine->spec.accelerators);
            }
        }
        return shape.memory_gb == UINT32_MAX ? pool_shape{0, 0} : shape;
    }

    bool surplus(const host_state& machine, const pool_capacity& here) const
    {
        return machine.spec.pool != machine.pool && !here.spare && here.has_surplus();
    }

    /// @return the host's donor kind for @p pool, or nullopt if it may not be taken
    std::optional<donor_kind> donor_kind_of(const host_state& machine, const pool_capacity& here,
                                            const pool_capacity& pool, bool budget_broken) const
    {
        const bool spares_above_minimum = index_.available_spares() > state_.rules_in_force.spare_min_hosts;
        if (machine.removed || !available(machine) || !index_.is_unplanned(machine) ||
            !index_.may_leave(machine)) {
            return std::nullopt;
        }
        if (machine.spec.pool == pool.name && (here.spare || here.has_surplus() || budget_broken)) {
            return donor_kind::home;
        }
        if (index_.is_away_from_home(machine) && !budget_broken) {
            return std::nullopt;
        }
        if (surplus(machine, here)) {
            return donor_kind::surplus;
        }
        if (here.spare && (spares_above_minimum || budget_broken)) {
            return donor_kind::spare;
        }
        return budget_broken && !here.spare ? std::optional(donor_kind::headroom) : std::nullopt;
    }

    donor rate_donor(const host_state& machine, donor_kind kind, const pool_capacity& here,
                     const pool_capacity& pool, const pool_shape& shape) const
    {
        donor item;
        item.machine = &machine;
        item.kind = kind;
        // A host taken from its home pool has to move back later; one that is away has to move anyway.
        item.causes_later_move = kind == donor_kind::headroom ? machine.spec.pool == machine.pool
                                                              : index_.is_away_from_home(machine);
        item.undersized =
            machine.spec.memory_gb < shape.memory_gb || machine.spec.accelerators < shape.accelerators;
        item.breaks_target = here.available + here.returning + here.in_wave + here.held <= here.target;
        item.headroom = kind == donor_kind::headroom ? here.available - here.budget : 0;
        item.rack_losses = index_.down_in_rack(machine.spec.rack);
        const std::string_view centre = index_.data_centre_of(machine.spec.rack);
        for (const host_state* other : pool.members) {
            if (!available(*other)) {
                continue;
            }
            item.same_rack += other->spec.rack == machine.spec.rack ? 1 : 0;
            item.same_data_centre += index_.data_centre_of(other->spec.rack) == centre ? 1 : 0;
        }
        return item;
    }

    /// Moves the best donor into @p pool.
    /// @param last last kind of donor, in the order of donor_kind, that may be taken
    /// @return false if there is no donor
    bool add_replacement(const pool_capacity& pool, bool budget_broken, const std::string& need,
                         donor_kind last = donor_kind::headroom)
    {
        const pool_shape shape = shape_of(pool);
        std::optional<donor> best;
        std::optional<donor> second;
        std::size_t candidates = 0;
        for (const pool_capacity& here : index_.pools()) {
            const bool can_donate =
                here.spare || here.has_surplus() || (budget_broken && here.available > here.budget);
            if (&here == &pool || !can_donate) {
                continue;
            }
            for (const host_state* machine : here.members) {
                const auto kind = donor_kind_of(*machine, here, pool, budget_broken);
                if (!kind || *kind > last) {
                    continue;
                }
                ++candidates;
                const donor item = rate_donor(*machine, *kind, here, pool, shape);
                if (!best || item.better_than(*best)) {
                    second = best;
                    best = item;
                }
                else if (!second || item.better_than(*second)) {
                    second = item;
                }
            }
        }
        if (!best) {
            return false;
        }
        std::string alternatives = describe(*best) + " of " + std::to_string(candidates) + " hosts";
        alternatives += second ? "; next " + describe(*second) : "; no other host may leave its pool";
        alternatives +=
            budget_broken ? "; waiting leaves the budget broken" : "; waiting leaves the pool short";
        move(*best->machine, pool.name, state_.rules_document, std::string(replacement_prefix) + need,
             std::move(alternatives));
        return true;
    }

    std::string rules_name() const
    {
        return "rules version " + std::to_string(state_.rules_document.version);
    }

    bool restore_budget(const pool_capacity& pool, donor_kind last)
    {
        return add_replacement(pool, true,
                               "pool " + std::string(pool.name) + " has " + std::to_string(pool.available) +
                                   " hosts and " + rules_name() + " promise " + std::to_string(pool.budget),
                               last);
    }

    bool restore_target(const pool_capacity& pool)
    {
        return add_replacement(pool, false,
                               "pool " + std::string(pool.name) + " has " + std::to_string(pool.available) +
                                   " hosts, " + rules_name() + " restore " + std::to_string(pool.target) +
                                   ", and a host stays lost");
    }

    // ---- Inventory ----

    std::string inventory_name() const
    {
        return "inventory version " + std::to_string(state_.inventory_document.version);
    }

    /// Ensures that a host can leave @p pool within its budget, with a replacement if necessary.
    /// @return false if there is no replacement
    bool make_room(const host_state& machine, const pool_capacity& pool)
    {
        return index_.may_leave(machine) ||
               add_replacement(pool, false,
                               "pool " + std::string(pool.name) + " is at its budget of " +
                                   std::to_string(pool.budget) + ", and " + inventory_name() +
                                   " takes host " + machine.spec.name + " away");
    }

    void drain_or_remove(const host_state& machine, const pool_capacity& pool)
    {
        const bool down = machine.condition == host_condition::down;
        if (down || machine.phase == host_phase::drained) {
            take_out(machine, host_action::remove,
                     std::string(down ? "down" : "drained") + ", and " + inventory_name() +
                         " no longer lists it",
                     "keeping it in the record");
        }
        else if (machine.phase == host_phase::serving && make_room(machine, pool) &&
                 index_.may_leave(machine)) {
            take_out(machine, host_action::drain, inventory_name() + " no longer lists the host",
                     "waiting; the budget of " + std::to_string(pool.budget) + " holds without it");
        }
    }

    /// True if the host is in the wrong pool because of the inventory, not because of a replacement.
    bool misplaced_by_inventory(const host_state& machine, const pool_capacity& here) const
    {
        const bool replacement = machine.reason.rfind(replacement_prefix, 0) == 0;
        return here.spare || (state_.inventory_document.offset > machine.changed_offset && !replacement);
    }

    void apply_inventory(const pool_capacity& pool)
    {
        for (const host_state* machine : pool.members) {
            if (!index_.is_unplanned(*machine)) {
                continue;
            }
            if (machine->removed) {
                drain_or_remove(*machine, pool);
                continue;
            }
            const pool_capacity* home = index_.find(machine->spec.pool);
            if (home == nullptr || home == &pool || !available(*machine) ||
                !misplaced_by_inventory(*machine, pool)) {
                continue;
            }
            // Without a surplus in the pool, repair would immediately move a spare back in.
            const bool needed = home->spare && !pool.has_surplus();
            if (needed || !make_room(*machine, pool) || !index_.may_leave(*machine)) {
                continue;
            }
            move(*machine, home->name, state_.inventory_document,
                 inventory_name() + " gives the host to pool " + std::string(home->name),
                 "leaving it in " + std::string(pool.name) + ", whose budget holds without it");
        }
    }

    // ---- Return to home pools ----

    void return_surplus_hosts(const pool_capacity& pool)
    {
        const std::int64_t delay_ms = return_delay_ms(state_.rules_in_force);
        for (const host_state* machine : pool.members) {
            const pool_capacity* home = index_.find(machine->spec.pool);
            if (home == nullptr || home == &pool || machine->removed || !available(*machine) ||
                !index_.is_unplanned(*machine) || !surplus(*machine, pool) || !index_.may_leave(*machine)) {
                continue;
            }
            const bool short_of_spares =
                home->spare && index_.available_spares() < state_.rules_in_force.spare_min_hosts;
            const std::int64_t required_ms =
                short_of_spares ? state_.rules_in_force.repair_after_ms : delay_ms;
            if (pool.last_change_at + required_ms > index_.now_ms()) {
                continue;
            }
            move(*machine, home->name, state_.rules_document,
                 "pool " + std::string(pool.name) + " has " + std::to_string(pool.available) + " of " +
                     std::to_string(pool.target) + " hosts, and nothing changed there for " +
                     std::to_string(required_ms / 1000) + " s",
                 "keeping it as buffer; by " + rules_name() + " a move is worth a wait of " +
                     std::to_string(delay_ms / 1000) + " s");
        }
    }

    const fleet_state& state_;
    capacity_index& index_;
    std::vector<host_record> plan_;
};

}  // namespace

std::int64_t return_delay_ms(const rules& rule_set)
{
    // A host that stays serves as buffer, as it would in the spare pool, and can still be moved to another
    // pool; the cost of its stay counts as a 24th of a spare host. In 120 simulated days of the examples,
    // 1 h took 545 and 496 moves, 4 h 303 and 374, 24 h 251 and 373, at equal buffer.
    constexpr double day_ms = 24 * 3'600'000.0;
    const double longest = static_cast<double>(max_return_delay_ms);
    const cost_weights& weights = rule_set.weights;
    const double days = weights.buffer > 0 ? weights.moves / weights.buffer : longest;
    const auto delay_ms = static_cast<std::int64_t>(std::min(days * day_ms, longest));
    return std::clamp(delay_ms, std::min(rule_set.repair_after_ms, max_return_delay_ms), max_return_delay_ms);
}

std::vector<host_record> plan_pools(const fleet_state& state, const std::set<std::string>& pools,
                                    std::int64_t now_ms)
{
    capacity_index index(state, now_ms);
    return planner(index).run(pools);
}

std::vector<host_record> lend_host(capacity_index& index, const pool_capacity& pool, const std::string& need)
{
    return planner(index).lend(pool, need);
}

}  // namespace waxwingnotch
