// Input that starts a call at the coordinator, and the actions that the coordinator asks its node to perform.
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
    // The earliest of the service's limit, the caller's own timeout and the parent call's deadline.
    Instant deadline;
    // Latency objective: an answer by this time has its full value to the caller.
    Instant objective { Instant::max() };
    // Already limited to the tokens that the parent call has left.
    uint32_t retryTokens { 0 };
    uint32_t depth { 0 };
    std::optional<CallId> parent;
    // Request id set by the caller; written to logs only.
    std::string requestId {};
    // Name of the HTTP route that the request matched; empty for services without routes.
    std::string route {};
};

// Why the caller gets an error of the load balancer instead of a response of a target.
enum class CallFailure : uint8_t {
    // No usable target is known.
    NoTarget,
    // Targets refused the call and no further one may be tried.
    Refused,
    DeadlineExceeded,
    // An attempt may have run, and its response cannot be obtained.
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

// The final response to the caller. Sent exactly once per call, at its deadline at the latest.
struct AnswerCaller {
    CallId id;
    RunOutcome outcome { RunOutcome::NotRun };
    std::variant<HttpResponse, CallFailure> result;
    // Reason of the latest refusal, if any.
    std::optional<RefusalReason> refusal;
    // Zero when the caller should not retry.
    Duration retryAfter {};
    uint32_t retryTokensUsed { 0 };
    uint32_t attempts { 0 };
};

using CallAction = std::variant<SendAttempt, SendCancel, SendQuery, AnswerCaller>;
using CallActions = std::vector<CallAction>;

} // namespace Berylport
