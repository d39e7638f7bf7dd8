// What turns the configuration of one version into that of a later one, as nodes give it to each other.
#pragma once

#include "Base/ServiceDefinition.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Berylport {

struct RemovedService {
    ServiceName name;
    // Configuration version of the removal.
    uint64_t version { 0 };
    bool operator==(const RemovedService&) const = default;
};

struct ConfigurationDelta {
    // Zero for a whole configuration, which replaces everything held.
    uint64_t baseVersion { 0 };
    uint64_t version { 0 };
    std::vector<ServiceDefinition> changed;
    std::vector<RemovedService> removed;
    bool operator==(const ConfigurationDelta&) const = default;
};

// A node's answer to a peer that asks what it lacks.
struct ConfigurationOffer {
    ConfigurationDelta delta;
    // The answering node itself serves, so it holds at least what was accepted.
    bool isServing { false };
    // The whole configuration as the operators' source wrote it, for nodes that are configured from such a source.
    // Empty when the asking node holds it.
    std::string document {};
    bool operator==(const ConfigurationOffer&) const = default;
};

} // namespace Berylport
