// Hands each service its own targets.
#include "Calls/RouteTable.h"

namespace Berylport {

void RouteTable::updateTargets(std::span<const TargetRecord> records, Instant now)
{
    std::unordered_map<ServiceName, std::vector<TargetRecord>> byService;
    // A service whose last target has gone is updated with an empty list.
    for (const auto& [name, route] : m_routes)
        byService[name];
    for (const auto& record : records)
        byService[record.id.service].push_back(record);
    for (const auto& [name, targets] : byService)
        route(name).selector.updateTargets(targets, now);
}

ServiceRoute& RouteTable::route(const ServiceName& name) { return m_routes.try_emplace(name, m_options).first->second; }

void RouteTable::setRetryBudget(const CallBudget::Options& options)
{
    m_options.retryBudget = options;
    for (auto& [name, it] : m_routes)
        it.retryBudget.setOptions(options);
}

} // namespace Berylport
