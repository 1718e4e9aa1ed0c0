#include "waxwingnotch/base/clock.hpp"

#include <chrono>
#include <ctime>

namespace waxwingnotch {

std::int64_t wall_ms()
{
    using std::chrono::duration_cast;
    return duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::int64_t monotonic_ms()
{
    using namespace std::chrono;
    // std::chrono::steady_clock stands still while the host is suspended.
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return duration_cast<milliseconds>(seconds(now.tv_sec) + nanoseconds(now.tv_nsec)).count();
}

}  // namespace waxwingnotch
