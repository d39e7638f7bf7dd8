// All service definitions of one configuration version, as one node gives them to another.
#pragma once

#include "Base/ServiceDefinition.h"

#include <cstdint>
#include <vector>

namespace Berylport {

struct ConfigurationSnapshot {
    uint64_t version { 0 };
    std::vector<ServiceDefinition> services;
    bool operator==(const ConfigurationSnapshot&) const = default;
};

} // namespace Berylport
