// What became of the calls of a load: counts and exact percentiles.
#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Berylport {

enum class CallOutcome : uint8_t {
    Run,
    NotRun,
    MayHaveRun,
    // An answer that does not say whether the request ran.
    Unstated,
    // No whole answer.
    TransportError,
};

constexpr std::string_view toText(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Run:
        return "run";
    case CallOutcome::NotRun:
        return "not-run";
    case CallOutcome::MayHaveRun:
        return "may-have-run";
    case CallOutcome::Unstated:
        return "unstated";
    case CallOutcome::TransportError:
        return "transport-error";
    }
    return "unknown";
}

// Reads the value of the Berylport-Outcome header.
CallOutcome parseCallOutcome(std::string_view);

struct CallRecord {
    // From the scheduled time to the whole answer, also when the request was sent late.
    Duration latency {};
    CallOutcome outcome { CallOutcome::TransportError };
    // Zero without an answer.
    uint16_t status { 0 };
    // Why there is no answer.
    std::string_view error {};
};

struct LatencyPercentiles {
    uint64_t count { 0 };
    Duration mean {};
    Duration p50 {};
    Duration p90 {};
    Duration p99 {};
    Duration p999 {};
    Duration maximum {};
};

struct CallReport {
    uint64_t count { 0 };
    // Calls sent in each second of the load.
    double rate { 0 };
    // Refusals are fast and would hide the latency of the calls that ran, so both are kept apart.
    LatencyPercentiles run;
    LatencyPercentiles notAnsweredByTarget;
    // The longest time from a call's scheduled time to its sending. A high value means that this program or its VM is
    // overloaded.
    Duration maximumSendDelay {};
    std::map<CallOutcome, uint64_t> outcomes;
    std::map<uint16_t, uint64_t> statuses;
    std::map<std::string, uint64_t, std::less<>> errors;
};

// The smallest sample that is not below the given share of all samples. The samples must be sorted; zero without any.
Duration percentile(std::span<const Duration> sorted, double share);
LatencyPercentiles summarize(std::vector<Duration> samples);
CallReport makeReport(std::span<const CallRecord>, Duration loadDuration, Duration maximumSendDelay);

std::string reportText(const CallReport&);
std::string reportJson(const CallReport&);

} // namespace Berylport
