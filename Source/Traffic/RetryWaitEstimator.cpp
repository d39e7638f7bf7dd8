#include "Traffic/RetryWaitEstimator.h"

#include <algorithm>
#include <cmath>

namespace Berylport {

Duration RetryWaitEstimator::recordArrival(const std::string& route, Duration given, Instant now)
{
    Route& known = m_routes[route];
    auto time = static_cast<double>(given.count());
    double age
        = static_cast<double>((now - known.longestSeenAt).count()) / static_cast<double>(m_options.halfLife.count());
    if (time >= known.longestTimeout * std::exp2(-age)) {
        known.longestTimeout = time;
        known.longestSeenAt = now;
    }
    if (++known.arrivals < m_options.minimumArrivals)
        return {};
    double longest = known.longestTimeout * std::exp2(-(now == known.longestSeenAt ? 0 : age));
    return Duration(std::llround(std::max(0.0, m_options.firstAttemptShare * longest - time)));
}

} // namespace Berylport
