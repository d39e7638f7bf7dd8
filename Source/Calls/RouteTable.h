// Everything the sender keeps per service.
#pragma once

#include "Calls/CallOptions.h"

#include <span>
#include <unordered_map>

namespace Berylport {

struct ServiceRoute {
    explicit ServiceRoute(const CallOptions& options)
        : selector(options.routing)
        , retryBudget(options.retryBudget)
        , redispatchBudget(options.redispatchBudget)
        , latency(options.latency)
    {
    }

    TargetSelector selector;
    CallBudget retryBudget;
    CallBudget redispatchBudget;
    // Time of answered attempts, for the hedge delay and the least remaining time of a retry.
    LatencyEstimate latency;
};

class RouteTable {
public:
    explicit RouteTable(CallOptions options)
        : m_options(std::move(options))
    {
    }

    // The targets of all services.
    void updateTargets(std::span<const TargetRecord>, Instant now);
    // Creates an empty route for a service that is not known yet.
    ServiceRoute& route(const ServiceName&);
    // For all services, those not known yet included.
    void setRetryBudget(const CallBudget::Options&);

private:
    CallOptions m_options;
    std::unordered_map<ServiceName, ServiceRoute> m_routes;
};

} // namespace Berylport
