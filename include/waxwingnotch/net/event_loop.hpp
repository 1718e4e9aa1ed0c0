/// @file
/// One event loop on one thread: timers, deferred calls and signals over libevent.
///
///     event_loop loop;
///     timer beat = loop.every(500, [] { ... });   // stops when `beat` is destroyed
///     loop.run();
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

struct event_base;

namespace waxwingnotch {

class event_loop;

/// Owner of a pending timer or signal handler; destroying it cancels.
class timer {
public:
    timer() = default;
    /// Cancels. Calling it again does nothing.
    void cancel() { handle_.reset(); }
    bool pending() const { return handle_ != nullptr; }

private:
    friend class event_loop;
    explicit timer(std::shared_ptr<void> handle) : handle_(std::move(handle)) {}
    std::shared_ptr<void> handle_;
};

/// The loop of a process.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;

    // Each keeps running until the returned timer is destroyed.
    [[nodiscard]] timer after(std::int64_t delay_ms, std::function<void()> action);     // once
    [[nodiscard]] timer every(std::int64_t interval_ms, std::function<void()> action);  // repeatedly
    [[nodiscard]] timer on_signal(int number, std::function<void()> action);            // at each signal
    [[nodiscard]] timer on_close(int fd, std::function<void()> action);  // once the other side has closed

    /// Runs @p action from the loop, after the handlers that run now.
    void defer(std::function<void()> action);

    void run();   // until stop()
    void stop();  // ends run() after the handlers that are due

    event_base* native() const { return base_; }

private:
    event_base* base_;
};

}  // namespace waxwingnotch
