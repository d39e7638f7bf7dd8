// The enforced limit on what load measurement may cost: bytes sent and received, and processor time.
#pragma once

#include "Base/Base.h"

namespace Berylport {

struct MeasureOptions {
    // Part of the calls' own bytes that measurement may add.
    double bytesFraction { 0.01 };
    // Granted even without calls, so that an idle target is still observed.
    double minimumBytesPerSecond { 200 };
    double maximumBurstBytes { 2'000 };
    // Part of one core.
    double cpuFraction { 0.005 };
    Duration maximumBurstCpu { std::chrono::milliseconds(10) };
};

struct MeasureCounters {
    uint64_t taken { 0 };
    uint64_t refused { 0 };
    uint64_t bytesTaken { 0 };
    Duration cpuTaken {};
};

class MeasureBudget {
public:
    MeasureBudget(MeasureOptions, Instant now);

    // Bytes of a call, both ways.
    void noteCallBytes(uint64_t bytes, Instant now);
    // Takes the expected cost of one measurement, or nothing.
    bool mayMeasure(uint64_t bytes, Duration cpu, Instant now);
    // What a measurement cost above the expectation. It is taken from later ones, so the limit holds over time.
    void noteExcess(uint64_t bytes, Duration cpu, Instant now);

    const MeasureCounters& counters() const { return m_counters; }

private:
    void refill(Instant now);
    void grantBytes(Instant now);

    MeasureOptions m_options;
    double m_bytes { 0 };
    // Processor time in microseconds.
    double m_cpu { 0 };
    Instant m_refilledAt;
    // Within one window the larger of the floor and the fraction is granted, not their sum.
    Instant m_windowStart;
    double m_windowCallBytes { 0 };
    double m_windowGranted { 0 };
    MeasureCounters m_counters;
};

} // namespace Berylport
