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

void FailureDetector::suspected(NodeId node, Instant now) { m_suspectedSince.try_emplace(node, now); }

void FailureDetector::cleared(NodeId node) { m_suspectedSince.erase(node); }

void FailureDetector::answered(NodeId node, uint64_t sequence)
{
    if (!m_probe || m_probe->node != node || m_probe->sequence != sequence || m_probe->isAnswered)
        return;
    m_probe->isAnswered = true;
    if (m_slowness)
        --m_slowness;
}

void FailureDetector::paused(Instant now)
{
    m_probe.reset();
    m_nextProbe = now;
    m_slowness = std::min(m_slowness + 1, m_options.maximumSlowness);
    // Refutations may still wait in the socket's buffer.
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
        next = std::min(next, since + stretched(m_options.suspicionTime));
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
    auto helpers = chooseHelpers(m_probe->node, random);
    m_probe->hasHelpers = !helpers.empty();
    if (m_probe->hasHelpers) {
        actions.push_back(
            ProbeThroughOthers { .node = m_probe->node, .sequence = m_probe->sequence, .helpers = std::move(helpers) });
    }
}

void FailureDetector::endProbe(Instant now, std::vector<DetectorAction>& actions)
{
    Probe probe = *m_probe;
    m_probe.reset();
    m_nextProbe = now;
    if (probe.isAnswered)
        return;
    bool hasHeardNothing = m_lastHeard < probe.started;
    if (probe.hasHelpers && hasHeardNothing)
        m_slowness = std::min(m_slowness + 1, m_options.maximumSlowness);
    actions.push_back(SuspectMember { .node = probe.node });
    suspected(probe.node, now);
}

void FailureDetector::startProbe(Instant now, Random& random, std::vector<DetectorAction>& actions)
{
    auto node = nextMember(random);
    if (!node) {
        m_nextProbe = now + m_options.probeInterval;
        return;
    }
    m_probe = Probe { .node = *node,
        .sequence = takeSequence(),
        .directDeadline = now + stretched(m_options.directTimeout),
        .deadline = now + stretched(m_options.probeInterval),
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

std::vector<NodeId> FailureDetector::chooseHelpers(NodeId probed, Random& random) const
{
    std::vector<NodeId> helpers;
    // A few extra draws replace those that hit the probed member or a helper twice.
    for (uint32_t draws = 0; draws < 4 * m_options.indirectProbes && helpers.size() < m_options.indirectProbes;
         ++draws) {
        NodeId it = m_members[random.below(m_members.size())];
        bool isUsable = it != probed && !m_suspectedSince.contains(it);
        if (isUsable && std::ranges::find(helpers, it) == helpers.end())
            helpers.push_back(it);
    }
    return helpers;
}

void FailureDetector::declareDead(Instant now, std::vector<DetectorAction>& actions)
{
    std::vector<NodeId> dead;
    for (auto& [node, since] : m_suspectedSince) {
        if (now - since >= stretched(m_options.suspicionTime))
            dead.push_back(node);
    }
    std::ranges::sort(dead);
    for (NodeId it : dead) {
        m_suspectedSince.erase(it);
        actions.push_back(DeclareDead { .node = it });
    }
}

} // namespace Berylport
