// Per-service state of the call coordinator: target selection, budgets and latency.
#pragma once

#include "Calls/CallOptions.h"

#include <span>
#include <unordered_map>

namespace Berylport {

struct ServiceState {
    explicit ServiceState(const CallOptions& options)
        : selector(options.routing)
        , retryBudget(options.retryBudget)
        , redispatchBudget(options.redispatchBudget)
        , latency(options.latency)
    {
    }

    TargetSelector selector;
    CallBudget retryBudget;
    CallBudget redispatchBudget;
    // Latency of successful attempts; gives the hedge delay and the minimum remaining time for a further attempt.
    LatencyEstimate latency;
};

class ServiceTable {
public:
    explicit ServiceTable(CallOptions options)
        : m_options(std::move(options))
    {
    }

    // Replaces the target lists of all services.
    void updateTargets(std::span<const TargetRecord>, Instant now);
    // Creates the state of a service that is not known yet, without targets.
    ServiceState& stateOf(const ServiceName&);
    // Applies to all services, also to those added later.
    void setRetryBudget(const CallBudget::Options&);

private:
    CallOptions m_options;
    std::unordered_map<ServiceName, ServiceState> m_services;
};

} // namespace Berylport
