// Distributes the probes of discovery candidates among the members.
#include "Membership/DiscoveryCandidates.h"

#include <algorithm>

namespace Berylport {

DiscoveryCandidates::DiscoveryCandidates(const Options& options, Endpoint self)
    : m_options(options)
    , m_self(std::move(self))
{
}

void DiscoveryCandidates::erase(std::map<Endpoint, Entry>::iterator it)
{
    if (!it->second.node)
        --m_unreachedSeeds;
    m_candidates.erase(it);
}

void DiscoveryCandidates::setSeeds(std::span<const Endpoint> rows)
{
    std::erase_if(m_candidates, [](auto& entry) { return !entry.second.node; });
    m_unreachedSeeds = 0;
    for (auto& it : rows) {
        if (it != m_self && m_candidates.try_emplace(it).second)
            ++m_unreachedSeeds;
    }
}

void DiscoveryCandidates::addFormerMember(const Endpoint& gossip, NodeId node, Instant until)
{
    if (gossip == m_self)
        return;
    auto [it, isNew] = m_candidates.try_emplace(gossip);
    if (!isNew && !it->second.node)
        --m_unreachedSeeds;
    it->second = { .node = node, .expiresAt = until };
}

void DiscoveryCandidates::memberPresent(const Endpoint& gossip)
{
    auto it = m_candidates.find(gossip);
    if (it != m_candidates.end())
        erase(it);
}

std::vector<DiscoveryCandidate> DiscoveryCandidates::takeDue(size_t members, Instant now, Random& random)
{
    if (now < m_nextRound)
        return {};
    m_nextRound = now + m_options.roundInterval;
    std::erase_if(m_candidates, [&](auto& entry) { return entry.second.expiresAt && now >= *entry.second.expiresAt; });
    std::chrono::duration<double> turn = m_options.roundInterval;
    std::chrono::duration<double> interval = m_options.fleetProbeInterval;
    double share = static_cast<double>(m_candidates.size()) / static_cast<double>(std::max<size_t>(members, 1));
    m_probeCredit = std::min(m_probeCredit + share * (turn / interval), static_cast<double>(m_options.maximumPerRound));
    // A node without other members has nobody to share the probes with and cannot join before one is answered.
    if (members <= 1 && !m_candidates.empty())
        m_probeCredit = std::max(m_probeCredit, 1.0);
    auto count = static_cast<size_t>(m_probeCredit);
    m_probeCredit -= static_cast<double>(count);
    return selectRandom(count, random);
}

std::vector<DiscoveryCandidate> DiscoveryCandidates::selectRandom(size_t count, Random& random) const
{
    count = std::min(count, m_candidates.size());
    std::vector<DiscoveryCandidate> chosen;
    for (size_t n = 0; n < count; ++n) {
        auto it = std::next(m_candidates.begin(), static_cast<ptrdiff_t>(random.below(m_candidates.size())));
        DiscoveryCandidate peer { .gossip = it->first, .node = it->second.node };
        if (std::ranges::find(chosen, peer) == chosen.end())
            chosen.push_back(std::move(peer));
    }
    return chosen;
}

std::vector<Endpoint> DiscoveryCandidates::silentSeeds() const
{
    std::vector<Endpoint> seeds;
    for (auto& [endpoint, entry] : m_candidates) {
        if (!entry.node)
            seeds.push_back(endpoint);
    }
    return seeds;
}

} // namespace Berylport
