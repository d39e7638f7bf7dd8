#include "Traffic/NestedRouteDetector.h"

namespace Berylport {

void NestedRouteDetector::recordArrival(const std::string& route, bool isExplained)
{
    Counts& counts = m_counts[route];
    ++counts.arrivals;
    counts.unexplained += !isExplained;
    if (counts.arrivals < m_options.halvingThreshold)
        return;
    counts.arrivals /= 2;
    counts.unexplained /= 2;
}

bool NestedRouteDetector::isNested(const std::string& route) const
{
    auto it = m_counts.find(route);
    if (it == m_counts.end() || it->second.arrivals < m_options.minimumArrivals)
        return false;
    return it->second.unexplained <= m_options.maximumUnexplainedShare * it->second.arrivals;
}

} // namespace Berylport
