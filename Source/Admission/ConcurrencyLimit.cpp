#include "Admission/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace Berylport {

namespace {

// Routes come from the operators' configuration; one with more than this is not told apart further.
constexpr size_t maximumRoutes = 512;
// Extremes are waits for other services rather than work of this one. Also the most that a level slows calls down, or,
// as the time at full speed may be outdated, speeds them up.
constexpr double maximumRatio = 4;

} // namespace

void ConcurrencyLimit::setSlots(uint16_t slots)
{
    if (slots == m_slots)
        return;
    m_slots = slots;
    for (auto& it : m_models)
        it = { .levels = std::vector<Level>(size_t(slots) + 1) };
    m_limit = static_cast<uint16_t>(highestAllowedLevel(bestModel()));
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

size_t ConcurrencyLimit::highestAllowedLevel(const Model& model) const
{
    auto level = static_cast<size_t>(std::max(1.0, m_options.initialShare * m_slots));
    while (level < m_slots && model.levels[level].samples >= m_options.minimumSamples)
        ++level;
    return std::min<size_t>(level, m_slots);
}

// A level that has not been seen enough slows calls down at least as much as the one below it.
double ConcurrencyLimit::slowdownAt(const Model& model, size_t level, Instant now) const
{
    while (!isFullSpeed(level) && model.levels[level].samples < m_options.minimumSamples)
        --level;
    if (isFullSpeed(level))
        return 1;
    const Level& it = model.levels[level];
    double age
        = static_cast<double>((now - it.lastSample).count()) / static_cast<double>(m_options.decayHalfLife.count());
    return 1 + (it.slowdown - 1) * std::exp2(-age);
}

void ConcurrencyLimit::recordRun(const FinishedRun& run, Instant now)
{
    if (!m_slots || run.elapsed <= Duration::zero())
        return;
    if (m_routes.size() >= maximumRoutes && !m_routes.contains(run.route))
        return;
    std::array<size_t, 2> levels {};
    levels[startModel] = std::clamp<size_t>(run.runningAtStart, 1, m_slots);
    levels[meanModel] = static_cast<size_t>(std::clamp<long>(std::lround(run.meanRunning), 1, m_slots));
    auto sample = static_cast<double>(run.elapsed.count());
    size_t best = &bestModel() == &m_models[meanModel] ? meanModel : startModel;
    double slowdown = slowdownAt(m_models[best], levels[best], now);
    Route& learned = m_routes[run.route];
    double& baseTime = learned.baseTime;
    if (baseTime <= 0)
        baseTime = sample / slowdown;
    for (size_t n = 0; n < m_models.size(); ++n)
        updateLevel(m_models[n], levels[n], sample, baseTime, now);
    // Compared with what is known of the level: a cap on the time at full speed would shrink it while all calls are
    // slow.
    double usual = std::min(sample, maximumRatio * baseTime * slowdown);
    double distance = usual / slowdown - baseTime;
    double share = isFullSpeed(levels[best]) ? m_options.smoothing : m_options.overloadSmoothing;
    baseTime += share * distance;
    learned.deviation += share * (std::abs(distance) - learned.deviation);
    updateLimit(now);
}

void ConcurrencyLimit::updateLevel(Model& model, size_t level, double sample, double baseTime, Instant now)
{
    double slowdown = slowdownAt(model, level, now);
    double usual = std::min(sample, maximumRatio * baseTime * slowdown);
    double error = std::log(usual / (baseTime * slowdown));
    model.error += m_options.errorSmoothing * (error * error - model.error);
    Level& it = model.levels[level];
    double weight = std::max(m_options.levelSmoothing, 1.0 / (it.samples + 1));
    it.slowdown += weight * (std::clamp(usual / baseTime, 1 / maximumRatio, maximumRatio) - it.slowdown);
    ++it.samples;
    it.lastSample = now;
}

void ConcurrencyLimit::updateLimit(Instant now)
{
    const Model& model = bestModel();
    auto highest = static_cast<uint16_t>(highestAllowedLevel(model));
    uint16_t best = std::min(m_limit, highest);
    double bestRate = best / slowdownAt(model, best, now) * (1 + m_options.minimumGain);
    for (uint16_t n = highest; n > 0; --n) {
        double rate = n / slowdownAt(model, n, now);
        if (rate <= bestRate)
            continue;
        best = n;
        bestRate = rate;
    }
    m_limit = best;
}

} // namespace Berylport
