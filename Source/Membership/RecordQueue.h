// Queue of member records to piggyback on messages: least transmitted first, each transmitted only as often as needed
// to reach every member.
#pragma once

#include "Base/Identifiers.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace Berylport {

class RecordQueue {
public:
    // Puts the record at the front; a record already queued has its transmission count reset.
    void push(NodeId);
    void remove(NodeId);

    // Calls `offer` with each node in turn until it returns false (no room left). A node for which it returned true
    // counts as transmitted once more, and leaves the queue after `maximumTransmissions`.
    void take(uint32_t maximumTransmissions, const std::function<bool(NodeId)>& offer);

    size_t size() const { return m_positions.size(); }

private:
    struct Position {
        uint32_t transmissions { 0 };
        // Increases with each push; among equally often transmitted entries the newest goes first.
        uint64_t order { 0 };

        bool operator<(const Position& other) const
        {
            return transmissions != other.transmissions ? transmissions < other.transmissions : order > other.order;
        }
    };

    // Two indices over the same entries.
    std::map<Position, NodeId> m_queue;
    std::unordered_map<NodeId, Position> m_positions;
    uint64_t m_nextOrder { 0 };
};

// Transmissions after which a record has reached all of `members` with high probability: 3 * log2(members + 2), rounded
// up.
uint32_t transmissionLimit(size_t members);

} // namespace Berylport
