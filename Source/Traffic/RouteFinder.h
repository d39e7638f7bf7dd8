// Finds the route of a request: its host's route with the longest prefix of the path.
#pragma once

#include "Traffic/TrafficConfiguration.h"

#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace Berylport {

class RouteFinder {
public:
    explicit RouteFinder(std::shared_ptr<const TrafficConfiguration>);

    // Null when no route matches. `host` may carry a port and capitals; `target` may carry a query.
    const TrafficRoute* find(std::string_view host, std::string_view target) const;
    const TrafficConfiguration& configuration() const { return *m_configuration; }

private:
    using RoutesByPrefix = std::map<std::string_view, const TrafficRoute*>;

    std::shared_ptr<const TrafficConfiguration> m_configuration;
    std::unordered_map<std::string_view, RoutesByPrefix> m_hosts;
};

// Lower case, without the port.
std::string normalizeHost(std::string_view);

} // namespace Berylport
