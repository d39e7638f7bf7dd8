// Notices that the process did not run for a while, by the gap between ticks of a periodic timer.
#pragma once

#include "Loop/Timer.h"

#include <functional>

namespace Berylport {

struct PauseDetectorOptions {
    // Gaps above this are reported.
    Duration threshold { std::chrono::milliseconds(100) };
    Duration period { std::chrono::milliseconds(20) };
};

class PauseDetector {
public:
    // The callback gets the length of the gap. It runs before the sockets that became ready during the gap.
    PauseDetector(EventLoop&, PauseDetectorOptions, std::function<void(Duration gap)>);

    // Looks for a gap now. Called before work is started from a callback, it also finds a pause within one loop turn.
    // Returns true when it has reported one.
    bool check();

private:
    PauseDetectorOptions m_options;
    std::function<void(Duration)> m_callback;
    Instant m_lastCheck;
    Timer m_timer;
};

} // namespace Berylport
