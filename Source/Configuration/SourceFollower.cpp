#include "Configuration/SourceFollower.h"

#include <algorithm>

namespace Berylport {

void SourceFollower::start(Instant, std::vector<FollowerAction>& actions) { actions.push_back(ReadSource {}); }

void SourceFollower::sourceAnswered(uint64_t position, Instant now, std::vector<FollowerAction>& actions)
{
    m_failures = 0;
    m_sourceAnswered = now;
    m_retryAt.reset();
    m_position = std::max(position, m_position.value_or(0));
    if (m_isReader) {
        actions.push_back(FollowSource { .position = *m_position, .wait = m_options.followWait });
        return;
    }
    pollLater(now);
}

void SourceFollower::pollLater(Instant now)
{
    // Three quarters to whole of the time, so that nodes that started together do not ask together.
    m_retryAt = now + m_options.pollInterval * 3 / 4
        + Duration(static_cast<int64_t>(m_random.unit() * static_cast<double>(m_options.pollInterval.count()) / 4));
    m_isWaiting = true;
}

bool SourceFollower::isPollNeedless(Instant now) const
{
    bool isAmongPeers = m_peerHeard && now - *m_peerHeard < m_options.peerMemory;
    bool isRecent = m_sourceAnswered && now - *m_sourceAnswered < m_options.pollIntervalAmongPeers;
    return !m_isReader && m_isWaiting && isAmongPeers && isRecent;
}

void SourceFollower::setReader(bool isReader, Instant now)
{
    if (isReader && !m_isReader && m_isWaiting)
        m_retryAt = now;
    m_isReader = isReader;
}

void SourceFollower::historyLost(Instant now, std::vector<FollowerAction>&)
{
    m_position.reset();
    // A read just after the loss may be as old as the position that was lost, so the next one is not made at once.
    m_retryAt = now + m_options.firstRetry;
}

void SourceFollower::sourceFailed(Instant now)
{
    Duration wait = m_options.firstRetry * (1 << std::min<uint32_t>(m_failures, 10));
    wait = std::min(wait, m_options.maximumRetry);
    ++m_failures;
    // Half to whole of the time, so that the nodes of a fleet do not return to the source together.
    m_retryAt
        = now + wait / 2 + Duration(static_cast<int64_t>(m_random.unit() * static_cast<double>(wait.count()) / 2));
}

void SourceFollower::peerHolds(NodeId node, uint64_t version, Instant now, std::vector<FollowerAction>& actions)
{
    // A peer without a configuration knows nothing of the source.
    if (version)
        m_peerHeard = now;
    bool isWaiting = m_isFetching && now < m_fetchDeadline;
    if (version <= m_version || isWaiting)
        return;
    m_isFetching = true;
    m_fetchDeadline = now + m_options.fetchLimit;
    actions.push_back(FetchFromPeer { .node = node });
}

void SourceFollower::fetchEnded() { m_isFetching = false; }

bool SourceFollower::adopt(uint64_t version)
{
    if (version <= m_version)
        return false;
    m_version = version;
    return true;
}

void SourceFollower::tick(Instant now, std::vector<FollowerAction>& actions)
{
    if (!m_retryAt || now < *m_retryAt)
        return;
    if (isPollNeedless(now)) {
        pollLater(now);
        return;
    }
    m_retryAt.reset();
    m_isWaiting = false;
    // The history may be gone by then; the document as a whole costs one call as well.
    if (m_sourceAnswered && now - *m_sourceAnswered > 2 * m_options.pollInterval)
        m_position.reset();
    if (m_position)
        actions.push_back(
            FollowSource { .position = *m_position, .wait = m_isReader ? m_options.followWait : Duration::zero() });
    else
        actions.push_back(ReadSource {});
}

} // namespace Berylport
