// Owning pointers to libevent objects.
#pragma once

#include "Base/Time.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <memory>

namespace Berylport {

struct EventDeleter {
    void operator()(event* it) const { event_free(it); }
};

struct BufferDeleter {
    void operator()(evbuffer* it) const { evbuffer_free(it); }
};

using EventPointer = std::unique_ptr<event, EventDeleter>;
using BufferPointer = std::unique_ptr<evbuffer, BufferDeleter>;

inline timeval toTimeval(Duration duration)
{
    // libevent rejects negative times; a time in the past means "at the next turn of the loop".
    auto n = duration.count() > 0 ? duration.count() : 0;
    return { .tv_sec = static_cast<time_t>(n / 1000000), .tv_usec = static_cast<suseconds_t>(n % 1000000) };
}

inline void startTimer(event* timer, Duration duration)
{
    auto time = toTimeval(duration);
    event_add(timer, &time);
}

} // namespace Berylport
