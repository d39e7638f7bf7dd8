// Token buckets for extra attempts.
#include "Calls/CallBudget.h"

#include <algorithm>

namespace Berylport {

CallBudget::CallBudget(Options options)
    : m_options(options)
    , m_floorTokens(options.floorBurst)
{
}

CallBudget::Options CallBudget::partOf(const FleetBudget& fleet, size_t nodes)
{
    constexpr double savedShare = 0.5;
    constexpr double steadyShare = 0.2;
    double part = fleet.extra / static_cast<double>(std::max<size_t>(nodes, 1));
    double seconds = std::max(std::chrono::duration<double>(fleet.window).count(), 1.0);
    // Below one token nothing could ever be spent.
    double burst = std::max(savedShare * part, 1.0);
    return {
        .share = fleet.share, .floorPerSecond = steadyShare * part / seconds, .shareBurst = burst, .floorBurst = burst
    };
}

void CallBudget::setOptions(const Options& options)
{
    m_options = options;
    m_shareTokens = std::min(m_shareTokens, options.shareBurst);
    m_floorTokens = std::min(m_floorTokens, options.floorBurst);
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
