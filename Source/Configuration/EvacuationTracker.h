// The availability zones whose targets get no calls because an operator has asked for it, as the source of the
// configuration and the peers tell it. The set of the highest position in the source's history holds.
//
// Every node that asks the source gets the set with the configuration; the others get it from their peers beside the
// confirmation of the configuration. Systems that never evacuated a zone tell each other nothing.
#pragma once

#include "Base/EvacuatedZones.h"

#include <optional>
#include <string_view>
#include <vector>

namespace Berylport {

// A change of one zone, as a feed of the source lists it.
struct EvacuationChange {
    ZoneName zone;
    bool isEvacuated { false };
    bool operator==(const EvacuationChange&) const = default;
};

class EvacuationTracker {
public:
    // The source was read as a whole. Returns whether the set of zones has changed.
    bool sourceRead(uint64_t era, uint64_t version, std::vector<ZoneName> zones);
    // All changes up to the version, following an earlier answer of the source to this node.
    bool sourceChanged(uint64_t era, uint64_t version, const std::vector<EvacuationChange>&);
    // What a peer holds. An older set than the held one is of no use, but then the peer needs to be told.
    bool peerReported(const EvacuatedZones&);

    const EvacuatedZones& held() const { return m_held; }
    // What the peers are told; empty until a zone was evacuated or a peer has told of one.
    std::optional<EvacuatedZones> report() const;
    bool isEvacuated(const ZoneName& zone) const { return m_held.contains(zone); }

private:
    bool adopt(EvacuatedZones);

    // The set as the source's answers to this node tell it.
    EvacuatedZones m_source;
    EvacuatedZones m_held;
    // Some node has evacuated a zone, so that nodes may hold different sets.
    bool m_isShared { false };
};

} // namespace Berylport
