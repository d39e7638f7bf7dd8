// Distributes target updates and budget options to the services.
#include "Calls/ServiceTable.h"

namespace Berylport {

void ServiceTable::updateTargets(std::span<const TargetRecord> records, Instant now)
{
    std::unordered_map<ServiceName, std::vector<TargetRecord>> byService;
    // Services whose last target has been removed get an empty list.
    for (const auto& [name, route] : m_services)
        byService[name];
    for (const auto& record : records)
        byService[record.id.service].push_back(record);
    for (const auto& [name, targets] : byService)
        stateOf(name).selector.updateTargets(targets, now);
}

ServiceState& ServiceTable::stateOf(const ServiceName& name)
{
    return m_services.try_emplace(name, m_options).first->second;
}

void ServiceTable::setRetryBudget(const CallBudget::Options& options)
{
    m_options.retryBudget = options;
    for (auto& [name, it] : m_services)
        it.retryBudget.setOptions(options);
}

} // namespace Berylport
