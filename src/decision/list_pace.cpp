#include "waxwingnotch/decision/list_pace.hpp"

#include <algorithm>

namespace waxwingnotch {

namespace {

constexpr double bits_per_byte = 8;
constexpr double percent = 100;
constexpr double saved_lists = 2;  // at least: a regular one, and one on which an order waits

}  // namespace

list_pace::list_pace(std::int64_t link_kbps)
    // 1 kbit/s is 1 bit a millisecond.
    : bytes_per_ms_(static_cast<double>(std::max<std::int64_t>(link_kbps, 0)) / bits_per_byte *
                    static_cast<double>(share_percent) / percent)
{
}

/// @return bytes that are saved up at most
double list_pace::capacity() const
{
    return std::max(bytes_per_ms_ * static_cast<double>(saved_ms),
                    saved_lists * static_cast<double>(list_bytes_));
}

/// @return bytes that have been spent and not been earned again
double list_pace::owed(std::int64_t now_ms) const
{
    const auto passed_ms = static_cast<double>(std::max<std::int64_t>(now_ms - spent_at_ms_, 0));
    return std::max(spent_ - bytes_per_ms_ * passed_ms, 0.0);
}

void list_pace::spend(double bytes, std::int64_t now_ms)
{
    spent_ = std::max(owed(now_ms) + bytes, 0.0);
    spent_at_ms_ = now_ms;
}

bool list_pace::admits(list_need need, std::int64_t now_ms) const
{
    if (!limited()) {
        return true;
    }
    const double owed_bytes = owed(now_ms);
    return need == list_need::refresh ? owed_bytes <= 0
                                      : owed_bytes + static_cast<double>(list_bytes_) <= capacity();
}

std::int64_t list_pace::begin(std::int64_t now_ms)
{
    spend(static_cast<double>(list_bytes_), now_ms);
    return list_bytes_;
}

void list_pace::end(std::int64_t expected, std::int64_t bytes, bool whole, std::int64_t now_ms)
{
    if (whole) {
        list_bytes_ = std::max<std::int64_t>(bytes, 0);
    }
    if (whole || bytes > expected) {
        spend(static_cast<double>(bytes - expected), now_ms);
    }
}

}  // namespace waxwingnotch
