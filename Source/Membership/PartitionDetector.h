// Detects whether this node is partitioned from most of its zone and from the rest of its region.
//
// The failure detector is too slow for this: a partitioned node misses nearly every response, so its health penalty
// scales up its timeouts, and it would take minutes to declare a large zone dead. After two consecutive probe failures
// the node therefore queries several members at once.
#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_set>

namespace Berylport {

class PartitionDetector {
public:
    struct Options {
        // Members queried in this node's zone, and as many in the other zones of the region.
        size_t sampleSize { 8 };
        Duration responseTimeout { std::chrono::seconds(1) };
        uint32_t failedProbeThreshold { 2 };
        // Time between two checks while this node is cut off.
        Duration recheckInterval { std::chrono::seconds(2) };
    };

    explicit PartitionDetector(const Options& options)
        : m_options(options)
    {
    }

    void recordProbeFailure() { ++m_consecutiveProbeFailures; }
    void recordProbeSuccess() { m_consecutiveProbeFailures = 0; }
    // Aborts a running check: responses missed while the process was paused say nothing about the network.
    void reset();

    bool isDue(Instant now) const;
    bool isRunning() const { return m_isRunning; }
    void begin(Instant now);
    // Records that a member was queried with this sequence number.
    void addQuery(uint64_t sequence, bool isOwnZone);
    void recordResponse(uint64_t sequence);
    // Completes the check when all queried members have responded or the response timeout has passed. Returns true when
    // `isCutOff` has changed.
    bool completeIfDone(Instant now);
    Instant nextWake() const { return m_isRunning ? m_deadline : m_nextCheck; }

    // True when fewer than half of the members queried in this node's zone responded (or there were none to query) and
    // no member in the region's other zones did. The loss of another zone alone does not make a node cut off, nor does
    // having no members to query.
    bool isCutOff() const { return m_isCutOff; }

private:
    struct Sample {
        size_t queried { 0 };
        size_t responded { 0 };
    };

    bool hasLostContact() const;

    Options m_options;
    bool m_isCutOff { false };
    bool m_isRunning { false };
    uint32_t m_consecutiveProbeFailures { 0 };
    Instant m_nextCheck;
    Instant m_deadline;
    Sample m_ownZone;
    Sample m_otherZones;
    std::unordered_set<uint64_t> m_pendingOwnZone;
    std::unordered_set<uint64_t> m_pendingOtherZones;
};

} // namespace Berylport
