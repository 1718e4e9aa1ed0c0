#include "waxwingnotch/base/clock.hpp"

#include <chrono>

namespace waxwingnotch {

namespace {
template <class Clock>
std::int64_t now_ms()
{
    using std::chrono::duration_cast;
    return duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch()).count();
}
}  // namespace

std::int64_t wall_ms()
{
    return now_ms<std::chrono::system_clock>();
}

std::int64_t monotonic_ms()
{
    return now_ms<std::chrono::steady_clock>();
}

}  // namespace waxwingnotch
