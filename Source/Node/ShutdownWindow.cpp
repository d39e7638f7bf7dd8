#include "Node/ShutdownWindow.h"

#include <algorithm>

namespace Berylport {

namespace {

// Slow targets take about twice the time in which most calls are answered.
constexpr int objectivesNeeded = 3;

} // namespace

bool mayBegin(std::optional<Instant> processEnds, Instant now, Duration objective, Duration timeout)
{
    return !processEnds || now + std::min(objectivesNeeded * objective, timeout) <= *processEnds;
}

} // namespace Berylport
