// Timers on libevent timeouts.
#include "Loop/Timer.h"

#include <algorithm>
#include <event2/event.h>

namespace Berylport {

namespace {

timeval toTimeval(Duration duration)
{
    constexpr int64_t microsecondsPerSecond = 1'000'000;
    int64_t n = std::max<int64_t>(duration.count(), 0);
    timeval value {};
    value.tv_sec = static_cast<time_t>(n / microsecondsPerSecond);
    value.tv_usec = static_cast<suseconds_t>(n % microsecondsPerSecond);
    return value;
}

void schedule(event* ev, Duration delay)
{
    timeval value = toTimeval(delay);
    event_add(ev, &value);
}

} // namespace

Timer::Timer(EventLoop& loop, std::function<void()> function, EventPriority priority)
    : m_loop(loop)
    , m_function(std::move(function))
    , m_event(event_new(loop.base(), -1, 0, &Timer::onTimeout, this))
{
    event_priority_set(m_event.get(), static_cast<int>(priority));
}

void Timer::startOnce(Duration delay)
{
    m_period = {};
    schedule(m_event.get(), delay);
}

void Timer::startAt(Instant instant) { startOnce(instant - steadyNow()); }

void Timer::startPeriodic(Duration period)
{
    m_period = period;
    schedule(m_event.get(), period);
}

void Timer::stop()
{
    m_period = {};
    event_del(m_event.get());
}

bool Timer::isRunning() const { return event_pending(m_event.get(), EV_TIMEOUT, nullptr); }

void Timer::onTimeout(int, short, void* argument)
{
    auto& self = *static_cast<Timer*>(argument);
    // Scheduled first, as the function may stop or destroy the timer.
    if (self.m_period > Duration::zero())
        schedule(self.m_event.get(), self.m_period);
    EventLoop& loop = self.m_loop;
    auto function = self.m_function;
    loop.guard(function);
}

} // namespace Berylport
