// All calls that wait for a slot of one target: by priority, then by tenant, with an index by deadline.
#pragma once

#include "Admission/TenantQueue.h"
#include "Admission/TenantTable.h"
#include "Base/Base.h"

#include <array>
#include <optional>
#include <set>
#include <unordered_map>

namespace Berylport {

class CallQueue {
public:
    // The table must outlive the queue; the queue keeps its queued counts.
    explicit CallQueue(TenantTable& tenants)
        : m_tenants(tenants)
    {
    }

    void push(CallRequest);
    // Removed, or nothing when it is not queued.
    std::optional<CallRequest> take(const AttemptId&);
    std::optional<CallRequest> takeNext(Duration averageServiceTime);
    std::optional<CallRequest> takeExpired(Instant now);
    // The call to shed first: of the lowest priority, the latest one of the tenant that uses most. It is shed only
    // for a call of that priority or a higher one.
    const CallRequest* findVictim() const;
    // Calls that would start before a new one of this tenant and priority.
    size_t countAhead(const TenantName&, Priority) const;

    size_t size() const { return m_calls.size(); }
    size_t bytes() const { return m_bytes; }
    bool isEmpty() const { return m_calls.empty(); }
    std::optional<Instant> earliestDeadline() const;

private:
    struct QueuedCall {
        CallRequest request;
        TenantQueue::Position position;
    };

    CallRequest extract(std::unordered_map<AttemptId, QueuedCall>::iterator);
    TenantQueue& level(Priority priority) { return m_levels[toIndex(priority)]; }

    TenantTable& m_tenants;
    std::unordered_map<AttemptId, QueuedCall> m_calls;
    std::array<TenantQueue, priorityCount> m_levels;
    std::set<std::pair<Instant, AttemptId>> m_deadlines;
    size_t m_bytes { 0 };
};

} // namespace Berylport
