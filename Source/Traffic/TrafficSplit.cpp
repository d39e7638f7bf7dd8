#include "Traffic/TrafficSplit.h"

#include <algorithm>
#include <numeric>

namespace Berylport {

namespace {

size_t selectDestination(const std::vector<RouteDestination>& destinations, std::vector<int64_t>& credits)
{
    int64_t total = 0;
    for (size_t n = 0; n < destinations.size(); ++n) {
        credits[n] += destinations[n].weight;
        total += destinations[n].weight;
    }
    auto chosen = static_cast<size_t>(std::ranges::max_element(credits) - credits.begin());
    credits[chosen] -= total;
    return chosen;
}

} // namespace

TrafficSplit::State& TrafficSplit::stateOf(const TrafficRoute& route)
{
    auto& state = m_states[route.name];
    if (state.destinations == route.destinations)
        return state;
    state = { .destinations = route.destinations, .credits = std::vector<int64_t>(route.destinations.size()) };
    uint64_t period = 0;
    for (auto& it : route.destinations)
        period += it.weight;
    for (uint64_t n = m_random.below(std::max<uint64_t>(period, 1)); n; --n)
        selectDestination(state.destinations, state.credits);
    return state;
}

const ServiceName& TrafficSplit::next(const TrafficRoute& route)
{
    if (route.destinations.size() == 1)
        return route.destinations.front().service;
    auto& state = stateOf(route);
    return route.destinations[selectDestination(state.destinations, state.credits)].service;
}

void TrafficSplit::retain(const TrafficConfiguration& configuration)
{
    std::erase_if(m_states, [&](auto& entry) {
        return std::ranges::none_of(configuration.routes, [&](auto& it) { return it.name == entry.first; });
    });
}

} // namespace Berylport
