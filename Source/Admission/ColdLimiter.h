// Limits the starts at a target that is cold: right after its start, or whenever it says so, a target tolerates a
// stated number of requests per second from all nodes together and ends above it. All calls to a target start at one
// node, so no node has to share the limit with others.
//
// Starts are recorded while the target is warm as well, as those of the last second count when it is found to be cold.
#pragma once

#include "Base/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace Berylport {

class ColdLimiter {
public:
    // A previous process of this node may have started calls just before the given time. Half of what is tolerated
    // counts as started then, so that both processes together stay well below twice the bound.
    explicit ColdLimiter(Instant processStart = {})
        : m_earlierStartsAt(processStart == Instant() ? std::nullopt : std::optional(processStart))
    {
    }

    // Requests per second that a cold target tolerates, and how long a target is cold after its start. A rate of zero
    // sets no limit.
    void setBound(double requestsPerSecond, Duration coldTime);
    // The target may be cold until its cold time is over, unless it says something else meanwhile.
    void assumeCold(Instant now);
    // The target itself says how much longer it is cold; zero if it is not. Replaces what was assumed.
    void setColdFor(Duration, Instant now);
    // As above, from a message that may be late: can only extend the time.
    void extendColdFor(Duration, Instant now);

    bool isInForce(Instant now) const { return m_rate > 0 && now < m_coldUntil; }
    bool mayStart(Instant now) const;
    void recordStart(Instant now);
    // No byte of the call that was started at that time has reached the target.
    void revokeStart(Instant startedAt);
    // Earliest time of the next start; in the past if a call may start now.
    Instant nextStartAt() const;
    // Time until this many more calls may have started; zero while the limit is not in force.
    Duration waitFor(size_t calls, Instant now) const;
    // Mean time between starts; zero while the limit is not in force.
    Duration interval(Instant now) const;

private:
    // Starts that are tolerated in any window of m_window.
    size_t allowance() const;
    void forgetOldStarts(Instant now);

    double m_rate { 0 };
    // One second, or longer for less than one request per second.
    Duration m_window { std::chrono::seconds(1) };
    Duration m_coldTime {};
    Instant m_coldUntil;
    // Set until the target says whether it is cold.
    std::optional<Instant> m_assumedColdAt;
    // Set until the bound is known.
    std::optional<Instant> m_earlierStartsAt;
    // Times of the starts within the window in ascending order, more than the allowance while the target is warm.
    std::deque<Instant> m_starts;
};

} // namespace Berylport
