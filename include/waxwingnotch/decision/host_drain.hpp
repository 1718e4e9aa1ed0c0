/// @file
/// Decides when the runs that are left on a host are stopped, and when the host may be maintained or moved.
///
/// The order to a host ends its worker at once, together with the ends that the worker has listed and whose
/// answer has not arrived. The platform counts such an end as noted, and the task would run again. So a host
/// is taken only once its worker has nothing to list that the owner of its pool has not stored: the worker is
/// closed to new work, what still runs there is stopped, and the order follows when all ends are stored.
#pragma once

#include <cstddef>
#include <cstdint>

namespace waxwingnotch {

/// What the owner of a pool knows of a worker whose host is to be taken.
struct drain_state {
    bool known = false;
    std::size_t runs = 0;   // active on the worker
    bool serving = false;   // some are long-running and are not being stopped
    bool unstored = false;  // it has listed ends that are not in the store yet and would be lost with it
    std::int64_t stopping_ms = 0;  // since its runs were told to stop; 0: they were not

    bool empty() const { return runs == 0 && !unstored; }
};

/// What becomes of the short runs on a worker that is closed to new work.
enum class leftover_runs : std::uint8_t {
    keep,  // they may end by themselves
    stop,
};

/// @param draining_ms for how long the worker has been closed to new work
/// @param remaining_ms until the deadline of the wave; negative: the wave is late
/// @return what becomes of the short runs that are left on the worker
leftover_runs choose_leftover(std::int64_t draining_ms, std::int64_t remaining_ms);

/// @return whether the order to the host may be given. Long-running tasks and ends that are not stored hold
///         it up without a limit, other runs until their stops have had time to be listed and stored.
bool may_take_host(const drain_state& state);

}  // namespace waxwingnotch
