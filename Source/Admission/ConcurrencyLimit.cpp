#include "Admission/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace Berylport {

namespace {

// Routes come from the operators' configuration; one with more than this is not told apart further.
constexpr size_t maximumRoutes = 512;
// Extremes are waits for other services rather than work of this one. Also the most that a level slows calls down.
constexpr double maximumRatio = 4;

} // namespace

void ConcurrencyLimit::setSlots(uint16_t slots)
{
    if (slots == m_slots)
        return;
    m_slots = slots;
    m_limit = slots;
    m_levels.assign(size_t(slots) + 1, {});
}

Duration ConcurrencyLimit::baseTime(const std::string& route) const
{
    auto it = m_routes.find(route);
    return it == m_routes.end() ? Duration {} : Duration(std::llround(it->second.baseTime));
}

Duration ConcurrencyLimit::deviation(const std::string& route) const
{
    auto it = m_routes.find(route);
    return it == m_routes.end() ? Duration {} : Duration(std::llround(it->second.deviation));
}

bool ConcurrencyLimit::isFullSpeed(size_t level) const
{
    return static_cast<double>(level) <= std::max(1.0, m_options.fullSpeedShare * m_slots);
}

double ConcurrencyLimit::slowdownAt(size_t level, Instant now) const
{
    const Level& it = m_levels[level];
    if (isFullSpeed(level) || it.samples < m_options.minimumSamples)
        return 1;
    double age
        = static_cast<double>((now - it.lastSample).count()) / static_cast<double>(m_options.forgetHalfLife.count());
    return 1 + (it.slowdown - 1) * std::exp2(-age);
}

void ConcurrencyLimit::noteFinished(const std::string& route, Duration elapsed, double concurrency, Instant now)
{
    if (!m_slots || elapsed <= Duration::zero())
        return;
    if (m_routes.size() >= maximumRoutes && !m_routes.contains(route))
        return;
    auto level = static_cast<size_t>(std::clamp<long>(std::lround(concurrency), 1, m_slots));
    auto sample = static_cast<double>(elapsed.count());
    Route& learned = m_routes[route];
    double& baseTime = learned.baseTime;
    if (baseTime <= 0)
        baseTime = sample / slowdownAt(level, now);
    // Compared with what is known of the level: a cap on the time at full speed would shrink it while all calls are
    // slow.
    double slowdown = slowdownAt(level, now);
    double usual = std::min(sample, maximumRatio * baseTime * slowdown);
    Level& it = m_levels[level];
    double weight = std::max(m_options.smoothing, 1.0 / (it.samples + 1));
    it.slowdown += weight * (std::min(usual / baseTime, maximumRatio) - it.slowdown);
    ++it.samples;
    it.lastSample = now;
    double distance = usual / slowdown - baseTime;
    double share = isFullSpeed(level) ? m_options.smoothing : m_options.overloadSmoothing;
    baseTime += share * distance;
    learned.deviation += share * (std::abs(distance) - learned.deviation);
    chooseLimit(now);
}

void ConcurrencyLimit::chooseLimit(Instant now)
{
    uint16_t best = m_slots;
    double bestRate = m_slots / slowdownAt(m_slots, now);
    for (uint16_t n = m_slots; n > 1;) {
        --n;
        double rate = n / slowdownAt(n, now);
        if (rate <= bestRate * (1 + m_options.minimumGain))
            continue;
        best = n;
        bestRate = rate;
    }
    m_limit = best;
}

} // namespace Berylport
