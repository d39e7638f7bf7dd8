// How long a peer has been silent, not counting time in which this process itself did not run.
#pragma once

#include "Base/Time.h"

#include <algorithm>

namespace Berylport {

class SilenceWatch {
public:
    SilenceWatch(Duration interval, Instant now)
        : m_interval(interval)
        , m_lastTick(now)
    {
    }

    void heard() { m_silence = {}; }

    // Called once per interval. A longer gap means that this process was late and could not have read an answer.
    Duration tick(Instant now)
    {
        m_silence += std::min(now - m_lastTick, 2 * m_interval);
        m_lastTick = now;
        return m_silence;
    }

private:
    Duration m_interval;
    Instant m_lastTick;
    Duration m_silence {};
};

} // namespace Berylport
