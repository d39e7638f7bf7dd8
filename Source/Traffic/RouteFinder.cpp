// Prefixes are looked up from the longest possible one to the shortest, so a search costs one look-up per path segment.
#include "Traffic/RouteFinder.h"

#include <algorithm>

namespace Berylport {

Priority priorityOfRank(uint32_t rank)
{
    if (!rank)
        return Priority::Critical;
    return rank == 1 ? Priority::Normal : Priority::Bulk;
}

std::string normalizeHost(std::string_view host)
{
    std::string text(host.substr(0, host.rfind(':')));
    std::ranges::transform(
        text, text.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return text;
}

RouteFinder::RouteFinder(std::shared_ptr<const TrafficConfiguration> configuration)
    : m_configuration(std::move(configuration))
{
    for (auto& it : m_configuration->routes)
        m_hosts[it.host].emplace(it.prefix, &it);
}

const TrafficRoute* RouteFinder::find(std::string_view host, std::string_view target) const
{
    auto known = m_hosts.find(normalizeHost(host));
    if (known == m_hosts.end())
        return nullptr;
    std::string_view path = target.substr(0, target.find('?'));
    while (!path.empty()) {
        size_t slash = path.rfind('/');
        if (slash == std::string_view::npos)
            return nullptr;
        auto route = known->second.find(path.substr(0, slash + 1));
        if (route != known->second.end())
            return route->second;
        path = path.substr(0, slash);
    }
    return nullptr;
}

} // namespace Berylport
