// Implements the retry budget's token buckets and the division of a fleet budget among nodes.
#include "Calls/CallBudget.h"

#include <algorithm>
#include <cmath>

namespace Berylport {

CallBudget::CallBudget(Options options)
    : m_options(options)
    , m_floorTokens(options.beginsEmpty ? 0 : options.floorBurst)
{
}

CallBudget::Options CallBudget::forNode(const FleetBudget& fleet, const FleetPosition& position)
{
    constexpr double savedShare = 0.5;
    constexpr double steadyShare = 0.2;
    double seconds = std::max(std::chrono::duration<double>(fleet.window).count(), 1.0);
    auto options = [&](double steady, double burst) {
        // A share bucket with a capacity below one token could never be spent from. The token lifetime limits what many
        // nodes with few calls each can accumulate.
        return Options { .share = fleet.share,
            .floorPerSecond = steady / seconds,
            .shareBurst = std::max(burst, 1.0),
            .floorBurst = burst,
            .shareLifetime = fleet.window,
            .beginsEmpty = true };
    };
    if (!position.nodes)
        return options(0, 0);
    double part = fleet.extra / static_cast<double>(position.nodes);
    if (savedShare * part >= 1)
        return options(steadyShare * part, savedShare * part);
    double holders = std::floor(savedShare * fleet.extra);
    if (static_cast<double>(position.rank) >= holders)
        return options(0, 0);
    return options(steadyShare * fleet.extra / holders, 1);
}

void CallBudget::setOptions(const Options& options)
{
    m_options = options;
    m_shareTokens = std::min(m_shareTokens, options.shareBurst);
    m_floorTokens = std::min(m_floorTokens, options.floorBurst);
}

void CallBudget::recordCall() { m_shareTokens = std::min(m_shareTokens + m_options.share, m_options.shareBurst); }

void CallBudget::refill(Instant now)
{
    std::chrono::duration<double> elapsed = std::max(now - m_refilledAt, Duration::zero());
    m_floorTokens = std::min(m_floorTokens + m_options.floorPerSecond * elapsed.count(), m_options.floorBurst);
    if (m_options.shareLifetime > Duration::zero() && m_shareTokens > 0) {
        std::chrono::duration<double> lifetime = m_options.shareLifetime;
        m_shareTokens *= std::exp(-elapsed / lifetime);
    }
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
