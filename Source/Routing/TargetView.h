// A sender's local view of one target: reported load, observed latency, ejection and slow start.
#pragma once

#include "Base/CallMessages.h"
#include "Base/TargetRecord.h"
#include "Routing/RoutingOptions.h"

#include <optional>

namespace Berylport {

// Locality of a target relative to the sender; selection prefers the nearest group.
enum class ZoneGroup : uint8_t {
    Own,
    Region,
    Remote,
};

// Means over all targets of a service as observed by one sender.
struct ServiceMeans {
    // Running and queued calls per target.
    double load { 0 };
    // Median time of an answer; zero while unknown.
    Duration answerTime {};
};

struct TargetView {
    TargetRecord record;
    ZoneGroup group { ZoneGroup::Own };
    // Additional network round trip compared with the local zone.
    Duration extraRoundTrip {};
    LoadReport load;
    std::optional<Instant> reportedAt;
    // Calls of this sender that are in flight to this target.
    uint32_t outstanding { 0 };
    // Time of the latest reply, or of the first send after all replies had arrived; valid while calls are outstanding.
    Instant silentSince;
    // Calls sent since the latest load report, which does not include them.
    uint32_t sentSinceReport { 0 };
    // Moving average of the wait for the request limit in the reports.
    Duration usualStartWait {};
    // Moving average of the latency without the extra round trip, normalised for the route; failures count as slow
    // answers.
    Duration latency {};
    // The same averaged over many more answers.
    Duration longTermLatency {};
    uint32_t answers { 0 };
    // Its calls belong to different routes, so its reported service time does not predict that of the next call.
    bool hasRoutes { false };
    // Start of slow start; empty when the target has never been in it.
    std::optional<Instant> rampStart;
    std::optional<Instant> ejectedUntil;
    uint32_t ejections { 0 };
    Instant lastEjection;
    // Time until which the target is not selected because it refuses all calls or cannot be reached.
    std::optional<Instant> unavailableUntil;
    // The exclusion is due to a failed send and not to a refusal of all calls.
    bool isUnreachable { false };
    // Position in the list of usable targets of its group; empty when it is not usable.
    std::optional<uint32_t> position;

    // Slow-start weight, between the minimum weight and 1.
    double weight(const RoutingOptions&, Instant now) const;
    // Running and queued calls in the latest report.
    double reportedLoad() const { return static_cast<double>(load.running) + load.queued; }
    // Time until the request limit of the target lets a call start that is sent now.
    Duration limitWait(Instant now) const;
    // Estimate of the calls at the target now; tends to meanLoad as the report ages.
    double estimatedLoad(const FreshLoad&, double meanLoad, Instant now) const;
    // Expected time of a call sent now, including the extra round trip.
    double expectedMicroseconds(const RoutingOptions&, const FreshLoad&, const ServiceMeans&, Instant now) const;
    // Expected time of a call when the target is otherwise idle. For a service with routes all targets are assumed to
    // be equally fast unless the long-term latency differs: the latest answers depend on the routes of those calls and
    // on the state of the VM at that time, neither of which predicts the next call.
    double unloadedServiceTime(const RoutingOptions&, const ServiceMeans&) const;
    void applyReport(const LoadReport&, Instant now);
    void addLatency(const RoutingOptions&, Duration sample);
};

} // namespace Berylport
