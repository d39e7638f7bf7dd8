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
    const AttemptId& newest(const TenantName& tenant) const { return m_lanes.at(tenant).attempts.back(); }

    size_t size() const { return m_size; }
    size_t tenants() const { return m_lanes.size(); }

private:
    struct Lane {
        std::list<AttemptId> attempts;
        // Slot time that the tenant may use in this round, in average calls.
        double deficit { 0 };
        std::list<TenantName>::iterator turn;
    };

    using Lanes = std::unordered_map<TenantName, Lane>;

    Lane& findLaneInTurn(const TenantTable&, Duration averageServiceTime);
    void eraseIfEmpty(Lanes::iterator);

    Lanes m_lanes;
    // Tenants with a waiting call; the front one is in turn.
    std::list<TenantName> m_turns;
    size_t m_size { 0 };
};

} // namespace Berylport
