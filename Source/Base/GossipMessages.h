// What nodes tell each other about membership by datagram: probes, member records, digests.
#pragma once

#include "Base/EvacuatedZones.h"
#include "Base/Identifiers.h"
#include "Base/SuspectRecord.h"
#include "Base/TargetRecord.h"
#include "Base/Time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace Berylport {

enum class MemberState : uint8_t {
    Alive,
    // Shuts down gracefully and takes no new work.
    Leaving,
    // Has not answered probes and may refute that with a higher record version.
    Suspect,
    Dead,
};

constexpr std::string_view toText(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    }
    return "unknown";
}

// A target on the VM of a member.
struct MemberTarget {
    ServiceName service;
    uint16_t slots { 10 };
    TargetState state { TargetState::Starting };
    // Grows with every change of the state.
    uint64_t stateVersion { 0 };
    bool operator==(const MemberTarget&) const = default;
};

struct MemberRecord {
    NodeId node;
    Endpoint gossip;
    Endpoint peer;
    ZoneName zone;
    RegionName region;
    // Of two records of one node the one with the higher version holds.
    uint64_t version { 0 };
    MemberState state { MemberState::Alive };
    std::vector<MemberTarget> targets;
    // The start of a target on this VM whose leaving was acknowledged last; a later process on the VM is told of it.
    std::optional<TargetIncarnation> departed {};
    // The configuration version in force on the node.
    uint64_t configurationVersion { 0 };
    bool operator==(const MemberRecord&) const = default;
};

constexpr size_t gossipBucketCount = 64;

// A hash over the member records of each bucket. 32 bits each, so that a digest and 900 bytes of records fit into one
// datagram.
using GossipDigest = std::array<uint32_t, gossipBucketCount>;

// The holder of a zone's coordinator lease.
struct CoordinatorInfo {
    ZoneName zone;
    uint64_t fencingToken { 0 };
    NodeId node;
    bool operator==(const CoordinatorInfo&) const = default;
};

// The source of the configuration has confirmed that no version newer than the one held exists.
struct SourceConfirmation {
    // On the clock of the node that holds this; an age on the wire.
    Instant at;
    // The node that asked the source.
    NodeId reader;
    // When the source answered, on its own steady clock; unset if it does not tell. Whole milliseconds on the wire.
    std::optional<Duration> sourceTime {};
    bool operator==(const SourceConfirmation&) const = default;
};

// What any gossip message may carry.
struct GossipContent {
    std::vector<MemberRecord> records;
    std::optional<GossipDigest> digest;
    // Buckets below gossipBucketCount whose records the sender asks for.
    std::vector<uint8_t> requestedBuckets;
    std::optional<CoordinatorInfo> coordinator;
    // Latest era of the shared store that the sender knows of; zero for none.
    uint64_t storeEra { 0 };
    // Of the configuration version in the sender's own record.
    std::optional<SourceConfirmation> confirmation {};
    // Covered by the confirmation above. Absent while no zone was evacuated.
    std::optional<EvacuatedZones> evacuation {};
    // Requests under which targets ended, and a digest of all that the sender knows; zero if it knows none.
    std::vector<SuspectRecord> suspects {};
    uint64_t suspectDigest { 0 };
    bool operator==(const GossipContent&) const = default;
};

struct GossipPing {
    uint64_t sequence { 0 };
    NodeId sender;
    GossipContent content;
    bool operator==(const GossipPing&) const = default;
};

// Answers the ping or the ping request with the same sequence number.
struct GossipAck {
    uint64_t sequence { 0 };
    NodeId sender;
    GossipContent content;
    bool operator==(const GossipAck&) const = default;
};

// Asks the receiver to ping the target and to pass its answer on.
struct GossipPingRequest {
    uint64_t sequence { 0 };
    NodeId sender;
    NodeId target;
    Endpoint targetEndpoint;
    GossipContent content;
    bool operator==(const GossipPingRequest&) const = default;
};

using GossipMessage = std::variant<GossipPing, GossipAck, GossipPingRequest>;

// Datagrams above this could be fragmented on the way.
constexpr size_t maximumGossipBytes = 1400;

} // namespace Berylport
