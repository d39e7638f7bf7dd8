// Moving average of how long a target takes for one call.
#pragma once

#include "Base/Time.h"

namespace Berylport {

class ServiceTimeEstimator {
public:
    void recordAnswer(Duration elapsed)
    {
        m_average = isKnown() ? m_average + (elapsed - m_average) / smoothingDivisor : elapsed;
    }

    // A lost call took at least this long, so it may only raise the average.
    void recordLoss(Duration elapsed)
    {
        if (elapsed > m_average)
            recordAnswer(elapsed);
    }

    bool isKnown() const { return m_average > Duration(); }
    Duration average() const { return m_average; }

private:
    // Weight of a new sample is 1/8: about 10 slots of samples cover a change of the target's speed.
    static constexpr int smoothingDivisor = 8;
    Duration m_average {};
};

} // namespace Berylport
