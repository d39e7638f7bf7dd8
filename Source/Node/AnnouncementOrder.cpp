// Comparison of target incarnations and announcement sequence numbers.
#include "Node/AnnouncementOrder.h"

namespace Berylport {

AnnouncementFreshness AnnouncementOrder::classify(const TargetAnnouncement& announcement, Instant now)
{
    if (announcement.instance.empty())
        return AnnouncementFreshness::Current;
    TargetIncarnation incarnation { .instance = announcement.instance,
        .startedAtMilliseconds = announcement.startedAtMilliseconds };
    if (m_departed == incarnation)
        return AnnouncementFreshness::Departed;
    bool isSameStart = m_current == incarnation;
    if (isSameStart && announcement.sequence <= m_sequence)
        return AnnouncementFreshness::Stale;
    bool isEarlierStart
        = m_current && !isSameStart && incarnation.startedAtMilliseconds < m_current->startedAtMilliseconds;
    if (isEarlierStart && now - m_renewedAt < m_options.renewalLimit)
        return AnnouncementFreshness::Stale;
    if (isConflicting(announcement, isSameStart, now))
        return AnnouncementFreshness::Conflicting;
    m_service = announcement.service;
    m_isRenewed = isSameStart;
    m_current = std::move(incarnation);
    m_sequence = announcement.sequence;
    m_renewedAt = now;
    return AnnouncementFreshness::Current;
}

bool AnnouncementOrder::isKnown(const ServiceName& service) const
{
    return !m_options.isKnownService || m_options.isKnownService(service);
}

// One start of a target serves one service. A new start may serve another one, but one that nobody names does not
// displace a target that renews its announcements.
bool AnnouncementOrder::isConflicting(const TargetAnnouncement& announcement, bool isSameStart, Instant now) const
{
    if (!m_current || announcement.service == m_service)
        return false;
    bool isWorse = isKnown(m_service) && !isKnown(announcement.service);
    if (isSameStart)
        return isWorse || isKnown(m_service) == isKnown(announcement.service);
    return isWorse && now - m_renewedAt < m_options.renewalLimit;
}

bool AnnouncementOrder::isConfirmed(Instant now) const
{
    bool isOlder = m_current && m_current->startedAtMilliseconds < m_options.startedAtMilliseconds;
    if (!m_options.mayHavePredecessor || !isOlder || m_isRenewed)
        return true;
    return !m_hasStoreFailed && now < graceEnd();
}

std::optional<TargetIncarnation> AnnouncementOrder::withdraw(std::string_view instance)
{
    if (!m_current || m_current->instance != instance)
        return std::nullopt;
    m_departed = m_current;
    return m_departed;
}

} // namespace Berylport
