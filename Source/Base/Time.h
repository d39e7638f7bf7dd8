// Time as the decision modules see it: an instant is passed in and never read from a clock here.
#pragma once

#include <chrono>
#include <cstdint>

namespace Berylport {

using Duration = std::chrono::microseconds;

// A point on the steady clock of one node. Tests build instants from zero.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

inline Instant steadyNow() { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

constexpr Instant instantFromMicroseconds(int64_t n) { return Instant(Duration(n)); }

constexpr int64_t toMicroseconds(Instant instant) { return instant.time_since_epoch().count(); }

constexpr int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace Berylport
