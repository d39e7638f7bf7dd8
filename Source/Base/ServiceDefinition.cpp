// Text forms and validation of service definitions.
#include "Base/ServiceDefinition.h"

namespace Berylport {

namespace {

constexpr Duration minimumCallerWait = std::chrono::milliseconds(1);
constexpr Duration maximumCallerWait = std::chrono::minutes(5);
constexpr uint32_t maximumRetryTokens = 8;
constexpr uint32_t maximumQueueLimit = 10'000;

template <typename Enum> std::optional<Enum> parseByText(std::string_view text, std::initializer_list<Enum> values)
{
    for (Enum it : values) {
        if (toText(it) == text)
            return it;
    }
    return std::nullopt;
}

} // namespace

std::optional<RequestKind> parseRequestKind(std::string_view text)
{
    return parseByText(text, { RequestKind::Idempotent, RequestKind::AtMostOnce, RequestKind::Patient });
}

std::optional<Priority> parsePriority(std::string_view text)
{
    return parseByText(text, { Priority::Critical, Priority::Normal, Priority::Bulk });
}

std::string_view toText(DefinitionError ec)
{
    switch (ec) {
    case DefinitionError::InvalidName:
        return "name must be 1 to 63 characters of a-z, 0-9, '-', '_' and '.', beginning with a letter or digit";
    case DefinitionError::CallerWaitOutOfRange:
        return "caller wait must be 1 ms to 5 minutes";
    case DefinitionError::RetryTokensOutOfRange:
        return "retry tokens must be 0 to 8";
    case DefinitionError::QueueLimitOutOfRange:
        return "queue limit must be 0 to 10000";
    case DefinitionError::HedgeNeedsIdempotent:
        return "only an idempotent service can be hedged";
    case DefinitionError::DeduplicatesNeedsPatient:
        return "only a patient service can be declared to deduplicate";
    }
    return "unknown";
}

std::optional<DefinitionError> validate(const ServiceDefinition& definition)
{
    if (!isValidName(definition.name.text))
        return DefinitionError::InvalidName;
    if (definition.callerWait < minimumCallerWait || definition.callerWait > maximumCallerWait)
        return DefinitionError::CallerWaitOutOfRange;
    if (definition.retryTokens > maximumRetryTokens)
        return DefinitionError::RetryTokensOutOfRange;
    if (definition.queueLimit > maximumQueueLimit)
        return DefinitionError::QueueLimitOutOfRange;
    if (definition.isHedged && definition.kind != RequestKind::Idempotent)
        return DefinitionError::HedgeNeedsIdempotent;
    if (definition.deduplicates && definition.kind != RequestKind::Patient)
        return DefinitionError::DeduplicatesNeedsPatient;
    return std::nullopt;
}

} // namespace Berylport
