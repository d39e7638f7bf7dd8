// Semantics of the object store, without network or clock. Shared by the stand-in and by the tests' fake.
#pragma once

#include "StandIns/Common/FaultInjector.h"
#include "Store/ObjectClient.h"

#include <string>
#include <unordered_map>

namespace Berylport {

class ObjectState {
public:
    StoreResult<Done> put(const std::string& name, const std::string& bytes, StoreCounters&);
    StoreResult<std::string> get(const std::string& name) const;
    StoreResult<Done> remove(const std::string& name, StoreCounters&);
    size_t objectCount() const { return m_objects.size(); }

private:
    std::unordered_map<std::string, std::string> m_objects;
};

} // namespace Berylport
