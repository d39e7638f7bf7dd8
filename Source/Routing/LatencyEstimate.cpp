// Computes quantiles by nth_element over a ring buffer of recent samples.
#include "Routing/LatencyEstimate.h"

#include <algorithm>

namespace Berylport {

namespace {

Duration quantile(std::vector<Duration>& samples, double share)
{
    auto position = samples.begin() + static_cast<ptrdiff_t>(share * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), position, samples.end());
    return *position;
}

} // namespace

LatencyEstimate::LatencyEstimate(Options options)
    : m_options(options)
{
    m_samples.reserve(options.window);
}

void LatencyEstimate::add(Duration latency)
{
    if (m_samples.size() < m_options.window)
        m_samples.push_back(latency);
    else
        m_samples[m_next] = latency;
    m_next = (m_next + 1) % m_options.window;
    ++m_sinceRefresh;
    if (isKnown() && (m_median == Duration::zero() || m_sinceRefresh >= m_options.refreshEvery))
        refresh();
}

void LatencyEstimate::refresh()
{
    auto samples = m_samples;
    m_median = quantile(samples, 0.5);
    m_p95 = quantile(samples, 0.95);
    m_sinceRefresh = 0;
}

} // namespace Berylport
