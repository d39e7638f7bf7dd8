// One event loop for libevent events and KJ promises. A thread has at most one.
#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <exception>
#include <functional>
#include <memory>

struct event_base;
struct event;

namespace kj {
class WaitScope;
}

namespace Berylport {

// Events of the first priority run before all others of the same loop turn.
enum class EventPriority : uint8_t {
    First,
    Normal,
};

class EventLoop {
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    // Runs until stop(). Rethrows what a callback has thrown.
    void run();
    // Runs the callbacks that are due, after waiting for the first one for at most this long.
    void runOnce(Duration maximumWait);
    // Runs until the condition holds. Returns false when the limit passes first.
    bool runUntil(const std::function<bool()>& condition, Duration limit);
    void stop();

    // Calls the function in a later turn; functions run in the order of posting.
    void post(std::function<void()>);
    // Ends the current wait. The only function that another thread may call.
    void wake() const;

    // Ends run() with this exception. The first of several is kept.
    void fail(std::exception_ptr) noexcept;
    // Calls the function and turns an exception into fail(), as libevent's C frames must not be unwound.
    template <typename Function> void guard(Function&& function) noexcept
    {
        try {
            function();
        } catch (...) {
            fail(std::current_exception());
        }
    }

    event_base* base() const;
    // For Promise::wait(), which must not be called from a callback.
    kj::WaitScope& waitScope();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

// Releases a libevent event.
struct EventDeleter {
    void operator()(event*) const;
};
using EventPointer = std::unique_ptr<event, EventDeleter>;

} // namespace Berylport
