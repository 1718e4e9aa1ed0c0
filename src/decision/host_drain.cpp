#include "waxwingnotch/decision/host_drain.hpp"

namespace waxwingnotch {

namespace {

// A stop takes 0.2 to 0.9 s, so the order follows 2.2 to 3 s after the host was closed.
constexpr std::int64_t drain_timeout_ms = 2'000;
// A wave should end half a second before its deadline; the rest is for the stops and the append of their
// ends.
constexpr std::int64_t wave_deadline_margin_ms = 1'500;
// The owner gives up the runs of a silent worker after 4.3 s, when its leases of 4 s have lapsed on a clock
// that is 2 % slow. This is longer, so it holds only for a worker that answers and does not stop its runs,
// and for one that has never answered a new owner, whose leases count as 8 s long.
constexpr std::int64_t stop_limit_ms = 5'000;

}  // namespace

leftover_runs choose_leftover(std::int64_t draining_ms, std::int64_t remaining_ms)
{
    const bool due = draining_ms > drain_timeout_ms || remaining_ms < wave_deadline_margin_ms;
    return due ? leftover_runs::stop : leftover_runs::keep;
}

bool may_take_host(const drain_state& state)
{
    if (state.unstored || state.serving) {
        return false;
    }
    return state.runs == 0 || state.stopping_ms > stop_limit_ms;
}

}  // namespace waxwingnotch
