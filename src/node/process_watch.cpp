#include "node/process_watch.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"
#include "waxwingnotch/base/process.hpp"

namespace waxwingnotch {

namespace {

constexpr std::int64_t tick_interval_ms = 100;
constexpr std::int64_t usage_interval_ms = 10'000;
// A third of the membership of 1.5 s, which a node loses when its loop does not renew it.
constexpr std::int64_t late_logged_ms = 500;
constexpr std::int64_t descriptors_warning_percent = 90;

}  // namespace

process_watch::process_watch(event_loop& loop) : loop_(loop), started_ms_(monotonic_ms()) {}

void process_watch::start()
{
    last_tick_ms_ = monotonic_ms();
    last_log_ms_ = last_tick_ms_;
    log_usage();
    timer_ = loop_.every(tick_interval_ms, [this] { tick(); });
}

std::int64_t process_watch::uptime_ms() const
{
    return monotonic_ms() - started_ms_;
}

void process_watch::tick()
{
    const std::int64_t now_ms = monotonic_ms();
    const std::int64_t late_ms = std::max<std::int64_t>(0, now_ms - last_tick_ms_ - tick_interval_ms);
    last_tick_ms_ = now_ms;
    late_now_ms_ = std::max(late_now_ms_, late_ms);
    late_max_ms_ = std::max(late_max_ms_, late_ms);
    if (late_ms >= late_logged_ms) {
        log_event(log_level::warning, "loop_late", {{"ms", late_ms}});
    }
    if (now_ms - last_log_ms_ >= usage_interval_ms) {
        last_log_ms_ = now_ms;
        log_usage();
    }
}

void process_watch::log_usage()
{
    const process_usage usage = read_process_usage();
    const bool few_left = usage.max_descriptors > 0 &&
                          usage.open_descriptors * 100 >= usage.max_descriptors * descriptors_warning_percent;
    log_event(few_left ? log_level::warning : log_level::info, "process",
              {{"resident_bytes", usage.resident_bytes},
               {"open_descriptors", usage.open_descriptors},
               {"max_descriptors", usage.max_descriptors},
               {"processor_ms", usage.processor_ms},
               {"late_ms", late_now_ms_},
               {"uptime_ms", uptime_ms()}});
    late_before_ms_ = late_now_ms_;
    late_now_ms_ = 0;
}

}  // namespace waxwingnotch
