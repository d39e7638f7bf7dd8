// Sliding window of clock bounds.
#include "Base/ClockOffset.h"

#include <algorithm>

namespace Berylport {

namespace {

// At two exchanges a second the window covers 8 s.
constexpr size_t windowSize = 16;
// Linux slews a steady clock by at most 500 ppm, and the two clocks may drift in opposite directions.
constexpr int64_t driftPartsPerMillion = 1000;

Duration driftBound(Instant taken, Instant now)
{
    int64_t age = std::max<int64_t>((now - taken).count(), 0);
    return Duration(age * driftPartsPerMillion / 1'000'000 + 1);
}

} // namespace

void ClockOffset::add(Samples& samples, Sample sample)
{
    samples.push_back(sample);
    if (samples.size() > windowSize)
        samples.pop_front();
}

void ClockOffset::recordUpperBound(Duration offset, Instant now)
{
    add(m_upper, { offset, now });
    discardInconsistentSamples(now);
}

void ClockOffset::recordLowerBound(Duration offset, Instant now)
{
    add(m_lower, { offset, now });
    discardInconsistentSamples(now);
}

void ClockOffset::recordExchange(Instant sent, Instant peerClock, Instant received)
{
    recordUpperBound(peerClock - sent, received);
    recordLowerBound(peerClock - received, received);
}

// A lower bound above the upper bound means that one clock stopped, as in a suspended VM. The samples taken before that
// are invalid, so the oldest ones are dropped until the bounds agree.
void ClockOffset::discardInconsistentSamples(Instant now)
{
    while (!m_upper.empty() && !m_lower.empty() && *lowerBound(now) > *upperBound(now)) {
        bool isUpperOlder = m_upper.front().taken <= m_lower.front().taken;
        Samples& older = isUpperOlder ? m_upper : m_lower;
        older.pop_front();
    }
}

std::optional<Duration> ClockOffset::upperBound(Instant now) const
{
    std::optional<Duration> bound;
    for (const auto& it : m_upper) {
        Duration offset = it.offset + driftBound(it.taken, now);
        bound = bound ? std::min(*bound, offset) : offset;
    }
    return bound;
}

std::optional<Duration> ClockOffset::lowerBound(Instant now) const
{
    std::optional<Duration> bound;
    for (const auto& it : m_lower) {
        Duration offset = it.offset - driftBound(it.taken, now);
        bound = bound ? std::max(*bound, offset) : offset;
    }
    return bound;
}

std::optional<Instant> ClockOffset::toEarliestLocalTime(Instant peerTime, Instant now) const
{
    auto offset = upperBound(now);
    if (!offset)
        return std::nullopt;
    return peerTime - *offset;
}

} // namespace Berylport
