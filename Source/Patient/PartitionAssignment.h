// Which live nodes try for which partition's lease.
#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"

#include <cstdint>
#include <span>
#include <vector>

namespace Berylport {

struct PartitionAssignmentOptions {
    // Nodes that try for one partition. Several, as the first may be alive and yet cut off from the store.
    uint32_t candidates { 4 };
    // Each candidate starts this much later than the one before it, so that usually only the first one writes.
    Duration delayPerRank { std::chrono::seconds(5) };
};

struct PartitionTry {
    uint32_t partition { 0 };
    Duration delay {};
    bool operator==(const PartitionTry&) const = default;
};

// Rendezvous hashing: nodes with the same view agree, and a node's arrival or loss moves only its own partitions.
// A holder keeps its lease while it is alive, whatever this says.
std::vector<PartitionTry> partitionsToTry(
    NodeId self, std::span<const NodeId> liveNodes, const PartitionAssignmentOptions& = {});

} // namespace Berylport
