// Order of the sets by their position.
#include "Configuration/EvacuationTracker.h"

#include <utility>

namespace Berylport {

bool EvacuationTracker::sourceRead(uint64_t era, uint64_t version, std::vector<ZoneName> zones)
{
    std::ranges::sort(zones);
    zones.erase(std::unique(zones.begin(), zones.end()), zones.end());
    EvacuatedZones read { .era = era, .version = version, .zones = std::move(zones) };
    if (m_source.isNewerThan(read))
        return false;
    m_source = read;
    return adopt(std::move(read));
}

bool EvacuationTracker::sourceChanged(uint64_t era, uint64_t version, const std::vector<EvacuationChange>& changes)
{
    EvacuatedZones changed { .era = era, .version = version, .zones = m_source.zones };
    // A late answer; the set held is of a later one.
    if (m_source.isNewerThan(changed))
        return false;
    for (auto& it : changes) {
        auto at = std::ranges::lower_bound(changed.zones, it.zone);
        bool isListed = at != changed.zones.end() && *at == it.zone;
        if (it.isEvacuated && !isListed)
            changed.zones.insert(at, it.zone);
        else if (!it.isEvacuated && isListed)
            changed.zones.erase(at);
    }
    m_source = changed;
    return adopt(std::move(changed));
}

bool EvacuationTracker::peerReported(const EvacuatedZones& reported)
{
    m_isShared = true;
    return reported.isNewerThan(m_held) && adopt(reported);
}

bool EvacuationTracker::adopt(EvacuatedZones zones)
{
    if (m_held.isNewerThan(zones))
        return false;
    bool hasChanged = zones.zones != m_held.zones;
    m_held = std::move(zones);
    m_isShared |= !m_held.zones.empty();
    return hasChanged;
}

std::optional<EvacuatedZones> EvacuationTracker::report() const
{
    return m_isShared ? std::optional(m_held) : std::nullopt;
}

} // namespace Berylport
