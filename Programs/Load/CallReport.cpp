// Percentiles by nearest rank; text and JSON output.
#include "Load/CallReport.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>

namespace Berylport {

namespace {

constexpr double microsecondsPerSecond = 1'000'000;
constexpr double microsecondsPerMillisecond = 1'000;
// 0.07 * 100 is a little above 7 in binary floating point, and would be rounded up to rank 8.
constexpr double rankTolerance = 1e-6;

std::string milliseconds(Duration duration)
{
    char buf[32];
    std::snprintf(buf, sizeof(buf), "%.3f", static_cast<double>(duration.count()) / microsecondsPerMillisecond);
    return buf;
}

std::string decimal(double n)
{
    char buf[32];
    std::snprintf(buf, sizeof(buf), "%.1f", n);
    return buf;
}

std::string keyText(CallOutcome outcome) { return std::string(toText(outcome)); }
std::string keyText(uint16_t status) { return std::to_string(status); }
std::string keyText(const std::string& text) { return text; }

template <typename Map> std::string countsText(const Map& counts)
{
    std::string out;
    for (auto& [key, n] : counts)
        out += " " + keyText(key) + " " + std::to_string(n);
    return out.empty() ? " none" : out;
}

template <typename Map> std::string countsJson(const Map& counts)
{
    std::string out = "{";
    for (auto& [key, n] : counts)
        out += (out.size() > 1 ? ",\"" : "\"") + keyText(key) + "\":" + std::to_string(n);
    return out + "}";
}

std::string latencyText(const LatencyPercentiles& it)
{
    return "count " + std::to_string(it.count) + ", mean " + milliseconds(it.mean) + ", p50 " + milliseconds(it.p50)
        + ", p90 " + milliseconds(it.p90) + ", p99 " + milliseconds(it.p99) + ", p99.9 " + milliseconds(it.p999)
        + ", max " + milliseconds(it.maximum);
}

std::string latencyJson(const LatencyPercentiles& it)
{
    return "{\"count\":" + std::to_string(it.count) + ",\"mean\":" + milliseconds(it.mean)
        + ",\"p50\":" + milliseconds(it.p50) + ",\"p90\":" + milliseconds(it.p90) + ",\"p99\":" + milliseconds(it.p99)
        + ",\"p99.9\":" + milliseconds(it.p999) + ",\"max\":" + milliseconds(it.maximum) + "}";
}

} // namespace

CallOutcome parseCallOutcome(std::string_view text)
{
    for (auto it : { CallOutcome::Run, CallOutcome::NotRun, CallOutcome::MayHaveRun }) {
        if (toText(it) == text)
            return it;
    }
    return CallOutcome::Unstated;
}

Duration percentile(std::span<const Duration> sorted, double share)
{
    if (sorted.empty())
        return {};
    auto rank = static_cast<size_t>(std::ceil(share * static_cast<double>(sorted.size()) - rankTolerance));
    return sorted[std::clamp<size_t>(rank, 1, sorted.size()) - 1];
}

LatencyPercentiles summarize(std::vector<Duration> samples)
{
    if (samples.empty())
        return {};
    std::sort(samples.begin(), samples.end());
    auto sum = std::accumulate(samples.begin(), samples.end(), Duration::zero());
    return { .count = samples.size(),
        .mean = sum / static_cast<int64_t>(samples.size()),
        .p50 = percentile(samples, 0.5),
        .p90 = percentile(samples, 0.9),
        .p99 = percentile(samples, 0.99),
        .p999 = percentile(samples, 0.999),
        .maximum = samples.back() };
}

CallReport makeReport(std::span<const CallRecord> records, Duration loadDuration, Duration maximumSendDelay)
{
    CallReport report { .count = records.size(), .maximumSendDelay = maximumSendDelay };
    if (loadDuration.count() > 0) {
        double seconds = static_cast<double>(loadDuration.count()) / microsecondsPerSecond;
        report.rate = static_cast<double>(records.size()) / seconds;
    }
    std::vector<Duration> run;
    std::vector<Duration> other;
    for (auto& it : records) {
        ++report.outcomes[it.outcome];
        if (it.outcome == CallOutcome::TransportError) {
            ++report.errors[std::string(it.error)];
            continue;
        }
        ++report.statuses[it.status];
        (it.outcome == CallOutcome::Run ? run : other).push_back(it.latency);
    }
    report.run = summarize(std::move(run));
    report.notAnsweredByTarget = summarize(std::move(other));
    return report;
}

std::string reportText(const CallReport& report)
{
    return "calls: " + std::to_string(report.count) + ", " + decimal(report.rate) + " a second\n"
        + "latency of answers by targets, ms: " + latencyText(report.run) + "\n" + "latency of other answers, ms: "
        + latencyText(report.notAnsweredByTarget) + "\n" + "longest delay before sending, ms: "
        + milliseconds(report.maximumSendDelay) + "\n" + "outcomes:" + countsText(report.outcomes)
        + "\nstatus codes:" + countsText(report.statuses) + "\ntransport errors:" + countsText(report.errors) + "\n";
}

std::string reportJson(const CallReport& report)
{
    return "{\"count\":" + std::to_string(report.count) + ",\"rate\":" + decimal(report.rate)
        + ",\"latencyMs\":" + latencyJson(report.run) + ",\"otherLatencyMs\":" + latencyJson(report.notAnsweredByTarget)
        + ",\"maximumSendDelayMs\":" + milliseconds(report.maximumSendDelay)
        + ",\"outcomes\":" + countsJson(report.outcomes) + ",\"statuses\":" + countsJson(report.statuses)
        + ",\"transportErrors\":" + countsJson(report.errors) + "}\n";
}

} // namespace Berylport
