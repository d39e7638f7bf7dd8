// Token bucket arithmetic.
#include "Store/WriteBudget.h"

#include <algorithm>
#include <cmath>

namespace Berylport {

namespace {

constexpr double microsecondsPerSecond = 1e6;

} // namespace

WriteBudget::WriteBudget(WriteBudgetOptions options)
    : m_perSecond(options.fleetWritesPerSecond * options.share)
    , m_capacity(std::max(1.0, m_perSecond * static_cast<double>(options.burst.count()) / microsecondsPerSecond))
    , m_tokens(m_capacity)
{
}

void WriteBudget::refill(Instant now)
{
    if (!m_isStarted) {
        m_isStarted = true;
        m_refilledAt = now;
    }
    if (now <= m_refilledAt)
        return;
    auto seconds = static_cast<double>((now - m_refilledAt).count()) / microsecondsPerSecond;
    m_tokens = std::min(m_capacity, m_tokens + seconds * m_perSecond);
    m_refilledAt = now;
}

bool WriteBudget::take(Instant now, double writes)
{
    refill(now);
    if (m_tokens < writes)
        return false;
    m_tokens -= writes;
    return true;
}

Duration WriteBudget::waitTime(Instant now, double writes)
{
    refill(now);
    if (m_tokens >= writes)
        return {};
    // An unlimited wait is reported as an hour.
    constexpr Duration longest = std::chrono::hours(1);
    if (m_perSecond <= 0 || writes > m_capacity)
        return longest;
    auto microseconds = std::ceil((writes - m_tokens) / m_perSecond * microsecondsPerSecond);
    return std::min(longest, Duration(static_cast<int64_t>(microseconds) + 1));
}

} // namespace Berylport
