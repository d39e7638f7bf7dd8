// Bounds how many extra attempts a service's calls may cause at this node.
#pragma once

#include "Base/Time.h"

namespace Berylport {

// What all nodes of a fleet together may add.
struct FleetBudget {
    // Extra attempts per call.
    double share { 0.10 };
    // Extra attempts beyond the share that all nodes may make within the window.
    double extra { 60 };
    Duration window { std::chrono::seconds(10) };
};

// A node among those that share a budget.
struct FleetPosition {
    // Nodes that may exist; zero while that is unknown.
    size_t nodes { 0 };
    // Number of nodes that come before this one in an order that all of them know.
    size_t rank { 0 };
};

// Two token buckets, one filled by calls and one by time. An extra attempt needs a token in either and is charged to
// both, so the rate is the larger of the two and not their sum.
class CallBudget {
public:
    struct Options {
        // Extra attempts per call.
        double share { 0.10 };
        // Extra attempts per second that are always allowed, so that a service with few calls can retry.
        double floorPerSecond { 3 };
        // Most unused attempts that the share and the floor each save up.
        double shareBurst { 20 };
        double floorBurst { 3 };
        // Time in which unused attempts of the share lose their value; zero: they keep it.
        Duration shareLifetime {};
        // A budget of a process that has just started; others may have spent what it would begin with.
        bool beginsEmpty { false };
    };

    // One node's part of a fleet's budget. Each node may spend all that it has saved up within one window, so savings
    // of all nodes together stay below half of the extra attempts, and the steady part takes a fifth of them. Where
    // nodes outnumber these attempts only the first nodes have a floor. While the number of nodes is unknown there is
    // no floor at all.
    static Options partOf(const FleetBudget&, const FleetPosition&);

    explicit CallBudget(Options);

    // What is saved up beyond the new bursts is lost.
    void setOptions(const Options&);
    void noteCall();
    bool tryTake(Instant now);

    const Options& options() const { return m_options; }

private:
    void refill(Instant now);

    Options m_options;
    double m_shareTokens { 0 };
    // Both buckets may go below zero, down to minus their burst.
    double m_floorTokens;
    Instant m_refilledAt;
};

} // namespace Berylport
