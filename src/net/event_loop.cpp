#include "waxwingnotch/net/event_loop.hpp"

#include <event2/event.h>

#include <cassert>
#include <csignal>

namespace waxwingnotch {

namespace {

/// A libevent event with its action. It must outlive a call that cancels it from inside.
struct scheduled {
    event* handle = nullptr;
    std::function<void()> action;
    bool once = false;

    scheduled() = default;
    scheduled(const scheduled&) = delete;
    scheduled& operator=(const scheduled&) = delete;
    scheduled(scheduled&&) = delete;
    scheduled& operator=(scheduled&&) = delete;
    ~scheduled()
    {
        if (handle != nullptr) {
            event_free(handle);
        }
    }
};

/// libevent holds a raw pointer to this, so that the callback can keep `scheduled` alive.
using scheduled_slot = std::weak_ptr<scheduled>;

timeval to_timeval(std::int64_t duration_ms)
{
    constexpr std::int64_t ms_per_s = 1000;
    constexpr std::int64_t us_per_ms = 1000;
    return {duration_ms / ms_per_s, (duration_ms % ms_per_s) * us_per_ms};
}

void fire(evutil_socket_t, short, void* argument)
{
    const auto item = static_cast<scheduled_slot*>(argument)->lock();
    if (item) {
        item->action();
    }
}

struct slot_owner {
    std::shared_ptr<scheduled> item;
    std::unique_ptr<scheduled_slot> slot;
};

std::shared_ptr<void> schedule(event_base* base, int fd, short flags, const timeval* delay,
                               std::function<void()> action)
{
    auto owner = std::make_shared<slot_owner>();
    owner->item = std::make_shared<scheduled>();
    owner->item->action = std::move(action);
    owner->slot = std::make_unique<scheduled_slot>(owner->item);
    owner->item->handle = event_new(base, fd, flags, fire, owner->slot.get());
    event_add(owner->item->handle, delay);
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
    // libevent writes without MSG_NOSIGNAL: a peer that closed must give an error, not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

event_loop::~event_loop()
{
    event_base_free(base_);
}

timer event_loop::after(std::int64_t delay_ms, std::function<void()> action)
{
    const timeval delay = to_timeval(delay_ms);
    return timer(schedule(base_, -1, 0, &delay, std::move(action)));
}

timer event_loop::every(std::int64_t interval_ms, std::function<void()> action)
{
    assert(interval_ms > 0 && "every() with an interval of 0 would never let the loop sleep");
    const timeval delay = to_timeval(interval_ms);
    return timer(schedule(base_, -1, EV_PERSIST, &delay, std::move(action)));
}

timer event_loop::on_signal(int number, std::function<void()> action)
{
    return timer(schedule(base_, number, EV_SIGNAL | EV_PERSIST, nullptr, std::move(action)));
}

timer event_loop::on_close(int fd, std::function<void()> action)
{
    return timer(schedule(base_, fd, EV_CLOSED, nullptr, std::move(action)));
}

void event_loop::defer(std::function<void()> action)
{
    const timeval at_once{0, 0};
    auto owned = std::make_unique<std::function<void()>>(std::move(action));
    if (event_base_once(base_, -1, EV_TIMEOUT, run_deferred, owned.get(), &at_once) == 0) {
        // The callback owns it now.
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
