// Load estimate and score of one target.
#include "Routing/TargetView.h"

#include <algorithm>
#include <cmath>

namespace Berylport {

double TargetView::weight(const RoutingOptions& options, Instant now) const
{
    double weight = load.isWarmingUp ? options.warmingUpWeight : 1;
    if (!rampStart || now >= *rampStart + options.slowStart)
        return weight;
    auto ramp = static_cast<double>((now - *rampStart).count()) / static_cast<double>(options.slowStart.count());
    return std::min(weight, std::max(options.slowStartMinimumWeight, ramp));
}

double TargetView::estimatedLoad(const FreshLoad& policy, double meanLoad, Instant now) const
{
    double estimate = meanLoad;
    if (reportedAt) {
        auto age = static_cast<double>((now - *reportedAt).count());
        double freshness = std::exp2(-age / static_cast<double>(policy.reportHalfLife.count()));
        estimate = meanLoad + (reportedLoad() - meanLoad) * freshness;
    }
    // The sender's own outstanding calls are certain, whatever the report says.
    return std::max<double>(outstanding, estimate + sentSinceReport);
}

double TargetView::expectedMicroseconds(
    const RoutingOptions& options, const FreshLoad& policy, double meanLoad, Instant now) const
{
    auto serviceTime = static_cast<double>(options.assumedServiceTime.count());
    if (load.serviceTime > Duration::zero())
        serviceTime = static_cast<double>(load.serviceTime.count());
    // What the VM was like at the report is forgotten as fast as its load.
    if (reportedAt && load.slownessPercent > 100) {
        auto age = static_cast<double>((now - *reportedAt).count());
        double freshness = std::exp2(-age / static_cast<double>(policy.reportHalfLife.count()));
        serviceTime *= 1 + (load.slownessPercent / 100.0 - 1) * freshness;
    }
    // A target may report a service time that its callers do not see.
    if (answers)
        serviceTime = (serviceTime + static_cast<double>(latency.count())) / 2;
    // A target that has stopped answering is slow before any slow answer arrives.
    if (outstanding)
        serviceTime = std::max(serviceTime, static_cast<double>((now - silentSince - extraRoundTrip).count()));
    // The target's node may let fewer run than the target has slots.
    double slots = std::max<double>(load.slots ? load.slots : record.slots, 1);
    double occupied = estimatedLoad(policy, meanLoad, now);
    double waiting = policy.queueWeight * std::max(0.0, occupied + 1 - slots) / slots;
    double factor = 1 + waiting + policy.occupancyWeight * std::min(1.0, occupied / slots);
    return serviceTime * factor + static_cast<double>(extraRoundTrip.count());
}

void TargetView::takeReport(const LoadReport& report, Instant now)
{
    load = report;
    reportedAt = now;
    sentSinceReport = 0;
}

void TargetView::addLatency(const RoutingOptions& options, Duration sample)
{
    if (!answers)
        latency = sample;
    else
        latency += Duration(std::llround(options.smoothing * static_cast<double>((sample - latency).count())));
    ++answers;
}

} // namespace Berylport
