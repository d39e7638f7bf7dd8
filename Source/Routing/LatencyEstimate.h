// Quantiles over the most recent latencies of one service.
#pragma once

#include "Base/Time.h"

#include <cstddef>
#include <vector>

namespace Berylport {

class LatencyEstimate {
public:
    struct Options {
        // Number of samples kept; older ones are overwritten, so that the estimate follows changes of load.
        size_t window { 256 };
        // The quantiles are recomputed after this many new samples, which bounds the cost per sample.
        size_t refreshEvery { 16 };
        // With fewer samples the quantiles are unknown.
        size_t minimumSamples { 10 };
    };

    explicit LatencyEstimate(Options);
    LatencyEstimate()
        : LatencyEstimate(Options {})
    {
    }

    void add(Duration latency);
    bool isKnown() const { return m_samples.size() >= m_options.minimumSamples; }
    // Zero while unknown.
    Duration median() const { return m_median; }
    Duration p95() const { return m_p95; }

private:
    void refresh();

    Options m_options;
    std::vector<Duration> m_samples;
    size_t m_next { 0 };
    size_t m_sinceRefresh { 0 };
    Duration m_median {};
    Duration m_p95 {};
};

} // namespace Berylport
