// Deficit round robin. A newly active tenant is appended to the list of active tenants.
#include "Admission/TenantQueue.h"

namespace Berylport {

namespace {

// Average calls added to a tenant's deficit at each turn.
constexpr double quantum = 1;

} // namespace

TenantQueue::Position TenantQueue::push(const TenantName& tenant, const AttemptId& id)
{
    auto [it, isNew] = m_flows.try_emplace(tenant);
    if (isNew)
        it->second.activePosition = m_activeTenants.insert(m_activeTenants.end(), tenant);
    m_size++;
    return it->second.attempts.insert(it->second.attempts.end(), id);
}

void TenantQueue::remove(const TenantName& tenant, Position position)
{
    auto it = m_flows.find(tenant);
    it->second.attempts.erase(position);
    m_size--;
    eraseIfEmpty(it);
}

// A tenant without waiting calls keeps no deficit: credit does not accumulate while idle.
void TenantQueue::eraseIfEmpty(Flows::iterator it)
{
    if (!it->second.attempts.empty())
        return;
    m_activeTenants.erase(it->second.activePosition);
    m_flows.erase(it);
}

// Costs are at most 4 quanta, so a tenant is passed over at most 4 times for each of its starts.
TenantQueue::Flow& TenantQueue::selectFlow(const TenantTable& tenants, Duration averageServiceTime)
{
    while (true) {
        Flow& lane = m_flows.at(m_activeTenants.front());
        double cost = tenants.relativeCost(m_activeTenants.front(), averageServiceTime);
        if (lane.deficit >= cost) {
            lane.deficit -= cost;
            return lane;
        }
        lane.deficit += quantum;
        m_activeTenants.splice(m_activeTenants.end(), m_activeTenants, m_activeTenants.begin());
    }
}

std::optional<AttemptId> TenantQueue::takeNext(const TenantTable& tenants, Duration averageServiceTime)
{
    if (!m_size)
        return std::nullopt;
    Flow& lane = selectFlow(tenants, averageServiceTime);
    AttemptId id = lane.attempts.front();
    lane.attempts.pop_front();
    m_size--;
    eraseIfEmpty(m_flows.find(*lane.activePosition));
    return id;
}

} // namespace Berylport
