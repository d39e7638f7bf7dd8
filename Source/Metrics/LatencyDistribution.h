// Quantiles of a stream of durations without keeping the samples, by Boost.Accumulators.
#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <memory>

namespace Berylport {

struct LatencySummary {
    uint64_t count { 0 };
    Duration mean {};
    Duration p50 {};
    Duration p99 {};
    Duration p999 {};
    Duration maximum {};
};

// Covers the current window of a minute and the one before, so that old samples leave the quantiles.
class LatencyDistribution {
public:
    static constexpr Duration windowLength = std::chrono::seconds(60);

    LatencyDistribution();
    ~LatencyDistribution();
    LatencyDistribution(LatencyDistribution&&) noexcept;
    LatencyDistribution& operator=(LatencyDistribution&&) noexcept;

    void add(Duration sample, Instant now);

    // The last whole window, or the current one while there is no whole one.
    LatencySummary summary(Instant now);

    // Samples since the start of the process.
    uint64_t totalCount() const { return m_totalCount; }
    Duration totalSum() const { return m_totalSum; }

private:
    class Window;

    void rotate(Instant now);

    std::unique_ptr<Window> m_current;
    std::unique_ptr<Window> m_last;
    Instant m_windowStart;
    bool m_hasStarted { false };
    uint64_t m_totalCount { 0 };
    Duration m_totalSum {};
};

} // namespace Berylport
