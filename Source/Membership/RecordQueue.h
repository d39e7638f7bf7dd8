// Which member records to piggyback next: least sent first, each only as often as it needs to reach every member.
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
    // Puts the record in front; a record that is in the queue starts anew.
    void push(NodeId);
    void remove(NodeId);

    // Calls `offer` with each node in turn until it returns false (no room left). A node for which it returned true
    // counts as sent once more, and leaves the queue after `maximumSends`.
    void take(uint32_t maximumSends, const std::function<bool(NodeId)>& offer);

    size_t size() const { return m_positions.size(); }

private:
    struct Position {
        uint32_t sends { 0 };
        // Larger for newer entries; newer ones go first among equally often sent ones.
        uint64_t order { 0 };

        bool operator<(const Position& other) const
        {
            return sends != other.sends ? sends < other.sends : order > other.order;
        }
    };

    // Both hold the same entries.
    std::map<Position, NodeId> m_queue;
    std::unordered_map<NodeId, Position> m_positions;
    uint64_t m_nextOrder { 0 };
};

// Sends after which a record has reached all of `members` with high probability: 3 * log2(members + 1).
uint32_t sendsToReachAll(size_t members);

} // namespace Berylport
