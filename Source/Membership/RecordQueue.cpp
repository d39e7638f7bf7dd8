// Limits the retransmission of member records.
#include "Membership/RecordQueue.h"

#include <cmath>

namespace Berylport {

namespace {

// SWIM's lambda: with 3, the probability that a member is not reached is below 1/n^2.
constexpr double retransmitMultiplier = 3;

} // namespace

uint32_t transmissionLimit(size_t members)
{
    return static_cast<uint32_t>(std::ceil(retransmitMultiplier * std::log2(static_cast<double>(members) + 2)));
}

void RecordQueue::push(NodeId node)
{
    remove(node);
    Position position { .transmissions = 0, .order = m_nextOrder++ };
    m_queue.emplace(position, node);
    m_positions[node] = position;
}

void RecordQueue::remove(NodeId node)
{
    auto it = m_positions.find(node);
    if (it == m_positions.end())
        return;
    m_queue.erase(it->second);
    m_positions.erase(it);
}

void RecordQueue::take(uint32_t maximumTransmissions, const std::function<bool(NodeId)>& offer)
{
    std::vector<std::pair<Position, NodeId>> sent;
    for (auto& [position, node] : m_queue) {
        if (!offer(node))
            break;
        sent.emplace_back(position, node);
    }
    for (auto& [position, node] : sent) {
        m_queue.erase(position);
        Position next { .transmissions = position.transmissions + 1, .order = position.order };
        if (next.transmissions >= maximumTransmissions) {
            m_positions.erase(node);
            continue;
        }
        m_queue.emplace(next, node);
        m_positions[node] = next;
    }
}

} // namespace Berylport
