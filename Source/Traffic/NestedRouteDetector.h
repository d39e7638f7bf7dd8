// Distinguishes routes called by targets while they run a request (nested calls) from routes used by external callers.
// Requests do not name their parent, but a call that a target makes expires with its parent at the latest:
// a request that may wait for longer than every request that runs on this VM's target was not made by that target.
//
// Nested calls are treated differently. An external caller has an objective and may retry after a refusal; a refused
// nested call fails its parent, and the work already done for it is lost.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Berylport {

class NestedRouteDetector {
public:
    struct Options {
        // Arrivals needed before a route is classified as nested.
        uint32_t minimumArrivals { 6 };
        // Share of arrivals that no running request explains, above which a route is a callers' one. Not zero, as the
        // arrival of a call and the end of its parent may cross.
        double maximumUnexplainedShare { 0.05 };
        // Counts are halved at this many arrivals, so that a route whose callers change is reclassified.
        uint32_t halvingThreshold { 200 };
    };

    NestedRouteDetector()
        : NestedRouteDetector(Options {})
    {
    }
    explicit NestedRouteDetector(const Options& options)
        : m_options(options)
    {
    }

    // `isExplained`: some request that runs on the target of this VM expires no sooner than the arriving one.
    void recordArrival(const std::string& route, bool isExplained);
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
