// Exponential backoff with jitter between connection attempts to one peer. Has no side effects.
#pragma once

#include "Base/Random.h"
#include "Base/Time.h"

#include <algorithm>

namespace Berylport {

class Backoff {
public:
    Backoff(Duration minimum, Duration maximum)
        : m_minimum(minimum)
        , m_maximum(maximum)
    {
    }

    // Half of the delay is random, so that the peers of a restarted node do not all reconnect at once.
    Duration next(Random& random)
    {
        Duration delay = std::min(m_minimum * (int64_t(1) << m_failures), m_maximum);
        if (delay < m_maximum)
            ++m_failures;
        auto half = delay / 2;
        return half + Duration(static_cast<int64_t>(static_cast<double>(half.count()) * random.unit()));
    }

    void reset() { m_failures = 0; }

private:
    Duration m_minimum;
    Duration m_maximum;
    // Not incremented once the delay reaches the maximum, so the shift cannot overflow.
    int m_failures { 0 };
};

} // namespace Berylport
