// The measures of one process: counters, gauges and latency distributions by name and label, and their text page.
#pragma once

#include "Metrics/LatencyDistribution.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Berylport {

// One label is enough for our measures: a service, a reason or a link.
struct MetricKey {
    std::string name;
    std::string labelName;
    std::string labelValue;
    // clang-tidy 14 reports the comparison with zero inside a defaulted <=>.
    auto operator<=>(const MetricKey&) const = default; // NOLINT(modernize-use-nullptr)
};

struct MetricRow {
    MetricKey key;
    double value { 0 };
};

class MetricRegistry {
public:
    void add(std::string_view name, uint64_t n = 1);
    void add(const MetricKey&, uint64_t n = 1);
    void set(std::string_view name, double value);
    void set(const MetricKey&, double value);
    void record(const MetricKey&, Duration, Instant now);

    uint64_t counter(const MetricKey&) const;
    uint64_t counter(std::string_view name) const;

    // Every measure as single values; a distribution gives one row for each of its figures, in seconds.
    std::vector<MetricRow> rows(Instant now);

    // Prometheus text exposition format, version 0.0.4.
    std::string textPage(Instant now);

private:
    std::map<MetricKey, uint64_t> m_counters;
    std::map<MetricKey, double> m_gauges;
    std::map<MetricKey, LatencyDistribution> m_latencies;
};

} // namespace Berylport
