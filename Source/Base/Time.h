// Time as the decision modules see it: an instant is passed in and never read from a clock here.
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace Berylport {

using Duration = std::chrono::microseconds;

// A point on the clock of one node, which never jumps and also counts time in which its VM was suspended. Tests build
// instants from zero.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

constexpr Instant instantFromMicroseconds(int64_t n) { return Instant(Duration(n)); }

// The standard library's steady clock stands still while a VM is suspended, so what is old would seem fresh afterwards.
inline Instant steadyNow()
{
    constexpr int64_t microsecondsPerSecond = 1'000'000;
    constexpr int64_t nanosecondsPerMicrosecond = 1000;
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return instantFromMicroseconds(now.tv_sec * microsecondsPerSecond + now.tv_nsec / nanosecondsPerMicrosecond);
}

constexpr int64_t toMicroseconds(Instant instant) { return instant.time_since_epoch().count(); }

constexpr int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace Berylport
