// Retry budget: limits the extra attempts (retries, hedges, redispatches) of a service's calls at this node.
#pragma once

#include "Base/Time.h"

namespace Berylport {

// Limit on the extra attempts of all nodes of a fleet together.
struct FleetBudget {
    // Extra attempts per call.
    double share { 0.10 };
    // Extra attempts that all nodes together may make within the window in addition to the share.
    double extra { 60 };
    Duration window { std::chrono::seconds(10) };
};

// Position of a node among the nodes that share a fleet budget.
struct FleetPosition {
    // Number of nodes that may exist; zero while it is unknown.
    size_t nodes { 0 };
    // Number of nodes before this one in an order on which all nodes agree.
    size_t rank { 0 };
};

// Two token buckets: calls refill one (the share), time refills the other (the floor). An extra attempt needs a token
// in either bucket and is charged to both, so the permitted rate is the larger of the two and not their sum.
class CallBudget {
public:
    struct Options {
        // Extra attempts per call.
        double share { 0.10 };
        // Refill rate of the floor bucket in extra attempts per second; lets a service with few calls retry.
        double floorPerSecond { 3 };
        // Capacities of the two buckets.
        double shareBurst { 20 };
        double floorBurst { 3 };
        // Time constant of the exponential decay of unused share tokens; zero disables the decay.
        Duration shareLifetime {};
        // Start with an empty floor bucket: a process that ran here before may have spent those tokens already.
        bool beginsEmpty { false };
    };

    // Options for one node's part of a fleet budget. A node may spend a full floor bucket within one window, so the
    // capacities of all nodes add up to at most half of the extra attempts and their refill over a window to a fifth.
    // If this leaves less than one token per node, only the nodes of the lowest ranks get a floor. While the number of
    // nodes is unknown there is no floor.
    static Options forNode(const FleetBudget&, const FleetPosition&);

    explicit CallBudget(Options);

    // Discards tokens above the new capacities.
    void setOptions(const Options&);
    void recordCall();
    bool tryTake(Instant now);

    const Options& options() const { return m_options; }

private:
    void refill(Instant now);

    Options m_options;
    double m_shareTokens { 0 };
    // Either bucket may go negative, down to minus its capacity.
    double m_floorTokens;
    Instant m_refilledAt;
};

} // namespace Berylport
