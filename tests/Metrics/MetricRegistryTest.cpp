// Guards against measures that mislead: wrong quantiles, old samples that never leave, a page a scraper cannot read.
#include "Metrics/Metrics.h"

#include "Base/Random.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace Berylport;

namespace {

constexpr Instant start = instantFromMicroseconds(0);

} // namespace

TEST(LatencyDistribution, QuantilesAreCloseToTheSortedSamples)
{
    Random random(7);
    LatencyDistribution distribution;
    std::vector<double> samples;
    for (int i = 0; i < 50'000; ++i) {
        samples.push_back(random.exponential(10'000));
        distribution.add(Duration(static_cast<int64_t>(samples.back())), start);
    }
    std::ranges::sort(samples);
    auto exact = [&](double probability) { return samples[static_cast<size_t>(probability * 50'000)]; };
    LatencySummary summary = distribution.summary(start);
    EXPECT_NEAR(static_cast<double>(summary.p50.count()), exact(0.5), 0.05 * exact(0.5));
    EXPECT_NEAR(static_cast<double>(summary.p99.count()), exact(0.99), 0.10 * exact(0.99));
}

TEST(LatencyDistribution, FewSamplesGiveMeanAndMaximum)
{
    LatencyDistribution distribution;
    distribution.add(Duration(100), start);
    distribution.add(Duration(300), start);
    LatencySummary summary = distribution.summary(start);
    EXPECT_EQ(summary.p50, Duration(200));
    EXPECT_EQ(summary.p99, Duration(300));
}

TEST(LatencyDistribution, OldSamplesLeaveAfterTwoWindows)
{
    LatencyDistribution distribution;
    distribution.add(Duration(1'000'000), start);
    Instant later = start + 3 * LatencyDistribution::windowLength;
    distribution.add(Duration(10), later);
    EXPECT_EQ(distribution.summary(later).maximum, Duration(10));
    EXPECT_EQ(distribution.totalCount(), 2u);
}

TEST(MetricRegistry, PageHasOneTypeLineForEachName)
{
    MetricRegistry registry;
    registry.add({ .name = "berylport_calls_total", .labelName = "service", .labelValue = "a\"b" }, 2);
    registry.add({ .name = "berylport_calls_total", .labelName = "service", .labelValue = "c" });
    registry.set("berylport_members", 3);
    std::string page = registry.textPage(start);
    EXPECT_EQ(page,
        "# TYPE berylport_calls_total counter\n"
        "berylport_calls_total{service=\"a\\\"b\"} 2\n"
        "berylport_calls_total{service=\"c\"} 1\n"
        "# TYPE berylport_members gauge\n"
        "berylport_members 3\n");
}
