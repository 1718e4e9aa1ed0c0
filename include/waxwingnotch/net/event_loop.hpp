/// @file
/// One event loop on one thread: timers, deferred calls and signals over libevent.
///
///     event_loop loop;
///     timer heartbeat = loop.every(500, [] { ... });   // stops when `heartbeat` is destroyed
///     loop.run();
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

struct event_base;

namespace waxwingnotch {

class event_loop;

/// Owns a timer, a signal handler or a close handler; destroying it cancels the handler.
class timer {
public:
    timer() = default;
    /// Cancels the handler. Calling it again does nothing.
    void cancel() { handle_.reset(); }
    /// @return true until cancel(), also after a one-shot timer has fired
    bool active() const { return handle_ != nullptr; }

private:
    friend class event_loop;
    explicit timer(std::shared_ptr<void> handle) : handle_(std::move(handle)) {}
    std::shared_ptr<void> handle_;
};

/// Event loop of a process.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;

    // Each handler stays registered until the returned timer is destroyed.
    [[nodiscard]] timer after(std::int64_t delay_ms, std::function<void()> action);     // once
    [[nodiscard]] timer every(std::int64_t interval_ms, std::function<void()> action);  // repeatedly
    [[nodiscard]] timer on_signal(int signal, std::function<void()> action);            // at each signal
    [[nodiscard]] timer on_close(int fd, std::function<void()> action);  // once the peer has closed

    /// Runs @p action from the loop, after the current handlers have returned.
    void defer(std::function<void()> action);

    void run();   // returns after stop()
    void stop();  // ends run() after the handlers that are already due

    event_base* native() const { return base_; }

private:
    event_base* base_;
};

}  // namespace waxwingnotch
