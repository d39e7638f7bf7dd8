// Bounds on the difference between the steady clocks of the two ends of a link. Does no I/O and reads no clock.
#pragma once

#include "Base/Time.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace Berylport {

// The offset is the peer's clock minus the local clock.
class ClockOffset {
public:
    // Upper bound: the peer read its clock no earlier than the local clock reading it is compared with.
    void recordUpperBound(Duration offset, Instant now);
    // Lower bound: the peer read its clock no later than the local clock reading it is compared with.
    void recordLowerBound(Duration offset, Instant now);
    // One round trip: sent and received on the local clock, with the peer's clock read in between.
    void recordExchange(Instant sent, Instant peerClock, Instant received);

    std::optional<Duration> upperBound(Instant now) const;
    std::optional<Duration> lowerBound(Instant now) const;

    // The earliest local time that a time on the peer's clock can correspond to; nullopt without an upper bound.
    std::optional<Instant> toEarliestLocalTime(Instant peerTime, Instant now) const;

private:
    struct Sample {
        Duration offset {};
        Instant taken;
    };
    using Samples = std::deque<Sample>;

    static void add(Samples&, Sample);
    void discardInconsistentSamples(Instant now);

    // As the clocks drift, an upper bound grows and a lower bound shrinks with the age of its sample.
    Samples m_upper;
    Samples m_lower;
};

} // namespace Berylport
