// Immutable objects by name.
#include "StandIns/Objects/ObjectState.h"

namespace Berylport {

StoreResult<Done> ObjectState::put(const std::string& name, const std::string& bytes, StoreCounters& counters)
{
    if (name.empty() || name.size() > 1024 || bytes.size() > maxObjectBytes) {
        ++counters.malformed;
        return StoreError { .code = StoreErrorCode::Malformed, .text = "name or bytes of an invalid length" };
    }
    auto [it, isNew] = m_objects.try_emplace(name, bytes);
    if (!isNew && it->second != bytes) {
        ++counters.conflicts;
        return StoreError { .code = StoreErrorCode::Conflict, .key = name, .versionFound = 1 };
    }
    counters.rowsWritten += isNew;
    return Done {};
}

StoreResult<std::string> ObjectState::get(const std::string& name) const
{
    auto it = m_objects.find(name);
    if (it == m_objects.end())
        return StoreError { .code = StoreErrorCode::NotFound };
    return it->second;
}

StoreResult<Done> ObjectState::remove(const std::string& name, StoreCounters& counters)
{
    if (!m_objects.erase(name))
        return StoreError { .code = StoreErrorCode::NotFound };
    ++counters.rowsWritten;
    return Done {};
}

} // namespace Berylport
