// The availability zones that an operator has evacuated, as of one position in the history of their source.
#pragma once

#include "Base/Identifiers.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace Berylport {

struct EvacuatedZones {
    // Rises each time the source has lost changes; versions of an earlier era may be given out again.
    uint64_t era { 0 };
    uint64_t version { 0 };
    // In ascending order, each once.
    std::vector<ZoneName> zones;

    bool contains(const ZoneName& zone) const { return std::ranges::binary_search(zones, zone); }
    bool isNewerThan(const EvacuatedZones& other) const
    {
        return std::pair(era, version) > std::pair(other.era, other.version);
    }
    bool operator==(const EvacuatedZones&) const = default;
};

// More are not told; a larger number is a fault of the sender.
constexpr size_t maximumEvacuatedZones = 16;

} // namespace Berylport
