#include "waxwingnotch/base/process.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <ctime>
#include <fstream>
#include <memory>

namespace waxwingnotch {

namespace {

constexpr std::int64_t ms_per_s = 1'000;
constexpr std::int64_t us_per_ms = 1'000;
constexpr std::int64_t ns_per_ms = 1'000'000;
constexpr std::int64_t max_descriptors = 1 << 20;  // taken as the limit where the system sets none
constexpr std::int64_t percent = 100;
constexpr std::int64_t short_above_percent = 75;   // of the descriptors that are allowed
constexpr std::int64_t enough_below_percent = 60;  // well below, so that one closed connection is not enough

sigset_t stop_signals()
{
    sigset_t set{};
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

sigset_t control_signals()
{
    sigset_t set = stop_signals();
    sigaddset(&set, SIGHUP);
    return set;
}

std::int64_t count_open_descriptors()
{
    const std::unique_ptr<DIR, int (*)(DIR*)> folder(opendir("/proc/self/fd"), closedir);
    if (folder == nullptr) {
        return -1;
    }
    std::int64_t count = -1;  // without the descriptor of this folder
    while (const dirent* entry = readdir(folder.get())) {
        count += entry->d_name[0] == '.' ? 0 : 1;
    }
    return count;
}

std::int64_t resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    std::int64_t total_pages = 0;
    std::int64_t resident_pages = 0;
    if (!(file >> total_pages >> resident_pages)) {
        return -1;
    }
    return resident_pages * sysconf(_SC_PAGESIZE);
}

std::int64_t to_ms(const timeval& time)
{
    return time.tv_sec * ms_per_s + time.tv_usec / us_per_ms;
}

}  // namespace

void open_standard_streams()
{
    for (const int fd : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
        // open() returns the lowest free number, which is fd, because those below it are open.
        if (fcntl(fd, F_GETFD) < 0 && open("/dev/null", O_RDWR) != fd) {
            return;
        }
    }
}

void hold_control_signals()
{
    const sigset_t held = control_signals();
    sigprocmask(SIG_BLOCK, &held, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);
}

void release_control_signals()
{
    const sigset_t held = control_signals();
    sigprocmask(SIG_UNBLOCK, &held, nullptr);
}

int wait_for_stop_signal(std::int64_t limit_ms)
{
    const sigset_t awaited = stop_signals();
    const timespec limit{.tv_sec = limit_ms / ms_per_s, .tv_nsec = limit_ms % ms_per_s * ns_per_ms};
    const int number = sigtimedwait(&awaited, nullptr, &limit);
    return number > 0 ? number : 0;
}

std::int64_t process_descriptor_limit()
{
    rlimit descriptors{};
    const bool limited =
        getrlimit(RLIMIT_NOFILE, &descriptors) == 0 && descriptors.rlim_cur <= max_descriptors;
    return limited ? static_cast<std::int64_t>(descriptors.rlim_cur) : max_descriptors;
}

bool descriptors_short(std::int64_t limit, bool was_short)
{
    if (was_short) {
        // The lowest free number does not tell how many are open: one early descriptor that is closed would
        // be taken for enough of them. Listing fails without a free descriptor.
        const std::int64_t open_count = count_open_descriptors();
        return open_count < 0 || open_count * percent >= limit * enough_below_percent;
    }
    // Yields the lowest descriptor that is free, which costs less than listing those that are open.
    const int lowest_free = fcntl(STDIN_FILENO, F_DUPFD_CLOEXEC, 0);
    if (lowest_free < 0) {
        return errno == EMFILE;
    }
    close(lowest_free);
    return lowest_free * percent >= limit * short_above_percent;
}

process_usage read_process_usage()
{
    process_usage usage{.resident_bytes = resident_bytes(), .open_descriptors = count_open_descriptors()};
    rlimit descriptors{};
    if (getrlimit(RLIMIT_NOFILE, &descriptors) == 0 && descriptors.rlim_cur != RLIM_INFINITY) {
        usage.max_descriptors = static_cast<std::int64_t>(descriptors.rlim_cur);
    }
    rusage times{};
    if (getrusage(RUSAGE_SELF, &times) == 0) {
        usage.processor_ms = to_ms(times.ru_utime) + to_ms(times.ru_stime);
    }
    return usage;
}

}  // namespace waxwingnotch
