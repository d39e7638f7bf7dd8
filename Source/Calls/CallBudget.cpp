// Token buckets for extra attempts.
#include "Calls/CallBudget.h"

#include <algorithm>

namespace Berylport {

CallBudget::CallBudget(Options options)
    : m_options(options)
    , m_floorTokens(options.floorBurst)
{
}

void CallBudget::noteCall() { m_shareTokens = std::min(m_shareTokens + m_options.share, m_options.shareBurst); }

void CallBudget::refill(Instant now)
{
    std::chrono::duration<double> elapsed = std::max(now - m_refilledAt, Duration::zero());
    m_floorTokens = std::min(m_floorTokens + m_options.floorPerSecond * elapsed.count(), m_options.floorBurst);
    m_refilledAt = std::max(now, m_refilledAt);
}

bool CallBudget::tryTake(Instant now)
{
    refill(now);
    if (m_shareTokens < 1 && m_floorTokens < 1)
        return false;
    m_shareTokens = std::max(m_shareTokens - 1, -m_options.shareBurst);
    m_floorTokens = std::max(m_floorTokens - 1, -m_options.floorBurst);
    return true;
}

} // namespace Berylport
