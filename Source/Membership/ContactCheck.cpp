// The rule by which a node finds itself on the small side of a cut.
#include "Membership/ContactCheck.h"

namespace Berylport {

void ContactCheck::reset()
{
    m_missedInARow = 0;
    m_isRunning = false;
}

bool ContactCheck::isDue(Instant now) const
{
    bool isSuspicious = m_isCutOff || m_missedInARow >= m_options.missedProbes;
    return isSuspicious && !m_isRunning && now >= m_nextCheck;
}

void ContactCheck::begin(Instant now)
{
    m_isRunning = true;
    m_deadline = now + m_options.answerLimit;
    m_ownZone = {};
    m_otherZones = {};
    m_waitingOwnZone.clear();
    m_waitingOtherZones.clear();
}

void ContactCheck::asked(uint64_t sequence, bool isOwnZone)
{
    ++(isOwnZone ? m_ownZone : m_otherZones).asked;
    (isOwnZone ? m_waitingOwnZone : m_waitingOtherZones).insert(sequence);
}

void ContactCheck::answered(uint64_t sequence)
{
    if (!m_isRunning)
        return;
    m_ownZone.answered += m_waitingOwnZone.erase(sequence);
    m_otherZones.answered += m_waitingOtherZones.erase(sequence);
}

bool ContactCheck::hasLostContact() const
{
    if (!m_ownZone.asked && !m_otherZones.asked)
        return false;
    bool isOwnZoneLost = 2 * m_ownZone.answered < m_ownZone.asked || !m_ownZone.asked;
    return isOwnZoneLost && !m_otherZones.answered;
}

bool ContactCheck::finishIfOver(Instant now)
{
    if (!m_isRunning)
        return false;
    bool haveAllAnswered = m_waitingOwnZone.empty() && m_waitingOtherZones.empty();
    if (!haveAllAnswered && now < m_deadline)
        return false;
    m_isRunning = false;
    m_missedInARow = 0;
    m_nextCheck = now + m_options.repeatInterval;
    bool wasCutOff = m_isCutOff;
    m_isCutOff = hasLostContact();
    return wasCutOff != m_isCutOff;
}

} // namespace Berylport
