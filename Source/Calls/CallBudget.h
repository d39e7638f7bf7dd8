// Bounds how many extra attempts a service's calls may cause at this node.
#pragma once

#include "Base/Time.h"

namespace Berylport {

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
    };

    explicit CallBudget(Options);

    void noteCall();
    bool tryTake(Instant now);

private:
    void refill(Instant now);

    Options m_options;
    double m_shareTokens { 0 };
    // Both buckets may go below zero, down to minus their burst.
    double m_floorTokens;
    Instant m_refilledAt;
};

} // namespace Berylport
