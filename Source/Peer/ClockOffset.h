// Bounds on the difference between the steady clocks of the two ends of a link. Pure.
#pragma once

#include "Base/Time.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace Berylport {

// Offset means the peer's clock minus the own clock.
class ClockOffset {
public:
    // The peer read its clock at or after the own time: bounds the offset from above.
    void noteUpperBound(Duration offset, Instant now);
    // The peer read its clock at or before the own time: bounds the offset from below.
    void noteLowerBound(Duration offset, Instant now);
    // One exchange: sent and received on the own clock, and the peer's clock read in between.
    void noteExchange(Instant sent, Instant peerClock, Instant received);

    std::optional<Duration> upperBound(Instant now) const;
    std::optional<Duration> lowerBound(Instant now) const;

    // The earliest own time that a time on the peer's clock can be. Without a bound there is none.
    std::optional<Instant> earliest(Instant peerTime, Instant now) const;

private:
    struct Sample {
        Duration offset {};
        Instant taken;
    };
    using Samples = std::deque<Sample>;

    static void add(Samples&, Sample);
    void discardContradictions(Instant now);

    // Upper bounds grow and lower bounds shrink with the age of a sample, as the clocks drift.
    Samples m_upper;
    Samples m_lower;
};

} // namespace Berylport
