// SWIM failure detector: probes one member per period, directly and then indirectly through other members, and suspects
// it when no ack arrives. Timeouts grow with the local health penalty (Lifeguard).
#pragma once

#include "Base/Identifiers.h"
#include "Base/Random.h"
#include "Base/Time.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Berylport {

struct ProbeMember {
    NodeId node;
    uint64_t sequence { 0 };
};

struct ProbeIndirectly {
    NodeId node;
    uint64_t sequence { 0 };
    std::vector<NodeId> relays;
};

// Neither the direct nor the indirect probe was acknowledged.
struct SuspectMember {
    NodeId node;
};

// The suspicion timeout has elapsed without a refutation.
struct DeclareDead {
    NodeId node;
};

using DetectorAction = std::variant<ProbeMember, ProbeIndirectly, SuspectMember, DeclareDead>;

struct DetectorOptions {
    Duration probeInterval { std::chrono::milliseconds(500) };
    // Must exceed the longest round trip between regions.
    Duration directTimeout { std::chrono::milliseconds(200) };
    Duration suspicionTime { std::chrono::seconds(5) };
    uint32_t indirectProbes { 3 };
    // Upper bound of the health penalty; timeouts are scaled by at most this value plus one.
    uint32_t maximumHealthPenalty { 8 };
};

class FailureDetector {
public:
    explicit FailureDetector(const DetectorOptions& options)
        : m_options(options)
    {
    }

    // Sets the members to probe: those alive or suspected.
    void setMembers(std::vector<NodeId>);
    void startSuspicion(NodeId, Instant now);
    // The member refuted the suspicion with a newer record, was declared dead, or left.
    void cancelSuspicion(NodeId);

    void ackReceived(NodeId, uint64_t sequence);
    // Any datagram from another member shows that this node can still receive.
    void messageReceived(Instant now) { m_lastMessageAt = now; }
    // Called when the process resumes after a pause. Acks missed during the pause say nothing about other members.
    void paused(Instant now);
    void tick(Instant now, Random&, std::vector<DetectorAction>&);
    Instant nextWake() const;

    uint32_t healthPenalty() const { return m_healthPenalty; }
    uint64_t nextSequence() { return ++m_lastSequence; }

private:
    struct Probe {
        NodeId node;
        uint64_t sequence { 0 };
        Instant directDeadline;
        Instant deadline;
        Instant started;
        bool isIndirect { false };
        bool hasRelays { false };
        bool isAnswered { false };
    };

    Duration scaledByHealth(Duration wait) const { return wait * (1 + m_healthPenalty); }
    void checkProbe(Instant now, Random&, std::vector<DetectorAction>&);
    void endProbe(Instant now, std::vector<DetectorAction>&);
    void startProbe(Instant now, Random&, std::vector<DetectorAction>&);
    std::optional<NodeId> nextMember(Random&);
    std::vector<NodeId> selectRelays(NodeId probed, Random&) const;
    void declareDead(Instant now, std::vector<DetectorAction>&);

    DetectorOptions m_options;
    std::vector<NodeId> m_members;
    // Members still to be probed in this round, in random order; every member is probed once per round.
    std::vector<NodeId> m_round;
    std::optional<Probe> m_probe;
    Instant m_nextProbe;
    Instant m_lastMessageAt;
    uint64_t m_lastSequence { 0 };
    // Lifeguard's local health score. Rises with each failed probe during which no datagram arrived although indirect
    // probes were requested, and falls with each ack: it is high while this node itself is slow or cut off. Without
    // relays the failure cannot be attributed to either side; raising the penalty then made a node of a two-node fleet
    // take 45 s instead of 5 s to declare its peer dead.
    uint32_t m_healthPenalty { 0 };
    std::unordered_map<NodeId, Instant> m_suspectedSince;
};

} // namespace Berylport
