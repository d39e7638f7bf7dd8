// Calls a function once or periodically. Destroying it cancels it.
#pragma once

#include "Base/Time.h"
#include "Loop/EventLoop.h"

#include <functional>

namespace Berylport {

class Timer {
public:
    Timer(EventLoop&, std::function<void()>, EventPriority = EventPriority::Normal);
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    // Starting again replaces the earlier time. A delay of zero or less means the next turn.
    void startOnce(Duration delay);
    void startAt(Instant);
    // The first call comes after one period.
    void startPeriodic(Duration period);
    void stop();
    bool isRunning() const;

private:
    static void onTimeout(int, short, void*);

    EventLoop& m_loop;
    std::function<void()> m_function;
    // Zero for a timer that fires once.
    Duration m_period {};
    EventPointer m_event;
};

} // namespace Berylport
