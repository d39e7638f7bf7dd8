// Options of the call coordinator.
#pragma once

#include "Base/SuspectRecord.h"
#include "Base/Time.h"
#include "Calls/CallBudget.h"
#include "Routing/Routing.h"

#include <functional>

namespace Berylport {

struct StartCall;

struct CallOptions {
    RoutingOptions routing;
    // Retries after a failure, and hedges.
    CallBudget::Options retryBudget { .share = 0.10 };
    // Redispatches after a target's node has confirmed that the call did not run.
    CallBudget::Options redispatchBudget { .share = 0.20 };
    LatencyEstimate::Options latency;
    uint32_t maximumDepth { 32 };
    // Number of refusals after which the call fails.
    uint32_t maximumRefusals { 3 };
    // How many of these may be soft refusals, by targets that are slow or busy at the moment and ask for another
    // target. They are not charged to the redispatch budget: each costs one message and spares the caller a slow
    // execution.
    uint32_t maximumSoftRefusals { 0 };
    // Interval after which an unanswered query is sent again; doubles each time up to the maximum.
    Duration firstQueryInterval { std::chrono::milliseconds(20) };
    Duration maximumQueryInterval { std::chrono::milliseconds(500) };
    // Whether idempotent calls are also retried after an internal error of the target (500). This is faster than a
    // retry by the caller.
    bool retriesServerErrors { false };
    // How far a request is suspected to end targets; none are if this is not set.
    std::function<Suspicion(const StartCall&)> suspicion {};
    // Retry delay given to the caller of a request that is not sent because it ends targets.
    Duration refusedRetryAfter { std::chrono::hours(1) };
    // Retry delay given to the caller when no refusal stated one.
    Duration defaultRetryAfter { std::chrono::milliseconds(500) };
    uint64_t seed { 1 };
};

} // namespace Berylport
