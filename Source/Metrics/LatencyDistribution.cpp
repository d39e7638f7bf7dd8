// Keeps Boost's heavy headers out of LatencyDistribution.h.
#include "Metrics/LatencyDistribution.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>

namespace Berylport {

namespace {

namespace Accumulators = boost::accumulators;

using Set = Accumulators::accumulator_set<double,
    Accumulators::stats<Accumulators::tag::count, Accumulators::tag::mean, Accumulators::tag::max,
        Accumulators::tag::extended_p_square_quantile>>;

constexpr std::array<double, 5> probabilities { 0.5, 0.9, 0.99, 0.999, 0.9999 };

// Below this count the P-square estimate has no meaning and the mean and maximum stand in for it.
constexpr uint64_t minimumCountForQuantiles = 2 * probabilities.size() + 3;

Duration toDuration(double microseconds) { return Duration(static_cast<int64_t>(microseconds)); }

} // namespace

class LatencyDistribution::Window {
public:
    Window()
        : m_set(Accumulators::extended_p_square_probabilities = probabilities)
    {
    }

    void add(Duration sample) { m_set(static_cast<double>(sample.count())); }

    uint64_t count() const { return Accumulators::count(m_set); }

    LatencySummary summary() const
    {
        LatencySummary result { .count = count() };
        if (!result.count)
            return result;
        result.mean = toDuration(Accumulators::mean(m_set));
        result.maximum = toDuration(Accumulators::max(m_set));
        result.p50 = quantile(0.5, result.mean);
        result.p99 = quantile(0.99, result.maximum);
        result.p999 = quantile(0.999, result.maximum);
        return result;
    }

private:
    Duration quantile(double probability, Duration substitute) const
    {
        if (count() < minimumCountForQuantiles)
            return substitute;
        return toDuration(Accumulators::quantile(m_set, Accumulators::quantile_probability = probability));
    }

    Set m_set;
};

LatencyDistribution::LatencyDistribution()
    : m_current(std::make_unique<Window>())
    , m_last(std::make_unique<Window>())
{
}

LatencyDistribution::~LatencyDistribution() = default;
LatencyDistribution::LatencyDistribution(LatencyDistribution&&) noexcept = default;
LatencyDistribution& LatencyDistribution::operator=(LatencyDistribution&&) noexcept = default;

void LatencyDistribution::rotate(Instant now)
{
    if (!m_hasStarted) {
        m_hasStarted = true;
        m_windowStart = now;
    }
    if (now - m_windowStart < windowLength)
        return;
    bool missedAWindow = now - m_windowStart >= 2 * windowLength;
    m_last = missedAWindow ? std::make_unique<Window>() : std::move(m_current);
    m_current = std::make_unique<Window>();
    m_windowStart = now;
}

void LatencyDistribution::add(Duration sample, Instant now)
{
    rotate(now);
    m_current->add(sample);
    ++m_totalCount;
    m_totalSum += sample;
}

LatencySummary LatencyDistribution::summary(Instant now)
{
    rotate(now);
    return m_last->count() ? m_last->summary() : m_current->summary();
}

} // namespace Berylport
