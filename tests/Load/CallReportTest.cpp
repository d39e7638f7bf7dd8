// Guards the report: percentiles by nearest rank, and no lost call that is missing from the counts.
#include "Load/CallReport.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Berylport;
using namespace std::chrono_literals;

// Fails when a percentile is off by one rank.
TEST(CallReport, PercentilesOfAThousandSamples)
{
    std::vector<Duration> samples;
    for (int n = 1000; n >= 1; --n)
        samples.emplace_back(n);
    auto it = summarize(samples);
    EXPECT_EQ(it.count, 1000u);
    EXPECT_EQ(it.mean, 500us);
    EXPECT_EQ(it.p50, 500us);
    EXPECT_EQ(it.p90, 900us);
    EXPECT_EQ(it.p99, 990us);
    EXPECT_EQ(it.p999, 999us);
    EXPECT_EQ(it.maximum, 1000us);
}

// Fails when few samples index outside of the array or a high percentile is not the maximum.
TEST(CallReport, PercentilesOfFewSamples)
{
    EXPECT_EQ(summarize({}).maximum, Duration::zero());
    auto one = summarize({ 7us });
    EXPECT_EQ(one.p50, 7us);
    EXPECT_EQ(one.p999, 7us);
    EXPECT_EQ(summarize({ 1us, 9us }).p99, 9us);
    EXPECT_EQ(summarize({ 1us, 9us }).p50, 1us);
}

// Fails when a rank is rounded up because its share is not exact in binary.
TEST(CallReport, PercentileOfInexactShare)
{
    std::vector<Duration> samples;
    for (int n = 1; n <= 100; ++n)
        samples.emplace_back(n);
    EXPECT_EQ(percentile(samples, 0.07), 7us);
}

// Fails when the percentile is not the smallest sample that reaches the share.
RC_GTEST_PROP(CallReport, PercentileMatchesItsDefinition, ())
{
    auto values = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 50)));
    auto percent = *rc::gen::inRange(1, 101);
    std::sort(values.begin(), values.end());
    std::vector<Duration> samples(values.size());
    std::transform(values.begin(), values.end(), samples.begin(), [](int n) { return Duration(n); });
    auto found = percentile(samples, percent / 100.0);
    auto notAbove = [&](Duration limit) {
        return std::count_if(samples.begin(), samples.end(), [=](Duration it) { return it <= limit; });
    };
    auto size = static_cast<int64_t>(samples.size());
    RC_ASSERT(notAbove(found) * 100 >= size * percent);
    RC_ASSERT(notAbove(found - 1us) * 100 < size * percent);
}

// Fails when refused or lost calls enter the latency of the calls that ran, or get no count.
TEST(CallReport, KeepsOutcomesApart)
{
    std::vector<CallRecord> records {
        { .latency = 4ms, .outcome = CallOutcome::Run, .status = 200 },
        { .latency = 6ms, .outcome = CallOutcome::Run, .status = 500 },
        { .latency = 1ms, .outcome = CallOutcome::NotRun, .status = 503 },
        { .latency = 9ms, .outcome = CallOutcome::MayHaveRun, .status = 504 },
        { .latency = 90ms, .outcome = CallOutcome::TransportError, .error = "connect-failed" },
    };
    auto report = makeReport(records, 2s, 300us);
    EXPECT_EQ(report.count, 5u);
    EXPECT_DOUBLE_EQ(report.rate, 2.5);
    EXPECT_EQ(report.run.mean, 5ms);
    EXPECT_EQ(report.run.count, 2u);
    EXPECT_EQ(report.notAnsweredByTarget.maximum, 9ms);
    EXPECT_EQ(report.outcomes[CallOutcome::TransportError], 1u);
    EXPECT_EQ(report.errors["connect-failed"], 1u);
    EXPECT_EQ(report.statuses.size(), 4u);
}

// Fails when the outcome of a header that is missing or unknown is taken for one that Berylport gave.
TEST(CallReport, ReadsOutcomes)
{
    EXPECT_EQ(parseCallOutcome("run"), CallOutcome::Run);
    EXPECT_EQ(parseCallOutcome("not-run"), CallOutcome::NotRun);
    EXPECT_EQ(parseCallOutcome("may-have-run"), CallOutcome::MayHaveRun);
    EXPECT_EQ(parseCallOutcome(""), CallOutcome::Unstated);
    EXPECT_EQ(parseCallOutcome("transport-error"), CallOutcome::Unstated);
}

// Fails when the output loses a field that scripts read.
TEST(CallReport, PrintsTextAndJson)
{
    std::vector<CallRecord> records {
        { .latency = 1500us, .outcome = CallOutcome::Run, .status = 200 },
        { .latency = 90ms, .outcome = CallOutcome::TransportError, .error = "pool-full" },
    };
    auto report = makeReport(records, 1s, 250us);
    EXPECT_EQ(reportJson(report),
        "{\"count\":2,\"rate\":2.0,\"latencyMs\":{\"count\":1,\"mean\":1.500,\"p50\":1.500,\"p90\":1.500,\"p99\":1.500,"
        "\"p99.9\":1.500,\"max\":1.500},\"otherLatencyMs\":{\"count\":0,\"mean\":0.000,\"p50\":0.000,\"p90\":0.000,"
        "\"p99\":0.000,\"p99.9\":0.000,\"max\":0.000},\"maximumSendDelayMs\":0.250,"
        "\"outcomes\":{\"run\":1,\"transport-error\":1},\"statuses\":{\"200\":1},\"transportErrors\":{\"pool-full\":1}}"
        "\n");
    auto text = reportText(report);
    EXPECT_NE(text.find("latency of answers by targets, ms: count 1, mean 1.500"), std::string::npos);
    EXPECT_NE(text.find("transport errors: pool-full 1"), std::string::npos);
}
