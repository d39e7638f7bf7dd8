// Applies deltas atomically and only towards newer versions.
#include "Configuration/ConfigurationStore.h"

#include <algorithm>

namespace Berylport {

std::string_view toText(ApplyResult result)
{
    switch (result) {
    case ApplyResult::Applied:
        return "applied";
    case ApplyResult::NotNewer:
        return "not-newer";
    case ApplyResult::Gap:
        return "gap";
    case ApplyResult::Malformed:
        return "malformed";
    }
    return "unknown";
}

bool ConfigurationStore::isWellFormed(const ConfigurationDelta& delta) const
{
    auto isInRange = [&](uint64_t version) { return version > delta.baseVersion && version <= delta.version; };
    auto isValid = [&](const ServiceDefinition& it) { return !validate(it) && isInRange(it.version); };
    return std::ranges::all_of(delta.changed, isValid)
        && std::ranges::all_of(delta.removed, isInRange, &RemovedService::version);
}

ApplyResult ConfigurationStore::apply(const ConfigurationDelta& delta)
{
    if (delta.version <= m_version)
        return ApplyResult::NotNewer;
    if (delta.baseVersion > m_version)
        return ApplyResult::Gap;
    if (!isWellFormed(delta))
        return ApplyResult::Malformed;
    if (!delta.baseVersion) {
        m_definitions.clear();
        m_removals.clear();
        m_truncatedVersion = delta.version;
    }
    for (auto& it : delta.changed)
        m_definitions.insert_or_assign(it.name, it);
    for (auto& it : delta.removed)
        applyRemoval(it);
    m_version = delta.version;
    return ApplyResult::Applied;
}

void ConfigurationStore::applyRemoval(const RemovedService& removed)
{
    auto it = m_definitions.find(removed.name);
    // The service may have been recreated after this removal.
    if (it != m_definitions.end() && it->second.version < removed.version)
        m_definitions.erase(it);
    if (std::ranges::find(m_removals, removed) != m_removals.end())
        return;
    auto position = std::ranges::upper_bound(m_removals, removed.version, {}, &RemovedService::version);
    m_removals.insert(position, removed);
    if (m_removals.size() <= m_options.maximumRemovals)
        return;
    m_truncatedVersion = m_removals.front().version;
    m_removals.erase(m_removals.begin());
}

ConfigurationDelta ConfigurationStore::deltaSince(uint64_t version) const
{
    bool isWhole = !version || version < m_truncatedVersion;
    ConfigurationDelta delta { .baseVersion = isWhole ? 0 : version, .version = m_version };
    for (auto& [name, definition] : m_definitions) {
        if (definition.version > delta.baseVersion)
            delta.changed.push_back(definition);
    }
    if (isWhole)
        return delta;
    auto first = std::ranges::upper_bound(m_removals, version, {}, &RemovedService::version);
    delta.removed.assign(first, m_removals.end());
    return delta;
}

const ServiceDefinition* ConfigurationStore::find(const ServiceName& name) const
{
    auto it = m_definitions.find(name);
    return it == m_definitions.end() ? nullptr : &it->second;
}

} // namespace Berylport
