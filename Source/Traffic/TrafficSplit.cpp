#include "Traffic/TrafficSplit.h"

#include <algorithm>
#include <numeric>

namespace Berylport {

namespace {

size_t takeTurn(const std::vector<RouteDestination>& destinations, std::vector<int64_t>& credits)
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

TrafficSplit::Turn& TrafficSplit::turnOf(const TrafficRoute& route)
{
    auto& turn = m_turns[route.name];
    if (turn.destinations == route.destinations)
        return turn;
    turn = { .destinations = route.destinations, .credits = std::vector<int64_t>(route.destinations.size()) };
    uint64_t period = 0;
    for (auto& it : route.destinations)
        period += it.weight;
    for (uint64_t n = m_random.below(std::max<uint64_t>(period, 1)); n; --n)
        takeTurn(turn.destinations, turn.credits);
    return turn;
}

const ServiceName& TrafficSplit::next(const TrafficRoute& route)
{
    if (route.destinations.size() == 1)
        return route.destinations.front().service;
    auto& turn = turnOf(route);
    return route.destinations[takeTurn(turn.destinations, turn.credits)].service;
}

void TrafficSplit::retain(const TrafficConfiguration& configuration)
{
    std::erase_if(m_turns, [&](auto& entry) {
        return std::ranges::none_of(configuration.routes, [&](auto& it) { return it.name == entry.first; });
    });
}

} // namespace Berylport
