// Measures how long a peer has been inactive, without counting time in which this process itself did not run.
#pragma once

#include "Base/Time.h"

#include <algorithm>

namespace Berylport {

class InactivityMonitor {
public:
    InactivityMonitor(Duration interval, Instant now)
        : m_interval(interval)
        , m_lastUpdate(now)
    {
    }

    void recordActivity() { m_inactiveTime = {}; }

    // Called once per interval; returns the inactive time so far. A longer gap means that this process was stalled and
    // could not have read a response, so one call adds at most two intervals.
    Duration update(Instant now)
    {
        m_inactiveTime += std::min(now - m_lastUpdate, 2 * m_interval);
        m_lastUpdate = now;
        return m_inactiveTime;
    }

private:
    Duration m_interval;
    Instant m_lastUpdate;
    Duration m_inactiveTime {};
};

} // namespace Berylport
