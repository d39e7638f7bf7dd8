// Counts per tenant, with an index by usage for load shedding.
#include "Admission/TenantTable.h"

#include <algorithm>

namespace Berylport {

namespace {

// Bounds on a call's cost keep the number of rounds that the queue needs for one start small.
constexpr double minimumCost = 0.25;
constexpr double maximumCost = 4;

} // namespace

template <typename Change> void TenantTable::update(const TenantName& tenant, Change change)
{
    Load& load = m_loads[tenant];
    for (size_t i = 0; i < priorityCount; i++) {
        if (load.queued[i])
            m_byUsage[i].erase({ load.usage(), tenant });
    }
    change(load);
    for (size_t i = 0; i < priorityCount; i++) {
        if (load.queued[i])
            m_byUsage[i].emplace(load.usage(), tenant);
    }
    if (!load.usage())
        m_loads.erase(tenant);
}

void TenantTable::incrementQueued(const TenantName& tenant, Priority priority)
{
    update(tenant, [&](Load& load) { load.queued[toIndex(priority)]++; });
}

void TenantTable::decrementQueued(const TenantName& tenant, Priority priority)
{
    update(tenant, [&](Load& load) { load.queued[toIndex(priority)]--; });
}

void TenantTable::incrementRunning(const TenantName& tenant)
{
    update(tenant, [](Load& load) { load.running++; });
}

void TenantTable::decrementRunning(const TenantName& tenant)
{
    update(tenant, [](Load& load) { load.running--; });
}

void TenantTable::recordServiceTime(const TenantName& tenant, Duration elapsed)
{
    if (auto it = m_loads.find(tenant); it != m_loads.end())
        it->second.serviceTime.recordAnswer(elapsed);
}

uint32_t TenantTable::usage(const TenantName& tenant) const
{
    auto it = m_loads.find(tenant);
    return it == m_loads.end() ? 0 : it->second.usage();
}

uint32_t TenantTable::queued(const TenantName& tenant, Priority priority) const
{
    auto it = m_loads.find(tenant);
    return it == m_loads.end() ? 0 : it->second.queued[toIndex(priority)];
}

const TenantName* TenantTable::findHeaviest(Priority priority) const
{
    auto& tenants = m_byUsage[toIndex(priority)];
    return tenants.empty() ? nullptr : &tenants.rbegin()->second;
}

uint32_t TenantTable::countActive(const TenantName& including) const
{
    return static_cast<uint32_t>(m_loads.size()) + !m_loads.contains(including);
}

double TenantTable::relativeCost(const TenantName& tenant, Duration average) const
{
    auto it = m_loads.find(tenant);
    if (it == m_loads.end() || !it->second.serviceTime.isKnown() || average <= Duration())
        return 1;
    double cost = static_cast<double>(it->second.serviceTime.average().count()) / static_cast<double>(average.count());
    return std::clamp(cost, minimumCost, maximumCost);
}

} // namespace Berylport
