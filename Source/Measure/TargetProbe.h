// When the health and load endpoints of one target are read next, and what their results change.
#pragma once

#include "Base/Base.h"

#include <optional>

namespace Berylport {

struct ProbeOptions {
    Duration interval { std::chrono::seconds(1) };
    // Reached by doubling while the budget refuses.
    Duration maximumInterval { std::chrono::seconds(8) };
    // Age above which neither a bad health result nor a failed call counts any more.
    Duration memory { std::chrono::seconds(5) };
    uint32_t failuresToLower { 2 };
    uint32_t successesToRaise { 5 };
};

enum class HealthResult : uint8_t {
    Good,
    Bad,
    // No answer, or one that does not parse.
    Unreadable,
};

enum class TargetStanding : uint8_t {
    Normal,
    // Gets less work than others.
    Lowered,
};

class TargetProbe {
public:
    explicit TargetProbe(ProbeOptions options, Instant now)
        : m_options(options)
        , m_interval(options.interval)
        , m_nextRead(now)
    {
    }

    Instant nextRead() const { return m_nextRead; }
    bool isDue(Instant now) const { return now >= m_nextRead; }
    // The budget allowed a read, which starts now.
    // The next read follows after the usual interval, or after the given one if that is longer.
    void noteReadStarted(Instant now, Duration minimumInterval = {});
    void noteReadRefused(Instant now);

    void noteHealth(HealthResult, Instant now);
    void noteCallSucceeded(Instant now);
    // A lost call, a failed connection or an answer of 5xx.
    void noteCallFailed(Instant now);

    TargetStanding standing() const { return m_standing; }

private:
    void lowerWhenAgreed(Instant now);
    bool isRecent(const std::optional<Instant>&, Instant now) const;

    ProbeOptions m_options;
    Duration m_interval;
    Instant m_nextRead;
    TargetStanding m_standing { TargetStanding::Normal };
    std::optional<Instant> m_badHealthAt;
    std::optional<Instant> m_callFailedAt;
    // Failed calls since the count was last stale or calls succeeded in a row.
    uint32_t m_failures { 0 };
    uint32_t m_successesInRow { 0 };
};

} // namespace Berylport
