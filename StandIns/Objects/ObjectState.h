// Semantics of the object store, without network or clock. Shared by the stand-in and by the tests' fake.
#pragma once

#include "Platform/ObjectClient.h"
#include "StandIns/Common/FaultInjector.h"

#include <string>
#include <unordered_map>

namespace Berylport {

class ObjectState {
public:
    PlatformResult<Done> put(const std::string& name, const std::string& bytes, StoreCounters&);
    PlatformResult<std::string> get(const std::string& name) const;
    PlatformResult<Done> remove(const std::string& name, StoreCounters&);
    size_t objectCount() const { return m_objects.size(); }

private:
    std::unordered_map<std::string, std::string> m_objects;
};

} // namespace Berylport
