#include "waxwingnotch/base/crash_report.hpp"
#include "waxwingnotch/base/log.hpp"
#include "waxwingnotch/base/process.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <stdexcept>
#include <string>

namespace waxwingnotch {

namespace {

/// Reports to standard error, which a death test compares. Without a core file.
void report_to_standard_error()
{
    const rlimit none{0, 0};
    setrlimit(RLIMIT_CORE, &none);
    install_crash_report(STDERR_FILENO);
    set_crash_report_node("front-1");
}

// NOLINTNEXTLINE(misc-no-recursion)
int overflow_stack(int depth)
{
    std::array<volatile char, 4096> frame{};
    frame[0] = static_cast<char>(depth);
    return depth < 0 ? 0 : overflow_stack(depth + 1) + frame[0];
}

void throw_from_noexcept() noexcept
{
    std::rethrow_exception(std::make_exception_ptr(std::out_of_range("a \"quoted\"\ntext")));
}

void damage_stack_pointer()
{
#if defined(__x86_64__)
    asm volatile("mov $0x10, %rsp; push %rax");
#elif defined(__aarch64__)
    asm volatile("mov x9, #0x10; mov sp, x9; str x0, [sp]");
#endif
}

/// Runs @p action with the report on a pipe and returns what it has written.
template <class Action>
std::string written_by(Action action)
{
    std::array<int, 2> ends{};
    if (pipe(ends.data()) != 0) {
        return "no pipe";
    }
    install_crash_report(ends[1]);
    action();
    close(ends[1]);
    std::string text;
    std::array<char, 4096> buffer{};
    for (ssize_t size = 1; size > 0;) {
        size = read(ends[0], buffer.data(), buffer.size());
        text.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    }
    close(ends[0]);
    install_crash_report(STDOUT_FILENO);
    return text;
}

class crash_report : public testing::Test {
protected:
    crash_report() { GTEST_FLAG_SET(death_test_style, "threadsafe"); }
};

}  // namespace

// Guards against a fault that ends a process without a line.
TEST_F(crash_report, a_fault_is_reported_with_its_signal_and_address)
{
    EXPECT_EXIT(
        {
            report_to_standard_error();
            volatile int* volatile target = nullptr;
            target[4] = 1;
        },
        testing::KilledBySignal(SIGSEGV),
        R"("node":"front-1","event":"process_end","reason":"signal","signal":"SIGSEGV","code":1,"address":"0x10".*"stack":\["base_test\+0x)");
}

// Guards against a report that needs room on the stack that has overflowed, and against a stack that shows
// only the recursion and not what started it.
TEST_F(crash_report, a_stack_overflow_is_reported)
{
    EXPECT_EXIT(
        {
            report_to_standard_error();
            std::exit(overflow_stack(0));
        },
        testing::KilledBySignal(SIGSEGV),
        R"("signal":"SIGSEGV".*"stack":\["base_test\+0x.*","[0-9]+ frames left out",.*"base_test\+0x[0-9a-f]+"\]\})");
}

// Guards against a report that is lost because a call through a null pointer cannot be unwound.
TEST_F(crash_report, a_jump_to_a_wrong_address_is_reported)
{
    EXPECT_EXIT(
        {
            report_to_standard_error();
            void (*volatile target)() = nullptr;
            target();
        },
        testing::KilledBySignal(SIGSEGV), R"("signal":"SIGSEGV".*"stack":\["0x0","base_test\+0x)");
}

// Guards against a report that is lost because reading a damaged stack faults as well.
TEST_F(crash_report, a_damaged_stack_pointer_is_reported_without_a_stack)
{
    EXPECT_EXIT(
        {
            report_to_standard_error();
            damage_stack_pointer();
        },
        testing::KilledBySignal(SIGSEGV), R"("signal":"SIGSEGV".*"stack":\[\]\})");
}

// Guards against an exception whose type and text are lost, and against a second line for the abort() after
// it.
TEST_F(crash_report, an_uncaught_exception_is_reported_once)
{
    EXPECT_EXIT(
        {
            report_to_standard_error();
            throw_from_noexcept();
        },
        testing::KilledBySignal(SIGABRT),
        R"("reason":"exception","type":"std::out_of_range","what":"a \\"quoted\\"\?text","uptime_ms":[0-9]+,"stack":\[[^]]*\]\}
$)");
}

// Guards against a failed assertion without a stack.
TEST_F(crash_report, an_abort_is_reported)
{
    EXPECT_EXIT(
        {
            report_to_standard_error();
            std::abort();
        },
        testing::KilledBySignal(SIGABRT), R"("reason":"signal","signal":"SIGABRT".*"stack":\["libc)");
}

// Guards against a report that is glued to a line of which the reader has only a part.
TEST_F(crash_report, an_open_log_line_is_ended_first)
{
    const std::string text = written_by([] {
        set_log_line_open(true);
        report_process_end("stopped", "", 0);
        set_log_line_open(false);
    });
    ASSERT_EQ(text.substr(0, 2), "\n{");
    EXPECT_EQ(nlohmann::json::parse(text)["reason"], "stopped");
}

// Guards against a line that is not JSON, because a text is long or holds bytes that are not printable.
TEST_F(crash_report, any_text_gives_a_line_of_json)
{
    std::string bytes;
    for (int byte = 0; byte < 256; ++byte) {
        bytes += static_cast<char>(byte);
    }
    for (const std::string& detail : {bytes, std::string(100'000, '"'), std::string(100'000, '\\')}) {
        const std::string text = written_by([&detail] {
            report_process_end("settings", detail, 1);
            report_fatal_error("libevent", detail);
        });
        const std::size_t first_end = text.find('\n');
        ASSERT_NE(first_end, std::string::npos);
        EXPECT_EQ(nlohmann::json::parse(text.substr(0, first_end))["status"], 1);
        const auto second = nlohmann::json::parse(text.substr(first_end));
        EXPECT_EQ(second["reason"], "libevent");
        EXPECT_FALSE(second["stack"].empty());
    }
}

// Guards against a write that waits for ever for a reader that has stopped reading.
TEST_F(crash_report, a_full_pipe_is_given_up)
{
    std::array<int, 2> ends{};
    ASSERT_EQ(pipe(ends.data()), 0);
    fcntl(ends[1], F_SETFL, O_NONBLOCK);
    const std::string filler(4096, '\n');
    while (write(ends[1], filler.data(), filler.size()) > 0) {
    }
    fcntl(ends[1], F_SETFL, 0);
    install_crash_report(ends[1]);
    report_process_end("stopped", "", 0);
    // The flag is shared with other processes that have the file open.
    EXPECT_EQ(fcntl(ends[1], F_GETFL) & O_NONBLOCK, 0);
    install_crash_report(STDOUT_FILENO);
    close(ends[0]);
    close(ends[1]);
}

// Guards against a signal during the start that takes its default action, which ends the process.
TEST(process, control_signals_are_held_until_they_are_released)
{
    EXPECT_EXIT(
        {
            hold_control_signals();
            raise(SIGHUP);
            raise(SIGTERM);
            const int stop = wait_for_stop_signal(0);
            const int none = wait_for_stop_signal(0);  // SIGHUP is not taken
            static volatile std::sig_atomic_t reloads = 0;
            std::signal(SIGHUP, [](int) { reloads = reloads + 1; });
            const bool held = reloads == 0;
            release_control_signals();
            std::exit(stop == SIGTERM && none == 0 && held && reloads == 1 ? 0 : 1);
        },
        testing::ExitedWithCode(0), "");
}

// Guards against a count of descriptors that misses open ones or includes the one it is read with.
TEST(process, usage_counts_the_open_descriptors)
{
    const std::int64_t before = read_process_usage().open_descriptors;
    const int extra = open("/dev/null", O_RDONLY);
    EXPECT_EQ(read_process_usage().open_descriptors, before + 1);
    close(extra);
    EXPECT_EQ(read_process_usage().open_descriptors, before);
    EXPECT_GT(read_process_usage().resident_bytes, 0);
}

}  // namespace waxwingnotch
