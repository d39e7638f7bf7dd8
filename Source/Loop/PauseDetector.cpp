// Detection of process pauses.
#include "Loop/PauseDetector.h"

namespace Berylport {

PauseDetector::PauseDetector(EventLoop& loop, PauseDetectorOptions options, std::function<void(Duration)> callback)
    : m_options(options)
    , m_callback(std::move(callback))
    , m_lastCheck(steadyNow())
    , m_timer(
          loop, [this] { check(); }, EventPriority::First)
{
    m_timer.startPeriodic(options.period);
}

bool PauseDetector::check()
{
    Instant now = steadyNow();
    Duration gap = now - m_lastCheck;
    m_lastCheck = now;
    if (gap <= m_options.threshold)
        return false;
    m_callback(gap);
    return true;
}

} // namespace Berylport
