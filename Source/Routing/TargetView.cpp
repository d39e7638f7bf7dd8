// Computes the weight, load estimate and expected call time of one target.
#include "Routing/TargetView.h"

#include <algorithm>
#include <cmath>

namespace Berylport {

namespace {

// Time in which the usual wait for a request limit counts half, so that an unused target is tried again.
constexpr Duration limitHalfLife = std::chrono::seconds(1);
// Weight of the latest report in the usual wait for a request limit.
constexpr double startWaitSmoothing = 0.3;

} // namespace

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
    // The sender's own outstanding calls are a lower bound, regardless of the report.
    return std::max<double>(outstanding, estimate + sentSinceReport);
}

Duration TargetView::limitWait(Instant now) const
{
    if (!reportedAt || load.startInterval <= Duration::zero())
        return {};
    Duration age = now - *reportedAt;
    Duration wait = load.startWait + static_cast<int64_t>(sentSinceReport) * load.startInterval - age;
    // Other senders use the starts that have become possible since the report.
    double freshness = std::exp2(-static_cast<double>(age.count()) / static_cast<double>(limitHalfLife.count()));
    Duration usual(std::llround(static_cast<double>(usualStartWait.count()) * freshness));
    return std::max({ Duration::zero(), wait, usual });
}

double TargetView::unloadedServiceTime(const RoutingOptions& options, const ServiceMeans& means) const
{
    if (answers && hasRoutes && means.answerTime > Duration::zero()) {
        auto typical = static_cast<double>(means.answerTime.count());
        double ratio = static_cast<double>(longTermLatency.count()) / typical;
        bool isLikeOthers = ratio < options.distinctSpeedRatio && ratio > 1 / options.distinctSpeedRatio;
        return isLikeOthers ? typical : typical * ratio;
    }
    auto serviceTime = static_cast<double>(options.assumedServiceTime.count());
    if (load.serviceTime > Duration::zero())
        serviceTime = static_cast<double>(load.serviceTime.count());
    // Averaged with the observed latency, as the reported service time may differ from what callers experience.
    if (answers)
        serviceTime = (serviceTime + static_cast<double>(latency.count())) / 2;
    return serviceTime;
}

double TargetView::expectedMicroseconds(
    const RoutingOptions& options, const FreshLoad& policy, const ServiceMeans& means, Instant now) const
{
    double serviceTime = unloadedServiceTime(options, means);
    // The reported slowness of the VM decays with the same half-life as the reported load.
    if (reportedAt && load.slownessPercent > 100) {
        auto age = static_cast<double>((now - *reportedAt).count());
        double freshness = std::exp2(-age / static_cast<double>(policy.reportHalfLife.count()));
        serviceTime *= 1 + (load.slownessPercent / 100.0 - 1) * freshness;
    }
    // The time without a reply is a lower bound, so that an unresponsive target scores badly before any slow answer
    // arrives.
    if (outstanding) {
        double weight = hasRoutes ? policy.silenceWeight : 1;
        auto silence = static_cast<double>((now - silentSince - extraRoundTrip).count());
        serviceTime = std::max(serviceTime, weight * silence);
    }
    // The target's node may limit concurrency below the number of slots that the target announces.
    double slots = std::max<double>(load.slots ? load.slots : record.slots, 1);
    double occupied = estimatedLoad(policy, means.load, now);
    double waiting = policy.queueWeight * std::max(0.0, occupied + 1 - slots) / slots;
    double factor = 1 + waiting + policy.occupancyWeight * std::min(1.0, occupied / slots);
    return serviceTime * factor + static_cast<double>((extraRoundTrip + limitWait(now)).count());
}

void TargetView::applyReport(const LoadReport& report, Instant now)
{
    load = report;
    usualStartWait += Duration(
        std::llround(startWaitSmoothing * static_cast<double>((report.startWait - usualStartWait).count())));
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
    double share = std::max(options.longTermSmoothing, 1.0 / answers);
    longTermLatency += Duration(std::llround(share * static_cast<double>((sample - longTermLatency).count())));
}

} // namespace Berylport
