// What enters the coordinator to begin a call, and what it asks its node to do.
#pragma once

#include "Base/CallMessages.h"
#include "Base/TargetRecord.h"

#include <optional>
#include <variant>
#include <vector>

namespace Berylport {

struct StartCall {
    CallId id;
    ServiceDefinition definition;
    TenantName tenant;
    HttpRequest http;
    // Already shortened by the caller's own timeout and the parent's deadline.
    Instant deadline;
    // An answer by then is worth the most to the caller.
    Instant objective { Instant::max() };
    // Already bounded by what the parent has left.
    uint32_t retryTokens { 0 };
    uint32_t depth { 0 };
    std::optional<CallId> parent;
    // The caller's own name for the request, for logs.
    std::string requestId {};
    // Empty for services without routes.
    std::string route {};
};

// Why the caller gets no answer of the target.
enum class CallFailure : uint8_t {
    // No usable target is known.
    NoTarget,
    // Every candidate refused.
    Refused,
    DeadlineExceeded,
    // The attempt's answer cannot be had.
    ResponseLost,
    DepthExceeded,
};

constexpr std::string_view toText(CallFailure failure)
{
    switch (failure) {
    case CallFailure::NoTarget:
        return "no-target";
    case CallFailure::Refused:
        return "refused";
    case CallFailure::DeadlineExceeded:
        return "deadline-exceeded";
    case CallFailure::ResponseLost:
        return "response-lost";
    case CallFailure::DepthExceeded:
        return "depth-exceeded";
    }
    return "unknown";
}

struct SendAttempt {
    TargetId target;
    CallRequest request;
};

struct SendCancel {
    TargetId target;
    CallCancel cancel;
};

struct SendQuery {
    TargetId target;
    CallQuery query;
};

// The final answer. Given once per call, at its deadline at the latest.
struct AnswerCaller {
    CallId id;
    RunOutcome outcome { RunOutcome::NotRun };
    std::variant<HttpResponse, CallFailure> result;
    // The newest refusal, when there was one.
    std::optional<RefusalReason> refusal;
    // Zero when a retry makes no sense.
    Duration retryAfter {};
    uint32_t retryTokensUsed { 0 };
    uint32_t attempts { 0 };
};

using CallAction = std::variant<SendAttempt, SendCancel, SendQuery, AnswerCaller>;
using CallActions = std::vector<CallAction>;

} // namespace Berylport
