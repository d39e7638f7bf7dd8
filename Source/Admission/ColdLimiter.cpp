// Sliding window over the latest starts.
#include "Admission/ColdLimiter.h"

#include <algorithm>
#include <utility>

namespace Berylport {

namespace {

constexpr Duration window = std::chrono::seconds(1);
// Bounds the window at rates just above zero, and the memory at high ones.
constexpr Duration maximumWindow = std::chrono::hours(1);
constexpr size_t maximumAllowance = 100'000;
constexpr size_t maximumStarts = 2 * maximumAllowance;

Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

void ColdLimiter::setBound(double requestsPerSecond, Duration coldTime)
{
    m_rate = std::max(0.0, requestsPerSecond);
    m_coldTime = coldTime;
    m_window = window;
    if (m_rate > 0 && m_rate < 1) {
        bool isBounded = m_rate * std::chrono::duration<double>(maximumWindow).count() > 1;
        m_window = isBounded ? toDuration(1 / m_rate) : maximumWindow;
    }
    if (m_assumedColdAt)
        m_coldUntil = std::max(m_coldUntil, *m_assumedColdAt + m_coldTime);
    if (m_earlierStartsAt && m_rate > 0)
        m_starts.insert(m_starts.begin(), allowance() / 2, *std::exchange(m_earlierStartsAt, std::nullopt));
}

void ColdLimiter::assumeCold(Instant now)
{
    m_assumedColdAt = now;
    m_coldUntil = std::max(m_coldUntil, now + m_coldTime);
}

void ColdLimiter::setColdFor(Duration coldFor, Instant now)
{
    m_assumedColdAt.reset();
    m_coldUntil = now + coldFor;
}

void ColdLimiter::extendColdFor(Duration coldFor, Instant now) { m_coldUntil = std::max(m_coldUntil, now + coldFor); }

size_t ColdLimiter::allowance() const
{
    auto n = static_cast<size_t>(std::min(m_rate, static_cast<double>(maximumAllowance)));
    return std::max<size_t>(n, 1);
}

void ColdLimiter::forgetOldStarts(Instant now)
{
    while (!m_starts.empty() && (m_starts.front() + m_window <= now || m_starts.size() > maximumStarts))
        m_starts.pop_front();
}

bool ColdLimiter::mayStart(Instant now) const { return !isInForce(now) || nextStartAt() <= now; }

void ColdLimiter::recordStart(Instant now)
{
    m_starts.push_back(now);
    forgetOldStarts(now);
}

void ColdLimiter::revokeStart(Instant startedAt)
{
    auto it = std::ranges::lower_bound(m_starts, startedAt);
    if (it != m_starts.end() && *it == startedAt)
        m_starts.erase(it);
}

Instant ColdLimiter::nextStartAt() const
{
    size_t n = allowance();
    if (!(m_rate > 0) || m_starts.size() < n)
        return {};
    return std::min(m_starts[m_starts.size() - n] + m_window, m_coldUntil);
}

Duration ColdLimiter::waitFor(size_t calls, Instant now) const
{
    if (!isInForce(now) || !calls)
        return {};
    size_t n = allowance();
    size_t rounds = (calls - 1) / n;
    size_t rest = (calls - 1) % n;
    // The start that has to leave the window for the last of these calls; the calls before it follow in its place.
    size_t index = m_starts.size() + rest;
    Instant freedAt = index < n ? now : std::max(now, m_starts[index - n] + m_window);
    Duration wait = freedAt - now + static_cast<int64_t>(rounds) * m_window;
    // The limit ends with the cold time, whatever waits.
    return std::min(wait, m_coldUntil - now);
}

Duration ColdLimiter::interval(Instant now) const
{
    return isInForce(now) ? m_window / static_cast<int64_t>(allowance()) : Duration();
}

} // namespace Berylport
