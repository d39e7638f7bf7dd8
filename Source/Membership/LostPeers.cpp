// Shares the questions to unknown addresses among the members.
#include "Membership/LostPeers.h"

#include <algorithm>

namespace Berylport {

LostPeers::LostPeers(const Options& options, Endpoint self)
    : m_options(options)
    , m_self(std::move(self))
{
}

void LostPeers::erase(std::map<Endpoint, Entry>::iterator it)
{
    if (!it->second.node)
        --m_unmetRows;
    m_peers.erase(it);
}

void LostPeers::setRows(std::span<const Endpoint> rows)
{
    std::erase_if(m_peers, [](auto& entry) { return !entry.second.node; });
    m_unmetRows = 0;
    for (auto& it : rows) {
        if (it != m_self && m_peers.try_emplace(it).second)
            ++m_unmetRows;
    }
}

void LostPeers::lost(const Endpoint& gossip, NodeId node, Instant until)
{
    if (gossip == m_self)
        return;
    auto [it, isNew] = m_peers.try_emplace(gossip);
    if (!isNew && !it->second.node)
        --m_unmetRows;
    it->second = { .node = node, .until = until };
}

void LostPeers::met(const Endpoint& gossip)
{
    auto it = m_peers.find(gossip);
    if (it != m_peers.end())
        erase(it);
}

std::vector<LostPeer> LostPeers::due(size_t members, Instant now, Random& random)
{
    if (now < m_nextTurn)
        return {};
    m_nextTurn = now + m_options.turn;
    std::erase_if(m_peers, [&](auto& entry) { return entry.second.until && now >= *entry.second.until; });
    std::chrono::duration<double> turn = m_options.turn;
    std::chrono::duration<double> interval = m_options.fleetInterval;
    double share = static_cast<double>(m_peers.size()) / static_cast<double>(std::max<size_t>(members, 1));
    m_owed = std::min(m_owed + share * (turn / interval), static_cast<double>(m_options.maximumPerTurn));
    // A node without members has nobody to share the questions with and waits for their answers.
    if (members <= 1 && !m_peers.empty())
        m_owed = std::max(m_owed, 1.0);
    auto count = static_cast<size_t>(m_owed);
    m_owed -= static_cast<double>(count);
    return choose(count, random);
}

std::vector<LostPeer> LostPeers::choose(size_t count, Random& random) const
{
    count = std::min(count, m_peers.size());
    std::vector<LostPeer> chosen;
    for (size_t n = 0; n < count; ++n) {
        auto it = std::next(m_peers.begin(), static_cast<ptrdiff_t>(random.below(m_peers.size())));
        LostPeer peer { .gossip = it->first, .node = it->second.node };
        if (std::ranges::find(chosen, peer) == chosen.end())
            chosen.push_back(std::move(peer));
    }
    return chosen;
}

} // namespace Berylport
