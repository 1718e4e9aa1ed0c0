/// Tests of the clocks.
#include "waxwingnotch/base/clock.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <ctime>

namespace waxwingnotch {
namespace {

std::int64_t boot_time_ms()
{
    constexpr std::int64_t ms_per_s = 1'000;
    constexpr std::int64_t ns_per_ms = 1'000'000;
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return now.tv_sec * ms_per_s + now.tv_nsec / ns_per_ms;
}

// A host that had been suspended for seconds took what it knew of workers, cancels and its shards for
// current. Only a host that has been suspended since its start shows the difference.
TEST(clock, the_time_of_a_suspended_host_counts)
{
    const std::int64_t before = boot_time_ms();
    const std::int64_t now = monotonic_ms();
    EXPECT_GE(now, before);
    EXPECT_LE(now, boot_time_ms());
}

}  // namespace
}  // namespace waxwingnotch
