// Schedules requests to the source, retries and peer fetches by the age of the last confirmation.
#include "Configuration/SourceFollower.h"

#include <algorithm>
#include <utility>

namespace Berylport {

namespace {

// Requests that are late and still remembered; older ones are dropped.
constexpr size_t maximumLateRequests = 4;

} // namespace

void SourceFollower::start(Instant now, std::vector<FollowerAction>& actions) { ask({}, now, actions); }

void SourceFollower::ask(Duration wait, Instant now, std::vector<FollowerAction>& actions)
{
    m_retryAt.reset();
    // The source may have truncated its history by then; reading the full document also costs only one call.
    if (m_positionAt && now - *m_positionAt > m_options.positionLifetime)
        m_position.reset();
    if (!m_position)
        wait = {};
    Duration allowed = std::clamp(2 * m_answerTime, m_options.minimumAnswerTime, m_options.maximumAnswerTime);
    m_request = { .number = ++m_lastNumber,
        .position = m_position,
        .askedAt = now,
        .wait = wait,
        .isRead = !m_position,
        .dueAt = now + wait + allowed };
    if (m_position)
        actions.push_back(FollowSource { .number = m_lastNumber, .position = *m_position, .wait = wait });
    else
        actions.push_back(ReadSource { .number = m_lastNumber });
}

void SourceFollower::giveUpWaiting()
{
    m_lateRequests.emplace(m_request->number, *m_request);
    if (m_lateRequests.size() > maximumLateRequests)
        m_lateRequests.erase(m_lateRequests.begin());
    m_request.reset();
    m_isFollowing = false;
}

void SourceFollower::recordAnswerTime(const Request& request, Instant now)
{
    Duration elapsed = now - request.askedAt;
    // A response before the end of the wait tells of a change and may have come at any moment of it.
    if (elapsed >= request.wait)
        m_answerTime = elapsed - request.wait;
}

void SourceFollower::readClock(Duration sourceTime, Instant askedAt)
{
    if (std::exchange(m_sourceTime, sourceTime) > sourceTime) {
        m_clockOffset.reset();
        m_confirmation.reset();
    }
    auto known = timeOf(sourceTime, askedAt);
    if (known && *known >= askedAt)
        return;
    m_clockOffset = askedAt.time_since_epoch() - sourceTime;
    m_clockReadAt = askedAt;
}

std::optional<Instant> SourceFollower::timeOf(std::optional<Duration> sourceTime, Instant now) const
{
    if (!sourceTime || !m_clockOffset)
        return std::nullopt;
    auto drift = static_cast<double>((now - m_clockReadAt).count()) * m_options.clockDrift;
    return Instant(*sourceTime + *m_clockOffset - Duration(static_cast<int64_t>(drift)));
}

Instant SourceFollower::answeredAt(const Request& request, const SourcePosition& position, Instant now) const
{
    bool isUnchanged = request.position && position.version <= *request.position;
    Instant earliest = isUnchanged ? request.askedAt + request.wait : request.askedAt;
    if (auto known = timeOf(position.time, now))
        earliest = std::max(earliest, *known);
    return std::min(earliest, now);
}

void SourceFollower::confirm(const SourceConfirmation& confirmation)
{
    bool isKnown = m_confirmation && confirmation.sourceTime && m_confirmation->sourceTime
        && *confirmation.sourceTime <= *m_confirmation->sourceTime;
    if (isKnown || (m_confirmation && m_confirmation->at >= confirmation.at))
        return;
    m_confirmation = confirmation;
    auto spread = static_cast<double>((m_options.maximumConfirmationAge - m_options.minimumAskAge).count());
    m_askAge = m_options.minimumAskAge + Duration(static_cast<int64_t>(m_random.unit() * spread));
}

bool SourceFollower::isFollowedByPreferred(Instant now) const
{
    return m_preferredConfirmedAt && now - *m_preferredConfirmedAt < m_options.minimumAskAge;
}

void SourceFollower::sourceAnswered(
    SourceRequestNumber number, const SourcePosition& position, Instant now, std::vector<FollowerAction>& actions)
{
    auto late = m_lateRequests.find(number);
    if (late != m_lateRequests.end()) {
        // A later request may already have told another era, so nothing but the answer time is taken from this one.
        recordAnswerTime(late->second, now);
        m_lateRequests.erase(late);
        return;
    }
    if (!m_request || m_request->number != number)
        return;
    Request request = *m_request;
    m_request.reset();
    recordAnswerTime(request, now);
    m_failures = 0;
    m_retryAt.reset();
    bool isRestored = position.era && position.era != m_era;
    if (isRestored) {
        m_era = position.era;
        m_position.reset();
    }
    // The request named a version of the earlier era, so changes of this era below that version may be missing.
    if (isRestored && !request.isRead) {
        ask({}, now, actions);
        return;
    }
    m_position = std::max(position.version, m_position.value_or(0));
    m_positionAt = now;
    if (position.time)
        readClock(*position.time, request.askedAt);
    confirm({ .at = answeredAt(request, position, now), .reader = m_options.self, .sourceTime = position.time });
    m_isFollowing = !std::exchange(m_isStarting, false) && !isFollowedByPreferred(now);
    actions.push_back(AnnounceConfirmation {});
    if (m_isFollowing)
        ask(std::max(m_options.confirmationInterval - m_answerTime, Duration::zero()), now, actions);
}

void SourceFollower::historyTruncated(SourceRequestNumber number, Instant now)
{
    m_lateRequests.erase(number);
    if (!m_request || m_request->number != number)
        return;
    m_request.reset();
    m_position.reset();
    // A read right after the truncation may return the same outdated position, so the next one is delayed.
    m_retryAt = now + m_options.initialRetryDelay;
}

void SourceFollower::sourceFailed(SourceRequestNumber number, Instant now)
{
    m_lateRequests.erase(number);
    if (!m_request || m_request->number != number)
        return;
    m_request.reset();
    m_isFollowing = false;
    retryLater(now);
}

void SourceFollower::retryLater(Instant now)
{
    Duration wait = m_options.initialRetryDelay * (1 << std::min<uint32_t>(m_failures, 10));
    wait = std::min(wait, m_options.maximumRetryDelay);
    ++m_failures;
    // Jitter: half to the whole of the delay, so that the nodes of a fleet do not retry simultaneously.
    m_retryAt
        = now + wait / 2 + Duration(static_cast<int64_t>(m_random.unit() * static_cast<double>(wait.count()) / 2));
}

void SourceFollower::resumedAfterPause()
{
    m_confirmation.reset();
    m_announced.reset();
    m_preferredConfirmedAt.reset();
    if (m_request)
        giveUpWaiting();
}

void SourceFollower::peerReported(const PeerReport& report, Instant now, std::vector<FollowerAction>& actions)
{
    auto [node, version, confirmation, announcesHere] = report;
    if (confirmation) {
        // A time to come is of another clock, that of the source before a restart.
        if (auto known = timeOf(confirmation->sourceTime, now); known && *known > now)
            confirmation->sourceTime.reset();
        else if (known)
            confirmation->at = std::min(confirmation->at, *known);
        if (announcesHere && confirmation->reader == node && node < m_options.self)
            m_preferredConfirmedAt = std::max(m_preferredConfirmedAt.value_or(confirmation->at), confirmation->at);
        // A peer that confirms an older version than the held one has asked before the newer one was accepted.
        if (version == m_version)
            confirm(*confirmation);
        if (version > m_version && version >= m_announcedVersion) {
            m_announced = confirmation;
            m_announcedVersion = version;
        }
    }
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
    if (m_announced && m_announcedVersion <= version)
        confirm(*std::exchange(m_announced, std::nullopt));
    return true;
}

void SourceFollower::tick(Instant now, std::vector<FollowerAction>& actions)
{
    if (m_request && now >= m_request->dueAt) {
        giveUpWaiting();
        // The connection may have gone silent while the source still responds to new ones.
        if (!m_failures)
            ++m_failures;
        else
            retryLater(now);
    }
    if (m_request || now < nextWake())
        return;
    ask({}, now, actions);
}

Instant SourceFollower::nextWake() const
{
    if (m_request)
        return m_request->dueAt;
    Instant due = m_retryAt.value_or(Instant());
    return m_confirmation ? std::max(due, m_confirmation->at + m_askAge) : due;
}

} // namespace Berylport
