// Calls of one priority that wait for a slot: deficit round robin over tenants, arrival order within a tenant.
#pragma once

#include "Admission/TenantTable.h"
#include "Base/Base.h"

#include <list>
#include <optional>
#include <unordered_map>

namespace Berylport {

class TenantQueue {
public:
    using Position = std::list<AttemptId>::iterator;

    Position push(const TenantName&, const AttemptId&);
    void remove(const TenantName&, Position);
    // The next attempt in turn, removed. The tenant pays the cost of one of its calls.
    std::optional<AttemptId> takeNext(const TenantTable&, Duration averageServiceTime);
    // The latest arrival of a tenant that has one here.
    const AttemptId& newest(const TenantName& tenant) const { return m_flows.at(tenant).attempts.back(); }

    size_t size() const { return m_size; }
    size_t tenantCount() const { return m_flows.size(); }

private:
    struct Flow {
        std::list<AttemptId> attempts;
        // Slot time that the tenant may use in this round, in average calls.
        double deficit { 0 };
        std::list<TenantName>::iterator activePosition;
    };

    using Flows = std::unordered_map<TenantName, Flow>;

    Flow& selectFlow(const TenantTable&, Duration averageServiceTime);
    void eraseIfEmpty(Flows::iterator);

    Flows m_flows;
    // Tenants with a waiting call; the front one is in turn.
    std::list<TenantName> m_activeTenants;
    size_t m_size { 0 };
};

} // namespace Berylport
