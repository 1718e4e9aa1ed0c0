/// Leases of workers: how long they last on the slowest clock, and in which process of a worker.
#include "shard/core_parts.hpp"

#include <algorithm>

namespace waxwingnotch {

namespace {

constexpr std::int64_t lease_margin_ms = 150;  // delivery of an order and late timers
// A call may be executed seconds after it was sent; a process that has not seen this owner's token obeys it.
constexpr std::int64_t late_order_ms = 6'000;
// From the start of a worker's process until an owner has reached it, and the difference between the times of
// day of two hosts.
constexpr std::int64_t first_contact_ms = 5'000;

/// @return time after which a lease has lapsed even on the slowest clock, with its delivery
std::int64_t longest_ms(std::int64_t lease_ms)
{
    return static_cast<std::int64_t>(static_cast<double>(lease_ms) / min_clock_rate) + lease_margin_ms;
}

}  // namespace

/// @return time by which a lease that is renewed now has lapsed, even on the slowest clock
std::int64_t shard_core::latest_lease_end(std::int64_t now_ms) const
{
    return now_ms + longest_ms(options_.lease_ms);
}

/// @return time by which a lease that a worker grants now has lapsed, whatever the order said and
///         whichever of its processes has taken it
std::int64_t shard_core::latest_granted_end(std::int64_t now_ms) const
{
    return now_ms + longest_ms(std::max(options_.lease_ms, options_.max_lease_ms));
}

/// @return time by which the leases of the runs have lapsed that a previous owner has seen in lists
std::int64_t shard_core::inherited_lease_end(std::int64_t now_ms) const
{
    return latest_lease_end(now_ms + options_.previous_renewals_ms);
}

/// @return time by which the lease of a run on a silent worker has lapsed. A run that no list has shown may
///         be one of a later process, by an order that was meant for the one before.
std::int64_t shard_core::lease_end_of(const run_entry& run) const
{
    const worker_state& worker = *run.worker;
    const bool old = worker.restarts == 0 && !young(run.life_ms, loaded_ms_);
    const bool certain = run.life_ms != 0 && (worker.synced || old);
    if (certain || worker.lease_ordered_ms == 0) {
        return worker.lease_end_ms;
    }
    const bool late = run.life_ms == 0 || worker.restarts > 0;
    return std::max(worker.lease_end_ms,
                    latest_granted_end(worker.lease_ordered_ms + (late ? late_order_ms : 0)));
}

/// Whether a process of a worker may have taken orders lately that were meant for the process before it.
/// @param started_ms start of the process, time of day @param at_ms steady time of the question
bool shard_core::young(std::int64_t started_ms, std::int64_t at_ms) const
{
    const std::int64_t age_ms = at_ms + wall_offset_ms_ - started_ms;
    return !first_owner_ && started_ms != 0 && age_ms < latest_granted_end(0) + first_contact_ms;
}

void shard_core::on_previous_owner_gone(std::int64_t now_ms)
{
    const std::int64_t end_ms = latest_lease_end(now_ms);
    for (auto& [id, worker] : workers_) {
        if (worker->clock_ms < 0) {
            worker->lease_end_ms = std::min(worker->lease_end_ms, end_ms);
            worker->lease_ordered_ms = std::min(worker->lease_ordered_ms, now_ms);
        }
    }
}

void shard_core::on_first_owner(std::int64_t now_ms)
{
    first_owner_ = true;
    for (auto& [id, worker] : workers_) {
        if (worker->clock_ms < 0) {
            worker->lease_end_ms = now_ms;
            worker->lease_ordered_ms = 0;
        }
    }
}

/// A previous owner may have ordered leases from @p worker until some time after the takeover.
void shard_core::assume_inherited_leases(worker_state& worker, std::int64_t now_ms) const
{
    worker.lease_end_ms = inherited_lease_end(now_ms);
    worker.lease_ordered_ms = now_ms + options_.previous_renewals_ms;
}

/// Records a lease renewal by an order that is sent now. @return end of the lease on the worker's clock
std::int64_t shard_core::renew_lease(worker_state& worker, std::int64_t now_ms)
{
    const std::int64_t until = worker.clock_ms + (now_ms - worker.clock_at_ms) + options_.lease_ms;
    worker.lease_end_ms =
        std::max(worker.lease_end_ms, worker.clock_at_ms + longest_ms(until - worker.clock_ms));
    worker.lease_ordered_ms = now_ms;
    return until;
}

/// Notes which process of the worker runs the task: it may be a later one than the start was meant for.
void shard_core::note_life(run_entry& run)
{
    const std::int64_t life_ms = run.worker->entry.started_ms;
    if (life_ms == 0 || run.life_ms == life_ms) {
        return;
    }
    run.life_ms = life_ms;
    for (active_run& active : run.occurrence->task(run.step, run.index).runs) {
        if (active.number != run.number) {
            continue;
        }
        // A task that waits for its worker's registration needs no record of its own for that.
        const bool store = active.worker.started_ms != life_ms ||
                           (!active.listed && run.occurrence->step(run.step).long_running);
        active.worker.started_ms = life_ms;
        active.listed = true;
        if (store) {
            mark_changed(*run.occurrence, run.step, run.index);
        }
    }
}

}  // namespace waxwingnotch
