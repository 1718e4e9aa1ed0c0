#include "waxwingnotch/net/event_loop.hpp"

#include <event2/event.h>

#include <cassert>
#include <csignal>

namespace waxwingnotch {

namespace {

/// A libevent event with its action. Shared, so that it outlives an action that cancels its own event.
struct registration {
    event* handle = nullptr;
    std::function<void()> action;
    bool once = false;

    registration() = default;
    registration(const registration&) = delete;
    registration& operator=(const registration&) = delete;
    registration(registration&&) = delete;
    registration& operator=(registration&&) = delete;
    ~registration()
    {
        if (handle != nullptr) {
            event_free(handle);
        }
    }
};

/// libevent holds a raw pointer to this, from which the callback locks the registration while it runs.
using registration_ref = std::weak_ptr<registration>;

timeval to_timeval(std::int64_t duration_ms)
{
    constexpr std::int64_t ms_per_s = 1000;
    constexpr std::int64_t us_per_ms = 1000;
    return {duration_ms / ms_per_s, (duration_ms % ms_per_s) * us_per_ms};
}

void run_action(evutil_socket_t, short, void* argument)
{
    const auto item = static_cast<registration_ref*>(argument)->lock();
    if (item) {
        item->action();
    }
}

struct registration_owner {
    std::shared_ptr<registration> item;
    std::unique_ptr<registration_ref> ref;
};

std::shared_ptr<void> register_event(event_base* base, int fd, short flags, const timeval* timeout,
                                     std::function<void()> action)
{
    auto owner = std::make_shared<registration_owner>();
    owner->item = std::make_shared<registration>();
    owner->item->action = std::move(action);
    owner->ref = std::make_unique<registration_ref>(owner->item);
    owner->item->handle = event_new(base, fd, flags, run_action, owner->ref.get());
    event_add(owner->item->handle, timeout);
    return owner;
}

void run_deferred(evutil_socket_t, short, void* argument)
{
    const std::unique_ptr<std::function<void()>> action(static_cast<std::function<void()>*>(argument));
    (*action)();
}

}  // namespace

event_loop::event_loop() : base_(event_base_new())
{
    assert(base_ != nullptr && "libevent found no usable backend");
    // libevent writes without MSG_NOSIGNAL. With the signal ignored, a write to a connection that the peer
    // has closed fails with EPIPE instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
}

event_loop::~event_loop()
{
    event_base_free(base_);
}

timer event_loop::after(std::int64_t delay_ms, std::function<void()> action)
{
    const timeval delay = to_timeval(delay_ms);
    return timer(register_event(base_, -1, 0, &delay, std::move(action)));
}

timer event_loop::every(std::int64_t interval_ms, std::function<void()> action)
{
    assert(interval_ms > 0 && "every() needs a positive interval; with 0 the loop would never sleep");
    const timeval delay = to_timeval(interval_ms);
    return timer(register_event(base_, -1, EV_PERSIST, &delay, std::move(action)));
}

timer event_loop::on_signal(int signal, std::function<void()> action)
{
    return timer(register_event(base_, signal, EV_SIGNAL | EV_PERSIST, nullptr, std::move(action)));
}

timer event_loop::on_close(int fd, std::function<void()> action)
{
    return timer(register_event(base_, fd, EV_CLOSED, nullptr, std::move(action)));
}

void event_loop::defer(std::function<void()> action)
{
    const timeval no_delay{0, 0};
    auto owned = std::make_unique<std::function<void()>>(std::move(action));
    if (event_base_once(base_, -1, EV_TIMEOUT, run_deferred, owned.get(), &no_delay) == 0) {
        // run_deferred() owns the action now.
        static_cast<void>(owned.release());
    }
}

void event_loop::run()
{
    event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop()
{
    event_base_loopexit(base_, nullptr);
}

}  // namespace waxwingnotch
