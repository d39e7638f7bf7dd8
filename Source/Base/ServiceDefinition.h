// What an operator states about a service: how its requests may be treated.
#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace Berylport {

enum class RequestKind : uint8_t {
    // May run any number of times: may be retried and hedged.
    Idempotent,
    // Must never run twice: sent again only after a truthful "not run".
    AtMostOnce,
    // Accepted durably now and run exactly once later.
    Patient,
};

enum class Priority : uint8_t {
    Critical,
    Normal,
    Bulk,
};

constexpr std::string_view toText(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Idempotent:
        return "idempotent";
    case RequestKind::AtMostOnce:
        return "at-most-once";
    case RequestKind::Patient:
        return "patient";
    }
    return "unknown";
}

constexpr std::string_view toText(Priority priority)
{
    switch (priority) {
    case Priority::Critical:
        return "critical";
    case Priority::Normal:
        return "normal";
    case Priority::Bulk:
        return "bulk";
    }
    return "unknown";
}

std::optional<RequestKind> parseRequestKind(std::string_view);
std::optional<Priority> parsePriority(std::string_view);

struct ServiceDefinition {
    ServiceName name;
    RequestKind kind { RequestKind::AtMostOnce };
    Priority priority { Priority::Normal };
    // How long a caller waits for the whole answer.
    Duration callerWait { std::chrono::seconds(2) };
    // Retry tokens given to a new call; shared by all levels below it.
    uint32_t retryTokens { 2 };
    // Sends a second attempt to another target after the service's p95 delay; only for idempotent services.
    bool isHedged { false };
    // Calls that may wait for a slot beside one target.
    uint32_t queueLimit { 20 };
    // The targets treat Idempotency-Key as unique and keep it durably, so a patient action may be run again with its
    // key.
    bool deduplicates { false };
    // Configuration version at which it was last changed; zero for a definition that has not been stored.
    uint64_t version { 0 };

    bool operator==(const ServiceDefinition&) const = default;
};

// Why a definition cannot be accepted.
enum class DefinitionError : uint8_t {
    InvalidName,
    CallerWaitOutOfRange,
    RetryTokensOutOfRange,
    QueueLimitOutOfRange,
    HedgeNeedsIdempotent,
    DeduplicatesNeedsPatient,
};

std::string_view toText(DefinitionError);

// The first rule that the definition breaks, if any.
std::optional<DefinitionError> validate(const ServiceDefinition&);

} // namespace Berylport
