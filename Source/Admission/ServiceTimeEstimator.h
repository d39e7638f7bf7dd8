// Moving average of how long a target takes for one call.
#pragma once

#include "Base/Time.h"

namespace Berylport {

class ServiceTimeEstimator {
public:
    void noteAnswer(Duration elapsed) { m_average = isKnown() ? m_average + (elapsed - m_average) / divisor : elapsed; }

    // A lost call took at least this long. It never makes the target look faster.
    void noteLost(Duration elapsed)
    {
        if (elapsed > m_average)
            noteAnswer(elapsed);
    }

    bool isKnown() const { return m_average > Duration(); }
    Duration average() const { return m_average; }

private:
    // Weight of a new sample is 1/8: about 10 slots of samples cover a change of the target's speed.
    static constexpr int divisor = 8;
    Duration m_average {};
};

} // namespace Berylport
