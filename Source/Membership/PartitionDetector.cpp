// Evaluates the responses of a partition check.
#include "Membership/PartitionDetector.h"

namespace Berylport {

void PartitionDetector::reset()
{
    m_consecutiveProbeFailures = 0;
    m_isRunning = false;
}

bool PartitionDetector::isDue(Instant now) const
{
    bool isSuspicious = m_isCutOff || m_consecutiveProbeFailures >= m_options.failedProbeThreshold;
    return isSuspicious && !m_isRunning && now >= m_nextCheck;
}

void PartitionDetector::begin(Instant now)
{
    m_isRunning = true;
    m_deadline = now + m_options.responseTimeout;
    m_ownZone = {};
    m_otherZones = {};
    m_pendingOwnZone.clear();
    m_pendingOtherZones.clear();
}

void PartitionDetector::addQuery(uint64_t sequence, bool isOwnZone)
{
    ++(isOwnZone ? m_ownZone : m_otherZones).queried;
    (isOwnZone ? m_pendingOwnZone : m_pendingOtherZones).insert(sequence);
}

void PartitionDetector::recordResponse(uint64_t sequence)
{
    if (!m_isRunning)
        return;
    m_ownZone.responded += m_pendingOwnZone.erase(sequence);
    m_otherZones.responded += m_pendingOtherZones.erase(sequence);
}

bool PartitionDetector::hasLostContact() const
{
    if (!m_ownZone.queried && !m_otherZones.queried)
        return false;
    bool isOwnZoneLost = 2 * m_ownZone.responded < m_ownZone.queried || !m_ownZone.queried;
    return isOwnZoneLost && !m_otherZones.responded;
}

bool PartitionDetector::completeIfDone(Instant now)
{
    if (!m_isRunning)
        return false;
    bool haveAllAnswered = m_pendingOwnZone.empty() && m_pendingOtherZones.empty();
    if (!haveAllAnswered && now < m_deadline)
        return false;
    m_isRunning = false;
    m_consecutiveProbeFailures = 0;
    m_nextCheck = now + m_options.recheckInterval;
    bool wasCutOff = m_isCutOff;
    m_isCutOff = hasLostContact();
    return wasCutOff != m_isCutOff;
}

} // namespace Berylport
