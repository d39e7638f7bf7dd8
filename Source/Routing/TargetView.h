// What one sender knows about one target.
#pragma once

#include "Base/CallMessages.h"
#include "Base/TargetRecord.h"
#include "Routing/RoutingOptions.h"

#include <optional>

namespace Berylport {

// Position of a target relative to the sender; selection prefers the nearest group.
enum class ZoneGroup : uint8_t {
    Own,
    Region,
    Remote,
};

struct TargetView {
    TargetRecord record;
    ZoneGroup group { ZoneGroup::Own };
    // Network round trip beyond that within the own zone.
    Duration extraRoundTrip {};
    LoadReport load;
    std::optional<Instant> reportedAt;
    // Calls of this sender that are on the way or running there.
    uint32_t outstanding { 0 };
    // Newest reply, or the first sending after all replies; meaningful while calls are outstanding.
    Instant silentSince;
    // Of the outstanding calls, the ones that the newest report cannot contain.
    uint32_t sentSinceReport { 0 };
    // Smoothed answer time without the extra round trip; failures count as slow answers.
    Duration latency {};
    uint32_t answers { 0 };
    // Start of slow start; empty when the target has full weight.
    std::optional<Instant> rampStart;
    std::optional<Instant> ejectedUntil;
    uint32_t ejections { 0 };
    Instant lastEjection;
    // It refuses all calls; asked again then.
    std::optional<Instant> unavailableUntil;
    // Position in the list of usable targets of its group; empty when it is not usable.
    std::optional<uint32_t> position;

    // Between the minimum weight and 1.
    double weight(const RoutingOptions&, Instant now) const;
    // Running and queued calls as reported.
    double reportedLoad() const { return static_cast<double>(load.running) + load.queued; }
    // Best guess of the calls there now; meanLoad is assumed where the report is old.
    double estimatedLoad(const FreshLoad&, double meanLoad, Instant now) const;
    // Expected time of a call sent now, extra round trip included.
    double expectedMicroseconds(const RoutingOptions&, const FreshLoad&, double meanLoad, Instant now) const;
    void takeReport(const LoadReport&, Instant now);
    void addLatency(const RoutingOptions&, Duration sample);
};

} // namespace Berylport
