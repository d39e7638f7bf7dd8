// Owning pointers to libevent objects.
#pragma once

#include "Base/Time.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <memory>

namespace Berylport {

struct TimerDeleter {
    void operator()(event* it) const { event_free(it); }
};

struct BufferDeleter {
    void operator()(evbuffer* it) const { evbuffer_free(it); }
};

struct EventBaseDeleter {
    void operator()(event_base* it) const { event_base_free(it); }
};

struct EventConfigDeleter {
    void operator()(event_config* it) const { event_config_free(it); }
};

using EventBasePointer = std::unique_ptr<event_base, EventBaseDeleter>;
using TimerPointer = std::unique_ptr<event, TimerDeleter>;
using BufferPointer = std::unique_ptr<evbuffer, BufferDeleter>;

// A loop whose timers are never early. By default libevent reads a clock with a resolution of several milliseconds.
inline EventBasePointer makeEventBase()
{
    std::unique_ptr<event_config, EventConfigDeleter> config(event_config_new());
    event_config_set_flag(config.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
    return EventBasePointer(event_base_new_with_config(config.get()));
}

inline timeval toTimeval(Duration duration)
{
    // libevent rejects negative times; a time in the past means "at the next turn of the loop".
    auto n = duration.count() > 0 ? duration.count() : 0;
    return { .tv_sec = static_cast<time_t>(n / 1000000), .tv_usec = static_cast<suseconds_t>(n % 1000000) };
}

inline void startTimer(event* timer, Duration duration)
{
    auto time = toTimeval(duration);
    // libevent counts from the start of the loop's turn, so the timer would be early by the time spent in the turn.
    event_base_update_cache_time(event_get_base(timer));
    event_add(timer, &time);
}

} // namespace Berylport
