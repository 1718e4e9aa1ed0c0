#include "waxwingnotch/base/crash_report.hpp"

#include <cxxabi.h>
#include <fcntl.h>
#include <link.h>
#include <poll.h>
#include <ucontext.h>
#include <unistd.h>
#include <unwind.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <exception>
#include <typeinfo>

namespace waxwingnotch {

namespace {

constexpr std::size_t inner_frames = 24;  // of a stack, that are written
constexpr std::size_t outer_frames = 20;  // of a deeper stack; they tell what started it
// A recursion that fills a stack of 8 MiB has fewer frames than this.
constexpr std::size_t max_depth = 200'000;
constexpr std::size_t max_modules = 64;
constexpr std::size_t max_module_name = 48;
constexpr std::size_t max_node_name = 64;
constexpr std::size_t max_text = 400;  // of a message of an exception or a library
// A write of up to PIPE_BUF (4,096) bytes to a pipe is done as a whole or not at all.
constexpr std::size_t max_line = 4'000;
constexpr std::size_t line_end_room = 4;  // for the end of a list, of the object and of the line
// The unwinder needs 3 KiB and the kernel saves up to 11 KiB of registers (AVX-512, AMX).
constexpr std::size_t signal_stack_size = 65'536;
// The line waits this long for a reader that is slow. Shorter than the time in which the others notice that
// the node is gone (its group membership, 1.5 s).
constexpr std::int64_t write_limit_ms = 500;
constexpr std::int64_t ms_per_s = 1'000;
constexpr std::int64_t ns_per_ms = 1'000'000;

/// Code of a module in memory.
struct loaded_module {
    std::uintptr_t begin = 0;
    std::uintptr_t end = 0;
    std::uintptr_t base = 0;  // address of its offset 0
    std::array<char, max_module_name> name{};
};

struct fatal_signal {
    int number;
    const char* name;
};

// Of the signals that end a process by default these have no other use here. Signals of the kernel's filter
// (SIGSYS) and of debuggers (SIGTRAP) keep their handlers.
constexpr fatal_signal fatal_signals[] = {
    {SIGSEGV, "SIGSEGV"}, {SIGBUS, "SIGBUS"},   {SIGILL, "SIGILL"},
    {SIGFPE, "SIGFPE"},   {SIGABRT, "SIGABRT"}, {SIGQUIT, "SIGQUIT"},
    {SIGXCPU, "SIGXCPU"}, {SIGUSR1, "SIGUSR1"}, {SIGUSR2, "SIGUSR2"},
};

enum class report_stage : int { none, reading_stack, written };

struct report_state {
    int fd = STDOUT_FILENO;
    std::int64_t started_ms = 0;  // monotonic
    std::size_t modules = 0;
    std::array<loaded_module, max_modules> module{};
    std::array<char, max_node_name> node{};
    std::atomic<report_stage> stage = report_stage::none;
    std::atomic<bool> line_open = false;
};

// Constant-initialised, so that a signal handler may use it at any time.
constinit report_state state;
alignas(16) std::array<char, signal_stack_size> signal_stack;

std::int64_t clock_ms(clockid_t clock)
{
    timespec now{};
    clock_gettime(clock, &now);
    return now.tv_sec * ms_per_s + now.tv_nsec / ns_per_ms;
}

/// A line of JSON in a fixed buffer. Everything here may run in a signal handler. What does not fit is left
/// out.
class line_writer {
public:
    void raw(std::string_view text)
    {
        const std::size_t size = std::min(text.size(), max_line - line_end_room - size_);
        std::copy_n(text.data(), size, text_.data() + size_);
        size_ += size;
    }
    bool has_room(std::size_t size) const { return size_ + size + line_end_room <= max_line; }

    /// Writes a quoted string. Bytes outside of printable ASCII become '?', so that the line is valid JSON
    /// whatever the text holds.
    void quoted(std::string_view text)
    {
        raw("\"");
        for (const char byte : text.substr(0, max_text)) {
            if (byte == '"' || byte == '\\') {
                raw("\\");
            }
            const char shown = byte >= ' ' && byte <= '~' ? byte : '?';
            raw({&shown, 1});
        }
        raw("\"");
    }
    void number(std::uint64_t value, unsigned base)
    {
        std::array<char, 24> digits{};
        std::size_t at = digits.size();
        do {
            digits[--at] = "0123456789abcdef"[value % base];
            value /= base;
        } while (value != 0);
        raw({digits.data() + at, digits.size() - at});
    }
    void field(std::string_view key, std::string_view text)
    {
        name(key);
        quoted(text);
    }
    void field(std::string_view key, std::int64_t value)
    {
        name(key);
        if (value < 0) {
            raw("-");
        }
        number(value < 0 ? 0 - static_cast<std::uint64_t>(value) : static_cast<std::uint64_t>(value), 10);
    }
    void address_field(std::string_view key, std::uintptr_t value)
    {
        name(key);
        raw("\"0x");
        number(value, 16);
        raw("\"");
    }
    void name(std::string_view key)
    {
        raw(",\"");
        raw(key);
        raw("\":");
    }
    /// Ends the line. The end always fits, because raw() leaves room for it.
    void finish(bool in_list)
    {
        for (const char byte : std::string_view(in_list ? "]}\n" : "}\n")) {
            text_[size_++] = byte;
        }
    }
    std::string_view text() const { return {text_.data(), size_}; }

private:
    std::array<char, max_line> text_;
    std::size_t size_ = 0;
};

void write_until_limit(std::string_view text)
{
    const std::int64_t limit_ms = clock_ms(CLOCK_MONOTONIC) + write_limit_ms;
    while (!text.empty()) {
        const ssize_t size = write(state.fd, text.data(), text.size());
        if (size > 0) {
            text.remove_prefix(static_cast<std::size_t>(size));
            continue;
        }
        const std::int64_t left_ms = limit_ms - clock_ms(CLOCK_MONOTONIC);
        if ((errno != EAGAIN && errno != EINTR) || left_ms <= 0) {
            return;
        }
        pollfd ready{.fd = state.fd, .events = POLLOUT, .revents = 0};
        poll(&ready, 1, static_cast<int>(left_ms));
    }
}

/// Writes to the log stream; gives up after write_limit_ms if the reader is slow.
void write_bounded(std::string_view text)
{
    const int flags = fcntl(state.fd, F_GETFL);
    fcntl(state.fd, F_SETFL, flags | O_NONBLOCK);
    write_until_limit(text);
    // The flag belongs to the open file, which other processes may share.
    fcntl(state.fd, F_SETFL, flags);
}

void begin_line(line_writer& line, std::string_view level, std::string_view reason)
{
    if (state.line_open) {
        line.raw("\n");
    }
    line.raw("{\"ts\":");
    line.number(static_cast<std::uint64_t>(clock_ms(CLOCK_REALTIME)), 10);
    line.field("level", level);
    if (state.node[0] != '\0') {
        line.field("node", state.node.data());
    }
    line.field("event", "process_end");
    line.field("reason", reason);
}

void write_frame(line_writer& line, std::uintptr_t address)
{
    const loaded_module* const begin = state.module.data();
    const loaded_module* const end = begin + state.modules;
    const loaded_module* const found = std::find_if(begin, end, [address](const loaded_module& module) {
        return address >= module.begin && address < module.end;
    });
    line.raw("\"");
    if (found != end) {
        line.raw(found->name.data());
        line.raw("+");
    }
    line.raw("0x");
    line.number(found == end ? address : address - found->base, 16);
    line.raw("\"");
}

/// Instruction that a signal has interrupted.
std::uintptr_t interrupted_at(const ucontext_t& context)
{
#if defined(__x86_64__)
    return static_cast<std::uintptr_t>(context.uc_mcontext.gregs[REG_RIP]);
#elif defined(__aarch64__)
    return context.uc_mcontext.pc;
#else
#error "the registers of this architecture are not known here"
#endif
}

/// Return address of a function of which not one instruction has run. Only for that case, because it reads
/// the stack, which an overflow has made unreadable at this place.
std::uintptr_t caller_of_interrupted(const ucontext_t& context)
{
#if defined(__x86_64__)
    // NOLINTNEXTLINE(performance-no-int-to-ptr): a register
    return *reinterpret_cast<const std::uintptr_t*>(context.uc_mcontext.gregs[REG_RSP]);
#elif defined(__aarch64__)
    constexpr int link_register = 30;
    return context.uc_mcontext.regs[link_register];
#endif
}

/// Frames of a stack, the innermost first.
struct call_stack {
    std::array<std::uintptr_t, inner_frames> inner{};
    std::size_t size = 0;         // of inner
    std::size_t first = 0;        // frames before it belong to the report
    bool first_is_exact = false;  // else all are return addresses
    std::array<std::uintptr_t, outer_frames> outer{};
    std::size_t further = 0;  // frames beyond inner; the last of them are in outer, a ring

    void read() { _Unwind_Backtrace(add, this); }

    /// Reads the stack of the code that a signal has interrupted.
    void read_interrupted(const ucontext_t& context)
    {
        read();
        first_is_exact = true;
        const std::uintptr_t instruction = interrupted_at(context);
        const std::uintptr_t* const begin = inner.data();
        const std::uintptr_t* const end = begin + size;
        const std::uintptr_t* const found = std::find(begin, end, instruction);
        if (found != end) {
            first = static_cast<std::size_t>(found - begin);
            return;
        }
        // A jump to a wrong address cannot be unwound.
        inner[0] = instruction;
        inner[1] = caller_of_interrupted(context);
        size = 2;
        further = 0;
    }

private:
    static _Unwind_Reason_Code add(_Unwind_Context* context, void* self)
    {
        call_stack& stack = *static_cast<call_stack*>(self);
        const std::uintptr_t address = _Unwind_GetIP(context);
        if (address == 0) {  // beyond the outermost frame, or a jump to 0
            return _URC_END_OF_STACK;
        }
        if (stack.size < inner_frames) {
            stack.inner[stack.size++] = address;
        }
        else {
            stack.outer[stack.further++ % outer_frames] = address;
        }
        return stack.further < max_depth ? _URC_NO_REASON : _URC_END_OF_STACK;
    }
};

void write_stack(line_writer& line, const call_stack& stack)
{
    constexpr std::size_t frame_room = max_module_name + 32;
    line.field("uptime_ms", clock_ms(CLOCK_MONOTONIC) - state.started_ms);
    line.name("stack");
    line.raw("[");
    for (std::size_t at = stack.first; at < stack.size && line.has_room(frame_room); ++at) {
        const std::uintptr_t address = stack.inner[at];
        const bool exact = stack.first_is_exact && at == stack.first;
        line.raw(at > stack.first ? "," : "");
        // The instruction before a return address is the call, whose source line is wanted.
        write_frame(line, exact ? address : address - 1);
    }
    const std::size_t left_out = stack.further - std::min(stack.further, outer_frames);
    if (left_out > 0) {
        line.raw(",\"");
        line.number(left_out, 10);
        line.raw(" frames left out\"");
    }
    for (std::size_t at = left_out; at < stack.further && line.has_room(frame_room); ++at) {
        line.raw(",");
        write_frame(line, stack.outer[at % outer_frames] - 1);
    }
    line.finish(true);
    write_bounded(line.text());
}

void write_signal_line(int number, const siginfo_t& info, const call_stack& stack)
{
    const auto* const known =
        std::find_if(std::begin(fatal_signals), std::end(fatal_signals),
                     [number](const fatal_signal& item) { return item.number == number; });
    line_writer line;
    begin_line(line, "error", "signal");
    line.field("signal", known == std::end(fatal_signals) ? "unnamed" : known->name);
    line.field("code", static_cast<std::int64_t>(info.si_code));
    if (info.si_code <= 0) {
        line.field("sender", static_cast<std::int64_t>(info.si_pid));
    }
    else {
        line.address_field("address", reinterpret_cast<std::uintptr_t>(info.si_addr));
    }
    write_stack(line, stack);
}

void on_fatal_signal(int number, siginfo_t* info, void* context)
{
    const report_stage stage = state.stage;
    call_stack stack;
    if (stage == report_stage::none) {
        state.stage = report_stage::reading_stack;
        stack.read_interrupted(*static_cast<const ucontext_t*>(context));
    }
    // Reading a damaged stack can fault again. This handler then runs once more and reports without the
    // stack.
    if (stage != report_stage::written) {
        state.stage = report_stage::written;
        write_signal_line(number, *info, stack);
    }
    std::signal(number, SIG_DFL);
    raise(number);
}

/// Writes the type and the text of the current exception.
void write_exception(line_writer& line)
{
    const std::type_info* type = abi::__cxa_current_exception_type();
    if (type == nullptr) {
        line.field("what", "std::terminate() without an exception");
        return;
    }
    int status = 0;
    char* const demangled = abi::__cxa_demangle(type->name(), nullptr, nullptr, &status);
    line.field("type", status == 0 ? demangled : type->name());
    std::free(demangled);
    try {
        std::rethrow_exception(std::current_exception());
    }
    catch (const std::exception& problem) {
        line.field("what", problem.what());
    }
    catch (...) {
        line.field("what", "not a std::exception");
    }
}

[[noreturn]] void on_terminate()
{
    if (state.stage.exchange(report_stage::written) == report_stage::none) {
        call_stack stack;
        stack.read();
        line_writer line;
        begin_line(line, "error", "exception");
        write_exception(line);
        write_stack(line, stack);
    }
    std::abort();
}

int add_module(dl_phdr_info* info, std::size_t, void*)
{
    const std::string_view path = info->dlpi_name;
    const std::string_view file = path.substr(path.find_last_of('/') + 1);
    for (int at = 0; at < info->dlpi_phnum; ++at) {
        const auto& segment = info->dlpi_phdr[at];
        if (segment.p_type != PT_LOAD || (segment.p_flags & PF_X) == 0 || state.modules == max_modules) {
            continue;
        }
        loaded_module& added = state.module[state.modules++];
        added.base = info->dlpi_addr;
        added.begin = info->dlpi_addr + segment.p_vaddr;
        added.end = added.begin + segment.p_memsz;
        // The program itself has no name in this list.
        const std::string_view name = file.empty() ? std::string_view(program_invocation_short_name) : file;
        name.copy(added.name.data(), max_module_name - 1);
    }
    return 0;
}

}  // namespace

void install_crash_report(int fd)
{
    state.fd = fd;
    state.stage = report_stage::none;
    state.started_ms = clock_ms(CLOCK_MONOTONIC);
    // The first call may allocate, which a signal handler must not do.
    call_stack().read();
    state.modules = 0;
    dl_iterate_phdr(add_module, nullptr);

    // A stack overflow leaves no room on the usual stack.
    stack_t alternate{};
    alternate.ss_sp = signal_stack.data();
    alternate.ss_size = signal_stack.size();
    sigaltstack(&alternate, nullptr);

    struct sigaction action {};
    action.sa_sigaction = on_fatal_signal;
    // SA_NODEFER: a fault in the handler calls it again, and raise() in it takes effect at once.
    action.sa_flags = SA_SIGINFO | SA_ONSTACK | SA_NODEFER;
    for (const fatal_signal& item : fatal_signals) {
        sigaction(item.number, &action, nullptr);
    }
    std::set_terminate(on_terminate);
}

void set_crash_report_node(std::string_view node)
{
    state.node.fill('\0');
    node.copy(state.node.data(), max_node_name - 1);
}

void set_log_line_open(bool open)
{
    state.line_open = open;
}

void report_process_end(std::string_view reason, std::string_view detail, int status)
{
    line_writer line;
    begin_line(line, status == 0 ? "info" : "error", reason);
    if (!detail.empty()) {
        line.field("detail", detail);
    }
    line.field("status", static_cast<std::int64_t>(status));
    line.field("uptime_ms", clock_ms(CLOCK_MONOTONIC) - state.started_ms);
    line.finish(false);
    write_bounded(line.text());
}

void report_fatal_error(std::string_view reason, std::string_view detail)
{
    if (state.stage.exchange(report_stage::written) != report_stage::none) {
        return;
    }
    call_stack stack;
    stack.read();
    line_writer line;
    begin_line(line, "error", reason);
    line.field("detail", detail);
    write_stack(line, stack);
}

}  // namespace waxwingnotch
