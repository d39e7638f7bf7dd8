// Two token buckets, refilled from the calls' bytes and from the passing of time.
#include "Measure/MeasureBudget.h"

#include <algorithm>

namespace Berylport {

namespace {

constexpr Duration window = std::chrono::seconds(1);

double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

MeasureBudget::MeasureBudget(MeasureOptions options, Instant now)
    : m_options(options)
    , m_refilledAt(now)
    , m_windowStart(now)
{
}

void MeasureBudget::noteCallBytes(uint64_t bytes, Instant now)
{
    refill(now);
    m_windowCallBytes += static_cast<double>(bytes);
    grantBytes(now);
}

bool MeasureBudget::mayMeasure(uint64_t bytes, Duration cpu, Instant now)
{
    refill(now);
    if (static_cast<double>(bytes) > m_bytes || static_cast<double>(cpu.count()) > m_cpu) {
        m_counters.refused++;
        return false;
    }
    m_counters.taken++;
    noteExcess(bytes, cpu, now);
    return true;
}

void MeasureBudget::noteExcess(uint64_t bytes, Duration cpu, Instant now)
{
    refill(now);
    m_bytes -= static_cast<double>(bytes);
    m_cpu -= static_cast<double>(cpu.count());
    m_counters.bytesTaken += bytes;
    m_counters.cpuTaken += cpu;
}

void MeasureBudget::refill(Instant now)
{
    if (now <= m_refilledAt)
        return;
    double cpuGrant = m_options.cpuFraction * static_cast<double>((now - m_refilledAt).count());
    m_cpu = std::min(m_cpu + cpuGrant, static_cast<double>(m_options.maximumBurstCpu.count()));
    m_refilledAt = now;
    grantBytes(now);
    if (now - m_windowStart < window)
        return;
    m_windowStart = now;
    m_windowCallBytes = 0;
    m_windowGranted = 0;
}

void MeasureBudget::grantBytes(Instant now)
{
    double floor = m_options.minimumBytesPerSecond * toSeconds(now - m_windowStart);
    double due = std::max(floor, m_options.bytesFraction * m_windowCallBytes);
    if (due <= m_windowGranted)
        return;
    m_bytes = std::min(m_bytes + due - m_windowGranted, m_options.maximumBurstBytes);
    m_windowGranted = due;
}

} // namespace Berylport
