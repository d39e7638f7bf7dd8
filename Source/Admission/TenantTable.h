// Running calls, queued calls and cost per call of each tenant of one target.
#pragma once

#include "Admission/ServiceTimeEstimator.h"
#include "Base/Base.h"

#include <array>
#include <set>
#include <unordered_map>

namespace Berylport {

constexpr size_t priorityCount = 3;

constexpr size_t toIndex(Priority priority) { return static_cast<size_t>(priority); }

class TenantTable {
public:
    void incrementQueued(const TenantName&, Priority);
    void decrementQueued(const TenantName&, Priority);
    void incrementRunning(const TenantName&);
    void decrementRunning(const TenantName&);
    void recordServiceTime(const TenantName&, Duration);

    // Running and queued calls.
    uint32_t usage(const TenantName&) const;
    uint32_t queued(const TenantName&, Priority) const;
    // The tenant with the highest usage among those with a call queued at the priority; null when there is none.
    const TenantName* findHeaviest(Priority) const;
    // Tenants with a call running or queued, counting the given one in any case.
    uint32_t countActive(const TenantName& including) const;
    // Slot time of one call of the tenant, in units of the target's average.
    double relativeCost(const TenantName&, Duration average) const;

private:
    // Kept while the tenant has a call here, which bounds the table by slots plus queue.
    struct Load {
        uint32_t running { 0 };
        std::array<uint32_t, priorityCount> queued {};
        ServiceTimeEstimator serviceTime;
        uint32_t usage() const { return running + queued[0] + queued[1] + queued[2]; }
    };

    template <typename Change> void update(const TenantName&, Change);

    std::unordered_map<TenantName, Load> m_loads;
    std::array<std::set<std::pair<uint32_t, TenantName>>, priorityCount> m_byUsage;
};

} // namespace Berylport
