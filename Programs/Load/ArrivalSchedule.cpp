// Draws arrivals from an exponential distribution, piece by piece of constant rate.
#include "Load/ArrivalSchedule.h"

#include <algorithm>

namespace Berylport {

namespace {

constexpr double microsecondsPerSecond = 1'000'000;

// The next time at which a burst begins or ends.
Duration nextRateChange(const ArrivalOptions& options, Duration now)
{
    Duration period = now - now % burstPeriod;
    for (Duration begin : { period - burstPeriod + burstOffset, period + burstOffset }) {
        for (Duration change : { begin, begin + options.burstLength }) {
            if (change > now)
                return change;
        }
    }
    return period + burstPeriod + burstOffset;
}

bool hasBursts(const ArrivalOptions& options) { return options.burstFactor != 1 && options.burstLength.count() > 0; }

} // namespace

double arrivalRate(const ArrivalOptions& options, Duration sinceStart)
{
    // The first burst begins at the offset, so a burst that reaches into the next second is not seen before it.
    if (!hasBursts(options) || sinceStart < burstOffset)
        return options.rate;
    Duration sinceBurst = (sinceStart - burstOffset) % burstPeriod;
    return sinceBurst < options.burstLength ? options.rate * options.burstFactor : options.rate;
}

std::vector<Duration> makeArrivals(const ArrivalOptions& options, Random& random)
{
    std::vector<Duration> arrivals;
    double position = 0;
    // What is left of the distance to the next arrival, in expected arrivals.
    double distance = random.exponential(1);
    while (position < static_cast<double>(options.duration.count())) {
        auto now = Duration(static_cast<int64_t>(position));
        double rate = arrivalRate(options, now) / microsecondsPerSecond;
        Duration limit
            = hasBursts(options) ? std::min(nextRateChange(options, now), options.duration) : options.duration;
        double room = (static_cast<double>(limit.count()) - position) * rate;
        if (distance >= room) {
            distance -= room;
            position = static_cast<double>(limit.count());
            continue;
        }
        position += distance / rate;
        arrivals.emplace_back(static_cast<int64_t>(position));
        distance = random.exponential(1);
    }
    return arrivals;
}

} // namespace Berylport
