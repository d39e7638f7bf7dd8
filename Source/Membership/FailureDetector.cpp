// Probe schedule and suspicion timers.
#include "Membership/FailureDetector.h"

#include <algorithm>
#include <unordered_set>

namespace Berylport {

void FailureDetector::setMembers(std::vector<NodeId> members)
{
    m_members = std::move(members);
    std::unordered_set<NodeId> known(m_members.begin(), m_members.end());
    std::erase_if(m_round, [&](NodeId it) { return !known.contains(it); });
    std::erase_if(m_suspectedSince, [&](auto& entry) { return !known.contains(entry.first); });
    if (m_probe && !known.contains(m_probe->node))
        m_probe.reset();
}

void FailureDetector::startSuspicion(NodeId node, Instant now) { m_suspectedSince.try_emplace(node, now); }

void FailureDetector::cancelSuspicion(NodeId node) { m_suspectedSince.erase(node); }

void FailureDetector::ackReceived(NodeId node, uint64_t sequence)
{
    if (!m_probe || m_probe->node != node || m_probe->sequence != sequence || m_probe->isAnswered)
        return;
    m_probe->isAnswered = true;
    if (m_healthPenalty)
        --m_healthPenalty;
}

void FailureDetector::paused(Instant now)
{
    m_probe.reset();
    m_nextProbe = now;
    m_healthPenalty = std::min(m_healthPenalty + 1, m_options.maximumHealthPenalty);
    // Refutations received during the pause may still be in the socket's receive buffer.
    for (auto& [node, since] : m_suspectedSince)
        since = now;
}

void FailureDetector::tick(Instant now, Random& random, std::vector<DetectorAction>& actions)
{
    checkProbe(now, random, actions);
    declareDead(now, actions);
    if (!m_probe && now >= m_nextProbe)
        startProbe(now, random, actions);
}

Instant FailureDetector::nextWake() const
{
    Instant next = m_nextProbe;
    if (m_probe && !m_probe->isAnswered)
        next = m_probe->isIndirect ? m_probe->deadline : m_probe->directDeadline;
    else if (m_probe)
        next = m_probe->deadline;
    for (auto& [node, since] : m_suspectedSince)
        next = std::min(next, since + scaledByHealth(m_options.suspicionTime));
    return next;
}

void FailureDetector::checkProbe(Instant now, Random& random, std::vector<DetectorAction>& actions)
{
    if (!m_probe)
        return;
    if (now >= m_probe->deadline) {
        endProbe(now, actions);
        return;
    }
    if (m_probe->isAnswered || m_probe->isIndirect || now < m_probe->directDeadline)
        return;
    m_probe->isIndirect = true;
    auto relays = selectRelays(m_probe->node, random);
    m_probe->hasRelays = !relays.empty();
    if (m_probe->hasRelays) {
        actions.push_back(
            ProbeIndirectly { .node = m_probe->node, .sequence = m_probe->sequence, .relays = std::move(relays) });
    }
}

void FailureDetector::endProbe(Instant now, std::vector<DetectorAction>& actions)
{
    Probe probe = *m_probe;
    m_probe.reset();
    m_nextProbe = now;
    if (probe.isAnswered)
        return;
    bool hasReceivedNothing = m_lastMessageAt < probe.started;
    if (probe.hasRelays && hasReceivedNothing)
        m_healthPenalty = std::min(m_healthPenalty + 1, m_options.maximumHealthPenalty);
    actions.push_back(SuspectMember { .node = probe.node });
    startSuspicion(probe.node, now);
}

void FailureDetector::startProbe(Instant now, Random& random, std::vector<DetectorAction>& actions)
{
    auto node = nextMember(random);
    if (!node) {
        m_nextProbe = now + m_options.probeInterval;
        return;
    }
    m_probe = Probe { .node = *node,
        .sequence = nextSequence(),
        .directDeadline = now + scaledByHealth(m_options.directTimeout),
        .deadline = now + scaledByHealth(m_options.probeInterval),
        .started = now };
    actions.push_back(ProbeMember { .node = *node, .sequence = m_probe->sequence });
}

std::optional<NodeId> FailureDetector::nextMember(Random& random)
{
    if (m_members.empty())
        return std::nullopt;
    if (m_round.empty()) {
        m_round = m_members;
        for (size_t n = m_round.size(); n > 1; --n)
            std::swap(m_round[n - 1], m_round[random.below(n)]);
    }
    NodeId node = m_round.back();
    m_round.pop_back();
    return node;
}

std::vector<NodeId> FailureDetector::selectRelays(NodeId probed, Random& random) const
{
    std::vector<NodeId> relays;
    // Extra draws make up for those that hit the probed member, a suspected member or a relay already selected.
    for (uint32_t draws = 0; draws < 4 * m_options.indirectProbes && relays.size() < m_options.indirectProbes;
         ++draws) {
        NodeId it = m_members[random.below(m_members.size())];
        bool isUsable = it != probed && !m_suspectedSince.contains(it);
        if (isUsable && std::ranges::find(relays, it) == relays.end())
            relays.push_back(it);
    }
    return relays;
}

void FailureDetector::declareDead(Instant now, std::vector<DetectorAction>& actions)
{
    std::vector<NodeId> dead;
    for (auto& [node, since] : m_suspectedSince) {
        if (now - since >= scaledByHealth(m_options.suspicionTime))
            dead.push_back(node);
    }
    std::ranges::sort(dead);
    for (NodeId it : dead) {
        m_suspectedSince.erase(it);
        actions.push_back(DeclareDead { .node = it });
    }
}

} // namespace Berylport
