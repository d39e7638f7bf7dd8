// Integrates over time what runs on a target and how slow its VM is, so that a finished call can be judged by the
// averages over its own run.
#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <optional>

namespace Berylport {

class LoadIntegrator {
public:
    struct Snapshot {
        Instant at;
        double runningSeconds { 0 };
        double slownessSeconds { 0 };
    };

    void setRunning(uint32_t running, Instant now)
    {
        advance(now);
        m_running = running;
    }
    // 100 is the usual speed; zero is taken for it.
    void setSlowness(uint16_t percent, Instant now)
    {
        advance(now);
        m_slowness = percent ? percent / 100.0 : 1;
        constexpr double smoothing = 0.05;
        m_meanSlowness += smoothing * (m_slowness - m_meanSlowness);
    }
    Snapshot snapshot(Instant now)
    {
        advance(now);
        return { .at = now, .runningSeconds = m_runningSeconds, .slownessSeconds = m_slownessSeconds };
    }
    double meanRunning(const Snapshot& since, Instant now)
    {
        return mean(since, snapshot(now).runningSeconds - since.runningSeconds, now, m_running);
    }
    double meanSlowness(const Snapshot& since, Instant now)
    {
        return mean(since, snapshot(now).slownessSeconds - since.slownessSeconds, now, m_slowness);
    }
    // 1 is the usual speed.
    double slowness() const { return m_slowness; }
    double meanSlowness() const { return m_meanSlowness; }
    // What a call that starts now is likely to meet: part of the present state, part of the long-term mean, as the
    // state lasts about as long as a call.
    double expectedSlowness() const { return (m_slowness + m_meanSlowness) / 2; }

private:
    static double mean(const Snapshot& since, double sum, Instant now, double present)
    {
        double seconds = std::chrono::duration<double>(now - since.at).count();
        return seconds > 0 ? sum / seconds : present;
    }
    void advance(Instant now)
    {
        double seconds = m_at ? std::chrono::duration<double>(now - *m_at).count() : 0;
        if (seconds > 0) {
            m_runningSeconds += seconds * m_running;
            m_slownessSeconds += seconds * m_slowness;
        }
        m_at = now;
    }

    std::optional<Instant> m_at;
    double m_running { 0 };
    double m_slowness { 1 };
    double m_meanSlowness { 1 };
    double m_runningSeconds { 0 };
    double m_slownessSeconds { 0 };
};

} // namespace Berylport
