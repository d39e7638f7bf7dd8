// Probes one member a period, first directly, then through others, and suspects it when no answer comes (SWIM), with
// waits that grow while this node itself seems slow (Lifeguard).
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

struct ProbeThroughOthers {
    NodeId node;
    uint64_t sequence { 0 };
    std::vector<NodeId> helpers;
};

// No answer came, directly or through others.
struct SuspectMember {
    NodeId node;
};

// Suspected for the whole suspicion time.
struct DeclareDead {
    NodeId node;
};

using DetectorAction = std::variant<ProbeMember, ProbeThroughOthers, SuspectMember, DeclareDead>;

struct DetectorOptions {
    Duration probeInterval { std::chrono::milliseconds(500) };
    // Above the longest round trip between regions.
    Duration directTimeout { std::chrono::milliseconds(200) };
    Duration suspicionTime { std::chrono::seconds(5) };
    uint32_t indirectProbes { 3 };
    // Highest factor by which a slow node stretches its waits, minus one.
    uint32_t maximumSlowness { 8 };
};

class FailureDetector {
public:
    explicit FailureDetector(const DetectorOptions& options)
        : m_options(options)
    {
    }

    // Members to probe: alive or suspected ones.
    void setMembers(std::vector<NodeId>);
    void suspected(NodeId, Instant now);
    // A newer record says that it is alive, or it left.
    void cleared(NodeId);

    void answered(NodeId, uint64_t sequence);
    // Any datagram of another member: this node is not the slow one.
    void heard(Instant now) { m_lastHeard = now; }
    // Missing answers from the time of the pause prove nothing about others.
    void paused(Instant now);
    void tick(Instant now, Random&, std::vector<DetectorAction>&);
    Instant nextWake() const;

    uint32_t slowness() const { return m_slowness; }
    uint64_t takeSequence() { return ++m_lastSequence; }

private:
    struct Probe {
        NodeId node;
        uint64_t sequence { 0 };
        Instant directDeadline;
        Instant deadline;
        Instant started;
        bool isIndirect { false };
        bool hasHelpers { false };
        bool isAnswered { false };
    };

    Duration stretched(Duration wait) const { return wait * (1 + m_slowness); }
    void checkProbe(Instant now, Random&, std::vector<DetectorAction>&);
    void endProbe(Instant now, std::vector<DetectorAction>&);
    void startProbe(Instant now, Random&, std::vector<DetectorAction>&);
    std::optional<NodeId> nextMember(Random&);
    std::vector<NodeId> chooseHelpers(NodeId probed, Random&) const;
    void declareDead(Instant now, std::vector<DetectorAction>&);

    DetectorOptions m_options;
    std::vector<NodeId> m_members;
    // Members of the current round in random order; every member is probed once a round.
    std::vector<NodeId> m_round;
    std::optional<Probe> m_probe;
    Instant m_nextProbe;
    Instant m_lastHeard;
    uint64_t m_lastSequence { 0 };
    // Rises with each missed answer while nothing at all is heard, although others were asked to help, and falls with
    // each
    // answer: high while this node itself is slow or cut off. Without helpers nobody can tell whose fault it is;
    // raising it then let a node of two take 45 s instead of 5 s to declare its peer dead.
    uint32_t m_slowness { 0 };
    std::unordered_map<NodeId, Instant> m_suspectedSince;
};

} // namespace Berylport
