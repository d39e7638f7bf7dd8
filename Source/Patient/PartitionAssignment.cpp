// Rendezvous hashing over node ids.
#include "Patient/PartitionAssignment.h"

#include "Patient/ActionRecord.h"

#include <utility>

namespace Berylport {

namespace {

uint64_t weightOf(NodeId node, uint32_t partition)
{
    uint64_t value = node.value + (partition + 1) * 0x9E3779B97F4A7C15ull;
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ull;
    value = (value ^ (value >> 27)) * 0x94D049BB133111EBull;
    return value ^ (value >> 31);
}

} // namespace

std::vector<PartitionTry> partitionsToTry(
    NodeId self, std::span<const NodeId> liveNodes, const PartitionAssignmentOptions& options)
{
    std::vector<PartitionTry> tries;
    for (uint32_t partition = 0; partition < actionPartitionCount; ++partition) {
        auto own = std::pair(weightOf(self, partition), self.value);
        uint32_t rank = 0;
        for (auto node : liveNodes)
            rank += node != self && std::pair(weightOf(node, partition), node.value) > own;
        if (rank < options.candidates)
            tries.push_back({ .partition = partition, .delay = options.delayPerRank * rank });
    }
    return tries;
}

} // namespace Berylport
