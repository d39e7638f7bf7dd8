// Accounting of the token bucket.
#include "Admission/RequestLimiter.h"

#include <algorithm>
#include <cmath>

namespace Berylport {

namespace {

// Bounds the waits at limits of zero and just above.
constexpr Duration maximumWait = std::chrono::hours(1);
// Absorbs rounding: a wait is rounded up to microseconds, so a token is complete when it ends.
constexpr double tokenTolerance = 1e-6;

double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

Duration timeFor(double requests, double rate)
{
    if (requests <= 0)
        return Duration::zero();
    double seconds = requests / rate;
    if (!(seconds < toSeconds(maximumWait)))
        return maximumWait;
    return Duration(static_cast<int64_t>(std::ceil(seconds * 1e6)));
}

} // namespace

bool RequestLimiter::recordAnswer(std::optional<double> limit, Instant sentAt, Instant now)
{
    if (!limit && sentAt < m_namedAt)
        return false;
    if (limit)
        m_namedAt = now;
    if (limit == m_limit)
        return false;
    double tokens = m_limit ? tokensAt(now) : 0;
    m_limit = limit;
    setTokens(tokens, now);
    return true;
}

void RequestLimiter::reset()
{
    m_limit.reset();
    m_namedAt = {};
}

double RequestLimiter::capacity() const { return std::max(1.0, m_limit.value_or(0) * toSeconds(m_options.burstTime)); }

double RequestLimiter::tokensAt(Instant now) const
{
    double elapsed = std::max(0.0, toSeconds(now - m_updatedAt));
    return std::min(capacity(), m_tokens + elapsed * m_limit.value_or(0));
}

void RequestLimiter::setTokens(double tokens, Instant now)
{
    m_tokens = std::clamp(tokens, -1.0, capacity());
    m_updatedAt = now;
}

bool RequestLimiter::mayStart(Instant now) const { return !m_limit || tokensAt(now) >= 1 - tokenTolerance; }

void RequestLimiter::recordStart(Instant now)
{
    if (m_limit)
        setTokens(tokensAt(now) - 1, now);
}

void RequestLimiter::revokeStart(Instant now)
{
    if (m_limit)
        setTokens(tokensAt(now) + 1, now);
}

Instant RequestLimiter::nextStartAt() const
{
    return m_limit ? m_updatedAt + timeFor(1 - m_tokens, *m_limit) : m_updatedAt;
}

Duration RequestLimiter::waitFor(size_t requests, Instant now) const
{
    if (!m_limit)
        return {};
    return timeFor(static_cast<double>(requests) - tokensAt(now), *m_limit);
}

Duration RequestLimiter::interval() const { return m_limit ? timeFor(1, *m_limit) : Duration(); }

} // namespace Berylport
