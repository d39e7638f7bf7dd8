// Keeps the three priority levels, the deadline index and the byte count in step.
#include "Admission/CallQueue.h"

#include <algorithm>

namespace Berylport {

void CallQueue::push(CallRequest request)
{
    AttemptId id = request.id;
    m_tenants.incrementQueued(request.tenant, request.priority);
    m_deadlines.emplace(request.deadline, id);
    m_bytes += request.http.body.size();
    auto position = level(request.priority).push(request.tenant, id);
    m_calls.insert_or_assign(id, QueuedCall { .request = std::move(request), .position = position });
}

// The call's position in its level has been removed already.
CallRequest CallQueue::extract(std::unordered_map<AttemptId, QueuedCall>::iterator it)
{
    CallRequest request = std::move(it->second.request);
    m_calls.erase(it);
    m_tenants.decrementQueued(request.tenant, request.priority);
    m_deadlines.erase({ request.deadline, request.id });
    m_bytes -= request.http.body.size();
    return request;
}

std::optional<CallRequest> CallQueue::take(const AttemptId& id)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end())
        return std::nullopt;
    level(it->second.request.priority).remove(it->second.request.tenant, it->second.position);
    return extract(it);
}

std::optional<CallRequest> CallQueue::takeNext(Duration averageServiceTime)
{
    for (auto& it : m_levels) {
        if (auto id = it.takeNext(m_tenants, averageServiceTime))
            return extract(m_calls.find(*id));
    }
    return std::nullopt;
}

std::optional<CallRequest> CallQueue::takeExpired(Instant now)
{
    if (m_deadlines.empty() || m_deadlines.begin()->first > now)
        return std::nullopt;
    return take(AttemptId(m_deadlines.begin()->second));
}

const CallRequest* CallQueue::findVictim() const
{
    for (auto priority : { Priority::Bulk, Priority::Normal, Priority::Critical }) {
        if (auto* tenant = m_tenants.findHeaviest(priority))
            return &m_calls.at(m_levels[toIndex(priority)].newest(*tenant)).request;
    }
    return nullptr;
}

size_t CallQueue::countAhead(const TenantName& tenant, Priority priority) const
{
    size_t ahead = 0;
    for (size_t i = 0; i < toIndex(priority); i++)
        ahead += m_levels[i].size();
    auto& own = m_levels[toIndex(priority)];
    size_t turns = m_tenants.queued(tenant, priority) + size_t { 1 };
    return ahead + std::min(own.size(), turns * std::max<size_t>(own.tenantCount(), 1));
}

std::optional<Instant> CallQueue::earliestDeadline() const
{
    if (m_deadlines.empty())
        return std::nullopt;
    return m_deadlines.begin()->first;
}

} // namespace Berylport
