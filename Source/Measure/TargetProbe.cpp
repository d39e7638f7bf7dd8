// A health endpoint can lag or mislead, so alone it changes nothing: call results have to agree with it.
#include "Measure/TargetProbe.h"

#include <algorithm>

namespace Berylport {

void TargetProbe::noteReadStarted(Instant now, Duration minimumInterval)
{
    m_interval = std::clamp(minimumInterval, m_options.interval, m_options.maximumInterval);
    m_nextRead = now + m_interval;
}

void TargetProbe::noteReadRefused(Instant now)
{
    m_interval = std::min(m_interval * 2, m_options.maximumInterval);
    m_nextRead = now + m_interval;
}

// A good result withdraws a bad one, but a lowered standing rises only by successful calls.
void TargetProbe::noteHealth(HealthResult result, Instant now)
{
    if (result == HealthResult::Good) {
        m_badHealthAt.reset();
        return;
    }
    m_badHealthAt = now;
    lowerWhenAgreed(now);
}

void TargetProbe::noteCallSucceeded(Instant)
{
    m_successesInRow++;
    if (m_successesInRow < m_options.successesToRaise)
        return;
    m_standing = TargetStanding::Normal;
    m_failures = 0;
}

void TargetProbe::noteCallFailed(Instant now)
{
    m_failures = isRecent(m_callFailedAt, now) ? m_failures + 1 : 1;
    m_callFailedAt = now;
    m_successesInRow = 0;
    lowerWhenAgreed(now);
}

bool TargetProbe::isRecent(const std::optional<Instant>& at, Instant now) const
{
    return at && now - *at <= m_options.memory;
}

void TargetProbe::lowerWhenAgreed(Instant now)
{
    bool callsFail = isRecent(m_callFailedAt, now) && m_failures >= m_options.failuresToLower;
    if (callsFail && isRecent(m_badHealthAt, now))
        m_standing = TargetStanding::Lowered;
}

} // namespace Berylport
