// Schedules long polls, retries and peer fetches.
#include "Configuration/SourceFollower.h"

#include <algorithm>

namespace Berylport {

void SourceFollower::start(Instant, std::vector<FollowerAction>& actions) { read(actions); }

void SourceFollower::read(std::vector<FollowerAction>& actions)
{
    m_isFollowing = false;
    actions.push_back(ReadSource {});
}

void SourceFollower::follow(Duration wait, std::vector<FollowerAction>& actions)
{
    m_isFollowing = true;
    actions.push_back(FollowSource { .position = *m_position, .wait = wait });
}

void SourceFollower::sourceAnswered(const SourcePosition& position, Instant now, std::vector<FollowerAction>& actions)
{
    m_failures = 0;
    m_lastSourceResponseAt = now;
    m_retryAt.reset();
    // One request is in flight at a time, so this response is newer than the one that told the other era.
    bool isRestored = position.era && position.era != m_era;
    if (isRestored) {
        m_era = position.era;
        m_position.reset();
    }
    // The request named a version of the earlier era, so changes of this era below that version may be missing.
    if (isRestored && m_isFollowing) {
        read(actions);
        return;
    }
    m_position = std::max(position.version, m_position.value_or(0));
    if (m_isReader) {
        follow(m_options.longPollTimeout, actions);
        return;
    }
    schedulePoll(now);
}

void SourceFollower::schedulePoll(Instant now)
{
    // Jitter: three quarters to the whole of the interval, so that nodes that started together do not poll together.
    m_retryAt = now + m_options.pollInterval * 3 / 4
        + Duration(static_cast<int64_t>(m_random.unit() * static_cast<double>(m_options.pollInterval.count()) / 4));
    m_isPollScheduled = true;
}

bool SourceFollower::canSkipPoll(Instant now) const
{
    bool isAmongPeers = m_lastPeerReportAt && now - *m_lastPeerReportAt < m_options.peerVersionLifetime;
    bool isRecent = m_lastSourceResponseAt && now - *m_lastSourceResponseAt < m_options.pollIntervalWithPeers;
    return !m_isReader && m_isPollScheduled && isAmongPeers && isRecent;
}

void SourceFollower::setReader(bool isReader, Instant now)
{
    if (isReader && !m_isReader && m_isPollScheduled)
        m_retryAt = now;
    m_isReader = isReader;
}

void SourceFollower::historyTruncated(Instant now, std::vector<FollowerAction>&)
{
    m_position.reset();
    // A read right after the truncation may return the same outdated position, so the next one is delayed.
    m_retryAt = now + m_options.initialRetryDelay;
}

void SourceFollower::sourceFailed(Instant now)
{
    Duration wait = m_options.initialRetryDelay * (1 << std::min<uint32_t>(m_failures, 10));
    wait = std::min(wait, m_options.maximumRetryDelay);
    ++m_failures;
    // Jitter: half to the whole of the delay, so that the nodes of a fleet do not retry simultaneously.
    m_retryAt
        = now + wait / 2 + Duration(static_cast<int64_t>(m_random.unit() * static_cast<double>(wait.count()) / 2));
}

void SourceFollower::peerVersionReported(
    NodeId node, uint64_t version, Instant now, std::vector<FollowerAction>& actions)
{
    // A peer without a configuration has not reached the source.
    if (version)
        m_lastPeerReportAt = now;
    bool isFetchPending = m_isFetching && now < m_fetchDeadline;
    if (version <= m_version || isFetchPending)
        return;
    m_isFetching = true;
    m_fetchDeadline = now + m_options.fetchTimeout;
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
    if (canSkipPoll(now)) {
        schedulePoll(now);
        return;
    }
    m_retryAt.reset();
    m_isPollScheduled = false;
    // The source may have truncated its history by then; reading the full document also costs only one call.
    if (m_lastSourceResponseAt && now - *m_lastSourceResponseAt > 2 * m_options.pollInterval)
        m_position.reset();
    // After a failure the source may have been restored. Only a response shows its era, so the first request does not
    // wait for a change.
    bool mayWait = m_isReader && !m_failures;
    if (m_position)
        follow(mayWait ? m_options.longPollTimeout : Duration::zero(), actions);
    else
        read(actions);
}

} // namespace Berylport
