// One version of the operators' routes, services and limits. Immutable once built; a newer version replaces it whole.
#pragma once

#include "Base/Identifiers.h"
#include "Base/ServiceDefinition.h"
#include "Base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Berylport {

struct RouteDestination {
    ServiceName service;
    // Share of the route's requests, relative to the other destinations' weights.
    uint32_t weight { 1 };
    bool operator==(const RouteDestination&) const = default;
};

// Requests to one host whose path begins with the prefix.
struct TrafficRoute {
    std::string name;
    // In lower case, without a port.
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    // Never empty; the weights add up to more than zero.
    std::vector<RouteDestination> destinations;
    RequestKind kind { RequestKind::AtMostOnce };
    // The caller has its final answer by then.
    Duration timeout { std::chrono::seconds(2) };
    // An answer within this time is worth the most to its caller.
    Duration latencyObjective { std::chrono::seconds(2) };
    // Targets that may be tried for one request.
    uint32_t maximumAttempts { 1 };
    // 0 is the most urgent.
    uint32_t rank { 0 };
    // Callers need no key, even if the configuration has accounts.
    bool isPublic { false };
    bool operator==(const TrafficRoute&) const = default;
};

struct TrafficService {
    ServiceName name;
    std::string healthPath { "/health" };
    // Connections that one target accepts from all callers.
    uint32_t maximumConnections { 250 };
    // Requests per second that a cold target tolerates from all nodes together; zero if it tolerates any number.
    double coldRequestsPerSecond { 0 };
    // How long a target is cold after its start.
    Duration coldTime {};
    bool operator==(const TrafficService&) const = default;
};

// Bounds on what a caller may send and how long it may take.
struct CallerLimits {
    uint32_t headerBytes { 16 * 1024 };
    uint32_t bodyBytes { 1024 * 1024 };
    Duration headerTimeout { std::chrono::seconds(10) };
    Duration idleTimeout { std::chrono::seconds(60) };
    bool operator==(const CallerLimits&) const = default;
};

// A client on whose behalf callers send requests; they identify it by one of its keys.
struct ClientAccount {
    TenantName name;
    std::vector<std::string> keys;
    // Goes before the rank of the route.
    std::optional<uint32_t> rank {};
    // Requests per second that all nodes together accept, and as many more at once; a rate of zero sets no limit.
    double requestsPerSecond { 0 };
    double burst { 0 };
    bool operator==(const ClientAccount&) const = default;
};

struct TrafficConfiguration {
    uint64_t version { 0 };
    std::vector<TrafficRoute> routes;
    std::vector<TrafficService> services;
    CallerLimits limits;
    // Absent if callers need no key.
    std::optional<std::vector<ClientAccount>> accounts {};
    bool operator==(const TrafficConfiguration&) const = default;
};

// The three levels that admission queues by. Ranks below the second share the lowest one.
Priority priorityOfRank(uint32_t rank);

} // namespace Berylport
