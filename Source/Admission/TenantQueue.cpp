// Deficit round robin. A tenant that has just arrived takes its turn after those that wait already.
#include "Admission/TenantQueue.h"

namespace Berylport {

namespace {

// Average calls added to a tenant's deficit at each turn.
constexpr double quantum = 1;

} // namespace

TenantQueue::Position TenantQueue::push(const TenantName& tenant, const AttemptId& id)
{
    auto [it, isNew] = m_lanes.try_emplace(tenant);
    if (isNew)
        it->second.turn = m_turns.insert(m_turns.end(), tenant);
    m_size++;
    return it->second.attempts.insert(it->second.attempts.end(), id);
}

void TenantQueue::remove(const TenantName& tenant, Position position)
{
    auto it = m_lanes.find(tenant);
    it->second.attempts.erase(position);
    m_size--;
    eraseIfEmpty(it);
}

// A tenant without waiting calls keeps no deficit: it cannot save up turns.
void TenantQueue::eraseIfEmpty(Lanes::iterator it)
{
    if (!it->second.attempts.empty())
        return;
    m_turns.erase(it->second.turn);
    m_lanes.erase(it);
}

// Costs are at most 4 quanta, so a tenant is passed over at most 4 times for each of its starts.
TenantQueue::Lane& TenantQueue::findLaneInTurn(const TenantTable& tenants, Duration averageServiceTime)
{
    while (true) {
        Lane& lane = m_lanes.at(m_turns.front());
        double cost = tenants.relativeCost(m_turns.front(), averageServiceTime);
        if (lane.deficit >= cost) {
            lane.deficit -= cost;
            return lane;
        }
        lane.deficit += quantum;
        m_turns.splice(m_turns.end(), m_turns, m_turns.begin());
    }
}

std::optional<AttemptId> TenantQueue::takeNext(const TenantTable& tenants, Duration averageServiceTime)
{
    if (!m_size)
        return std::nullopt;
    Lane& lane = findLaneInTurn(tenants, averageServiceTime);
    AttemptId id = lane.attempts.front();
    lane.attempts.pop_front();
    m_size--;
    eraseIfEmpty(m_lanes.find(*lane.turn));
    return id;
}

} // namespace Berylport
