// Distributes a route's requests over its destinations in exactly the proportion of their weights.
#pragma once

#include "Base/Random.h"
#include "Traffic/TrafficConfiguration.h"

#include <map>
#include <vector>

namespace Berylport {

// Smooth weighted round robin: after any number of requests each destination has had its share to within one request.
// Counting goes on through configuration changes that leave a route's destinations as they are.
class TrafficSplit {
public:
    // The seed decides where each route starts, so that many nodes with few requests each do not begin alike.
    explicit TrafficSplit(uint64_t seed)
        : m_random(seed)
    {
    }

    const ServiceName& next(const TrafficRoute&);
    // Removes the state of routes that the configuration no longer has.
    void retain(const TrafficConfiguration&);

private:
    struct State {
        std::vector<RouteDestination> destinations;
        // Credit of each destination; the sum is zero between requests.
        std::vector<int64_t> credits;
    };

    State& stateOf(const TrafficRoute&);

    Random m_random;
    std::map<std::string, State> m_states;
};

} // namespace Berylport
