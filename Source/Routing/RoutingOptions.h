// Options of target selection, outlier ejection and slow start, and the selection policies.
#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <variant>

namespace Berylport {

// Uniform choice among the usable targets.
struct RandomChoice { };

// The usable targets in cyclic order.
struct RoundRobin { };

// The lowest reported load among many candidates. Prone to herding: with stale reports all senders pick the same
// target.
struct LeastReported {
    uint32_t candidates { 16 };
};

// Power of two choices: the lower reported load of two random candidates.
struct TwoChoices { };

// Lowest expected time among a few candidates. It is computed from the service time and the estimated load: the
// reported load, decayed with age towards the service's mean, plus the calls sent since the report.
struct FreshLoad {
    // Candidates sampled in the local zone, and again in the other zones of the region.
    uint32_t candidates { 3 };
    // Time in which the difference between a report and the service's mean load decays by half.
    Duration reportHalfLife { std::chrono::milliseconds(100) };
    // Multiple of the service time added in proportion to slot occupancy; prefers idle targets before queues form.
    double occupancyWeight { 0.5 };
    // Factor on the expected queueing time: a reported queue has grown since the report, as every sender adds to it.
    // p99 relative to the oracle policy in the policy benchmark with factors 1, 2 and 4: 1.14, 1.12, 1.12 for the Kandy
    // fleet and 1.06, 1.04, 1.04 for the Sahil fleet.
    double queueWeight { 4 };
    // For services with routes: a target that does not respond is expected to take this many times the time since its
    // last answer.
    double silenceWeight { 2 };
};

using SelectionPolicy = std::variant<FreshLoad, RandomChoice, RoundRobin, LeastReported, TwoChoices>;

std::string_view toText(const SelectionPolicy&);

struct EjectionOptions {
    // A target is ejected when its smoothed latency exceeds the service's median by this factor.
    double latencyFactor { 3 };
    // The latency must also exceed the median by this much, so that noise ejects no targets of services that answer
    // within microseconds.
    Duration latencyMargin { std::chrono::milliseconds(10) };
    // A failure is recorded as a latency of this many times the median.
    double failurePenaltyFactor { 10 };
    // Minimum latency recorded for a failure.
    Duration failurePenaltyFloor { std::chrono::milliseconds(100) };
    // Number of answers required from a target before it may be ejected.
    uint32_t minimumAnswers { 5 };
    // Duration of the first ejection; doubles with each further one. It is short because stragglers recover within a
    // second: 2 s and a long ramp leave a small service without one of its targets long after the fault has ended.
    Duration baseTime { std::chrono::milliseconds(300) };
    // Time in which a readmitted target ramps up to its full weight.
    Duration readmissionRamp { std::chrono::milliseconds(500) };
    Duration maximumTime { std::chrono::seconds(60) };
    // Relative jitter of the ejection time in either direction, so that senders do not readmit a target simultaneously.
    double jitterShare { 0.25 };
    // The ejection count decreases by one per period of this length without an ejection.
    Duration ejectionCountDecayPeriod { std::chrono::seconds(30) };
    // Panic threshold: at most this share of the ready targets is ejected.
    double maximumShare { 0.5 };
};

struct RoutingOptions {
    ZoneName zone;
    RegionName region;
    SelectionPolicy policy { FreshLoad {} };
    // Additional network round trip to another zone of the region, compared with the local zone.
    Duration otherZoneRoundTrip { std::chrono::milliseconds(3) };
    // Overrides otherZoneRoundTrip per zone.
    std::map<ZoneName, Duration> zoneRoundTrips;
    // A target of another zone is selected only if its expected time is lower by this factor, as traffic between zones
    // is charged by the byte.
    double otherZoneFactor { 1 };
    // Time in which the weight of a new or readmitted target grows to 1. The target competes on equal terms with a
    // probability equal to its weight. Dividing its score by the weight instead would leave it without any call until
    // its score is the best.
    Duration slowStart { std::chrono::seconds(10) };
    double slowStartMinimumWeight { 0.1 };
    // Factor on its expected time in the remaining cases, so that it still gets calls when the other targets queue.
    double slowStartPenalty { 1.5 };
    // Maximum weight of a target that reports that it is warming up.
    double warmingUpWeight { 0.5 };
    // Delay until a target that refuses all calls is tried again, unless membership removes it before.
    Duration unavailableRetryDelay { std::chrono::seconds(5) };
    // Delay until a target to which no byte could be sent is tried again.
    Duration unreachableRetryDelay { std::chrono::milliseconds(200) };
    // Weight of the latest sample in a target's moving average of latency.
    double smoothing { 0.3 };
    // The same for its long-term average: over about sixty answers, differences between calls and phases in which the
    // VM is slow average out.
    double longTermSmoothing { 0.03 };
    // A target counts as faster or slower than its service from this ratio of its long-term latency to the service's
    // median.
    double distinctSpeedRatio { 1.5 };
    // Service time assumed until a target has reported one.
    Duration assumedServiceTime { std::chrono::milliseconds(10) };
    // Panic threshold: suspected targets are used when less than this share of the ready targets is unsuspected.
    double alivePanicThreshold { 0.5 };
    EjectionOptions ejection;
};

} // namespace Berylport
