// Prevents a node with a possibly stale configuration from serving.
#include "Configuration/ConfirmationGuard.h"

namespace Berylport {

void ConfirmationGuard::requireComparison(Instant now)
{
    m_isConfirmed = false;
    m_requiredSince = now;
}

void ConfirmationGuard::paused(Duration gap, Instant now)
{
    if (gap >= m_options.pauseLimit)
        requireComparison(now);
}

void ConfirmationGuard::contactChanged(bool isCutOff, Instant now)
{
    if (isCutOff == m_isCutOff)
        return;
    m_isCutOff = isCutOff;
    m_cutOffSince = now;
    // Changes may have been accepted without this node while it was cut off.
    if (!isCutOff)
        requireComparison(now);
}

void ConfirmationGuard::storeHeadRead(uint64_t head, uint64_t ownVersion, Instant askedAt, Instant now)
{
    if (ownVersion < head)
        return;
    m_lastStoreContact = now;
    if (askedAt >= m_requiredSince)
        m_isConfirmed = true;
}

void ConfirmationGuard::peerVersionRead(uint64_t peerVersion, uint64_t ownVersion, Instant askedAt)
{
    if (ownVersion >= peerVersion && askedAt >= m_requiredSince)
        m_isConfirmed = true;
}

GuardState ConfirmationGuard::state(Instant now) const
{
    if (!m_isConfirmed)
        return GuardState::Unconfirmed;
    if (!m_isCutOff || now - m_cutOffSince < m_options.storeContactLimit)
        return GuardState::Confirmed;
    bool hasStore = m_lastStoreContact && now - *m_lastStoreContact < m_options.storeContactLimit;
    return hasStore ? GuardState::Confirmed : GuardState::Isolated;
}

} // namespace Berylport
