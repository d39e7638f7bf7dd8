// Tells routes that are called by targets while they run a request from routes that callers use. Callers of these
// environments do not name the parent of a call, but a call that a target makes expires with its parent at the latest:
// a request that may wait for longer than every request that runs on this VM's target was not made by that target.
//
// Such calls answer a different load than callers' requests. A caller has an objective and may come back after a
// refusal; a refused nested call fails its parent, and the work already done for it is lost.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Berylport {

class NestedRoutes {
public:
    struct Options {
        // Arrivals before a route is told to be nested.
        uint32_t minimumArrivals { 6 };
        // Share of arrivals that no running request explains, above which a route is a callers' one. Not zero, as the
        // arrival of a call and the end of its parent may cross.
        double foreignShare { 0.05 };
        // Counts are halved at this many arrivals, so that a route that changes its users is told anew.
        uint32_t memory { 200 };
    };

    NestedRoutes()
        : NestedRoutes(Options {})
    {
    }
    explicit NestedRoutes(const Options& options)
        : m_options(options)
    {
    }

    // `isExplained`: some request that runs on the target of this VM expires no sooner than the arriving one.
    void noteArrival(const std::string& route, bool isExplained);
    bool isNested(const std::string& route) const;

private:
    struct Counts {
        uint32_t arrivals { 0 };
        uint32_t unexplained { 0 };
    };

    Options m_options;
    // Bounded by the routes of the configuration, as only these are asked about.
    std::map<std::string, Counts> m_counts;
};

} // namespace Berylport
