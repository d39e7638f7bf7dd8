// Arrival times of an open-loop load: a Poisson process whose rate rises during bursts.
#pragma once

#include "Base/Random.h"
#include "Base/Time.h"

#include <vector>

namespace Berylport {

struct ArrivalOptions {
    // Calls a second outside of bursts.
    double rate { 100 };
    Duration duration { std::chrono::seconds(10) };
    // The rate during a burst is this many times higher. One burst begins in the middle of each second, so that the
    // first one does not meet cold connections.
    double burstFactor { 1 };
    Duration burstLength {};
};

constexpr Duration burstPeriod = std::chrono::seconds(1);
constexpr Duration burstOffset = std::chrono::milliseconds(500);

// Calls a second at a time since the start.
double arrivalRate(const ArrivalOptions&, Duration sinceStart);

// All arrivals in [0, duration), in order. They are drawn before the load starts, so that slow answers delay none.
std::vector<Duration> makeArrivals(const ArrivalOptions&, Random&);

} // namespace Berylport
