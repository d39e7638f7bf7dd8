// Estimates how long a caller has already waited when its request arrives. A refused caller retries with a new request
// whose objective counts from the first one; the only sign of it is a shorter timeout than others of its route have.
// Matters under overload, when many callers retry: slots should go to callers that can still be answered in time.
#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace Berylport {

class RetryWaitEstimator {
public:
    struct Options {
        // Callers of a route that ask for the first time give at least this share of the most that any of them gives.
        double firstAttemptShare { 0.8 };
        // The most that callers give is forgotten by half in this time, so that a route whose callers change is learned
        // anew.
        Duration halfLife { std::chrono::seconds(60) };
        // Arrivals of a route needed before an estimate is made.
        uint32_t minimumArrivals { 10 };
    };

    RetryWaitEstimator()
        : RetryWaitEstimator(Options {})
    {
    }
    explicit RetryWaitEstimator(const Options& options)
        : m_options(options)
    {
    }

    // Records a request with the given timeout. Returns a lower bound of the time its caller has already waited.
    Duration recordArrival(const std::string& route, Duration given, Instant now);

private:
    struct Route {
        // Microseconds.
        double longestTimeout { 0 };
        Instant longestSeenAt;
        uint32_t arrivals { 0 };
    };

    Options m_options;
    // Bounded by the routes of the configuration, as only these are asked about.
    std::map<std::string, Route> m_routes;
};

} // namespace Berylport
