// Comparison of the expected duration of a request with the time left before termination.
#include "Node/ShutdownWindow.h"

#include <algorithm>

namespace Berylport {

namespace {

// Slow targets take about twice as long as most calls; three objectives cover them.
constexpr int objectiveMultiple = 3;

} // namespace

bool mayStartRequest(const std::optional<ShutdownWindow>& window, Instant now, Duration objective, Duration timeout)
{
    if (!window)
        return true;
    Duration left = window->terminatesAt - now;
    bool isEarly = now <= window->noticedAt;
    return left >= timeout || (isEarly && left >= objectiveMultiple * objective);
}

} // namespace Berylport
