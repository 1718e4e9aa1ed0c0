#include "waxwingnotch/decision/placement.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <tuple>

namespace waxwingnotch {

namespace {

/// Where a replacement can come from, the best first.
enum class donor_kind {
    home,     // belongs to the pool and stands elsewhere; never has to move again
    surplus,  // stands in a pool that no longer needs it; saves its move home
    spare,    // from a spare pool
    headroom  // from a pool above its budget; only for a broken budget
};

constexpr std::array<const char*, 4> donor_names = {"home host", "no longer needed where it is", "spare",
                                                    "from a pool above its budget"};

/// A host that could be moved in, and its rank.
struct donor {
    const host_state* machine = nullptr;
    donor_kind kind = donor_kind::spare;
    bool moves_later = false;       // causes a move that is not needed otherwise
    bool unfit = false;             // smaller than the pool's smallest home host
    bool costs_target = false;      // its pool falls short of its target without it
    std::uint32_t headroom = 0;     // of its pool; larger is better
    std::uint32_t rack_losses = 0;  // hosts down in its rack: it may be the next
    std::uint32_t same_rack = 0;    // hosts of the pool in its rack
    std::uint32_t same_centre = 0;  // hosts of the pool in its data centre

    bool better_than(const donor& other) const
    {
        return std::tie(kind, costs_target, moves_later, unfit, other.headroom, rack_losses, same_rack,
                        same_centre, machine->spec.name) <
               std::tie(other.kind, other.costs_target, other.moves_later, other.unfit, headroom,
                        other.rack_losses, other.same_rack, other.same_centre, other.machine->spec.name);
    }
};

/// What a pool's hosts look like, to compare donors with.
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
        std::vector<const pool_capacity*> mine;
        for (const pool_capacity& item : index_.pools()) {
            if (pools.count(std::string(item.name)) > 0) {
                mine.push_back(&item);
            }
        }
        for (const pool_capacity* item : mine) {
            while (item->missing_for_budget() > 0 && restore_budget(*item, donor_kind::headroom)) {
            }
        }
        for (const pool_capacity* item : mine) {
            // Its own hosts need no second move, so they need not wait for those expected back.
            while (item->available < item->budget && restore_budget(*item, donor_kind::home)) {
            }
        }
        for (const pool_capacity* item : mine) {
            while (item->missing_for_target() > 0 && restore_target(*item)) {
            }
        }
        for (const pool_capacity* item : mine) {
            follow_inventory(*item);
            return_hosts(*item);
        }
        return std::move(plan_);
    }

    std::vector<host_record> lend(const pool_capacity& pool, const std::string& need)
    {
        replace(pool, false, need);
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

    /// @return what kind of donor a host is for @p pool, or none
    std::optional<donor_kind> kind_of(const host_state& machine, const pool_capacity& here,
                                      const pool_capacity& pool, bool budget_broken) const
    {
        const bool above_minimum = index_.spare_stock() > state_.promises.spare_min_hosts;
        if (machine.removed || !available(machine) || !index_.is_free(machine) ||
            !index_.may_leave(machine)) {
            return std::nullopt;
        }
        if (machine.spec.pool == pool.name && (here.spare || here.has_surplus() || budget_broken)) {
            return donor_kind::home;
        }
        if (index_.is_awaited(machine) && !budget_broken) {
            return std::nullopt;
        }
        if (surplus(machine, here)) {
            return donor_kind::surplus;
        }
        if (here.spare && (above_minimum || budget_broken)) {
            return donor_kind::spare;
        }
        return budget_broken && !here.spare ? std::optional(donor_kind::headroom) : std::nullopt;
    }

    donor rate(const host_state& machine, donor_kind kind, const pool_capacity& here,
               const pool_capacity& pool, const pool_shape& shape) const
    {
        donor item;
        item.machine = &machine;
        item.kind = kind;
        // Taking a host from its home costs its move back; one that is away has to move anyway.
        item.moves_later =
            kind == donor_kind::headroom ? machine.spec.pool == machine.pool : index_.is_awaited(machine);
        item.unfit =
            machine.spec.memory_gb < shape.memory_gb || machine.spec.accelerators < shape.accelerators;
        item.costs_target = here.available + here.returning + here.in_wave + here.held <= here.target;
        item.headroom = kind == donor_kind::headroom ? here.available - here.budget : 0;
        item.rack_losses = index_.lost_in_rack(machine.spec.rack);
        const std::string_view centre = index_.data_centre_of(machine.spec.rack);
        for (const host_state* other : pool.members) {
            if (!available(*other)) {
                continue;
            }
            item.same_rack += other->spec.rack == machine.spec.rack ? 1 : 0;
            item.same_centre += index_.data_centre_of(other->spec.rack) == centre ? 1 : 0;
        }
        return item;
    }

    /// Moves the best donor into @p pool.
    /// @param last kind of donor that may be taken
    /// @return false if there is none
    bool replace(const pool_capacity& pool, bool budget_broken, const std::string& need,
                 donor_kind last = donor_kind::headroom)
    {
        const pool_shape shape = shape_of(pool);
        std::optional<donor> best;
        std::optional<donor> second;
        std::size_t considered = 0;
        for (const pool_capacity& here : index_.pools()) {
            const bool gives =
                here.spare || here.has_surplus() || (budget_broken && here.available > here.budget);
            if (&here == &pool || !gives) {
                continue;
            }
            for (const host_state* machine : here.members) {
                const auto kind = kind_of(*machine, here, pool, budget_broken);
                if (!kind || *kind > last) {
                    continue;
                }
                ++considered;
                const donor item = rate(*machine, *kind, here, pool, shape);
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
        std::string beaten = describe(*best) + " of " + std::to_string(considered) + " hosts";
        beaten += second ? "; next " + describe(*second) : "; no other host may leave its pool";
        beaten += budget_broken ? "; waiting leaves the budget broken" : "; waiting leaves the pool short";
        move(*best->machine, pool.name, state_.rules_document, std::string(replacement_prefix) + need,
             std::move(beaten));
        return true;
    }

    std::string rules_name() const
    {
        return "rules version " + std::to_string(state_.rules_document.version);
    }

    bool restore_budget(const pool_capacity& pool, donor_kind last)
    {
        return replace(pool, true,
                       "pool " + std::string(pool.name) + " has " + std::to_string(pool.available) +
                           " hosts and " + rules_name() + " promise " + std::to_string(pool.budget),
                       last);
    }

    bool restore_target(const pool_capacity& pool)
    {
        return replace(pool, false,
                       "pool " + std::string(pool.name) + " has " + std::to_string(pool.available) +
                           " hosts, " + rules_name() + " restore " + std::to_string(pool.target) +
                           ", and a host stays lost");
    }

    // ---- Inventory ----

    std::string inventory_name() const
    {
        return "inventory version " + std::to_string(state_.inventory_document.version);
    }

    /// Makes room for a host to leave @p pool within its budget, if a spare is free for that.
    bool make_room(const host_state& machine, const pool_capacity& pool)
    {
        return index_.may_leave(machine) ||
               replace(pool, false,
                       "pool " + std::string(pool.name) + " is at its budget of " +
                           std::to_string(pool.budget) + ", and " + inventory_name() + " takes host " +
                           machine.spec.name + " away");
    }

    void drop_removed(const host_state& machine, const pool_capacity& pool)
    {
        const bool gone = machine.condition == host_condition::down;
        if (gone || machine.phase == host_phase::drained) {
            take_out(machine, host_action::remove,
                     std::string(gone ? "down" : "drained") + ", and " + inventory_name() +
                         " no longer lists it",
                     "keeping it in the record");
        }
        else if (machine.phase == host_phase::serving && make_room(machine, pool) &&
                 index_.may_leave(machine)) {
            take_out(machine, host_action::drain, inventory_name() + " no longer lists the host",
                     "waiting; the budget of " + std::to_string(pool.budget) + " holds without it");
        }
    }

    /// True if the inventory, and not a replacement, is why the host stands in the wrong pool.
    bool misplaced_by_inventory(const host_state& machine, const pool_capacity& here) const
    {
        const bool replacement = machine.reason.rfind(replacement_prefix, 0) == 0;
        return here.spare || (state_.inventory_document.offset > machine.changed_offset && !replacement);
    }

    void follow_inventory(const pool_capacity& pool)
    {
        for (const host_state* machine : pool.members) {
            if (!index_.is_free(*machine)) {
                continue;
            }
            if (machine->removed) {
                drop_removed(*machine, pool);
                continue;
            }
            const pool_capacity* home = index_.find(machine->spec.pool);
            if (home == nullptr || home == &pool || !available(*machine) ||
                !misplaced_by_inventory(*machine, pool)) {
                continue;
            }
            // Repair would fetch a spare again at once.
            const bool needed = home->spare && !pool.has_surplus();
            if (needed || !make_room(*machine, pool) || !index_.may_leave(*machine)) {
                continue;
            }
            move(*machine, home->name, state_.inventory_document,
                 inventory_name() + " gives the host to pool " + std::string(home->name),
                 "leaving it in " + std::string(pool.name) + ", whose budget holds without it");
        }
    }

    // ---- The way home ----

    void return_hosts(const pool_capacity& pool)
    {
        const std::int64_t patience = return_patience_ms(state_.promises);
        for (const host_state* machine : pool.members) {
            const pool_capacity* home = index_.find(machine->spec.pool);
            if (home == nullptr || home == &pool || machine->removed || !available(*machine) ||
                !index_.is_free(*machine) || !surplus(*machine, pool) || !index_.may_leave(*machine)) {
                continue;
            }
            const bool short_of_spares =
                home->spare && index_.spare_stock() < state_.promises.spare_min_hosts;
            const std::int64_t wait = short_of_spares ? state_.promises.repair_after_ms : patience;
            if (pool.quiet_since + wait > index_.now_ms()) {
                continue;
            }
            move(*machine, home->name, state_.rules_document,
                 "pool " + std::string(pool.name) + " has " + std::to_string(pool.available) + " of " +
                     std::to_string(pool.target) + " hosts, and nothing changed there for " +
                     std::to_string(wait / 1000) + " s",
                 "keeping it as buffer; by " + rules_name() + " a move is worth a wait of " +
                     std::to_string(patience / 1000) + " s");
        }
    }

    const fleet_state& state_;
    capacity_index& index_;
    std::vector<host_record> plan_;
};

}  // namespace

std::int64_t return_patience_ms(const rules& promises)
{
    // A host that stays is buffer as it would be in the spare pool, and can still be moved where it
    // is needed; what staying costs is counted as a 24th of a spare host. In 120 simulated days of
    // the examples, 1 h took 545 and 496 moves, 4 h 303 and 374, 24 h 251 and 373, at equal buffer.
    constexpr double day_ms = 24 * 3'600'000.0;
    const double longest = static_cast<double>(longest_patience_ms);
    const cost_weights& weights = promises.weights;
    const double days = weights.buffer > 0 ? weights.moves / weights.buffer : longest;
    const auto patience = static_cast<std::int64_t>(std::min(days * day_ms, longest));
    return std::clamp(patience, std::min(promises.repair_after_ms, longest_patience_ms), longest_patience_ms);
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
