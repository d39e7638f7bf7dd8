// Builds the responses that a node itself sends to callers, and parses the request headers of callers.
#pragma once

#include "Base/Base.h"
#include "Calls/CallActions.h"

#include <optional>
#include <string>
#include <string_view>

namespace Berylport {

// Header names; docs/callers.md describes them.
namespace Header {
constexpr std::string_view service = "Berylport-Service";
constexpr std::string_view tenant = "Berylport-Tenant";
constexpr std::string_view timeout = "Berylport-Timeout-Ms";
constexpr std::string_view parent = "Berylport-Parent";
constexpr std::string_view outcome = "Berylport-Outcome";
constexpr std::string_view reason = "Berylport-Reason";
constexpr std::string_view retryAfterMilliseconds = "Berylport-Retry-After-Ms";
constexpr std::string_view retryAfter = "Retry-After";
constexpr std::string_view deadline = "Berylport-Deadline-Ms";
constexpr std::string_view idempotencyKey = "Idempotency-Key";
constexpr std::string_view traceParent = "traceparent";
constexpr std::string_view authorization = "Authorization";
constexpr std::string_view authenticate = "WWW-Authenticate";
// In responses of targets.
constexpr std::string_view notRun = "Berylport-Not-Run";
constexpr std::string_view load = "Berylport-Load";
constexpr std::string_view requestLimit = "Berylport-Request-Limit";
constexpr std::string_view leaving = "Berylport-Leaving";
constexpr std::string_view coldTime = "Berylport-Cold-Ms";
// Request id chosen by the caller.
constexpr std::string_view requestId = "Berylport-Request-Id";
} // namespace Header

// Why the entry node rejects a request before the first attempt.
enum class EntryRefusal : uint8_t {
    MissingService,
    InvalidService,
    InvalidTenant,
    InvalidTimeout,
    InvalidParent,
    UnknownService,
    NoRoute,
    Unconfirmed,
    Isolated,
    PatientUnavailable,
    // The process terminates before the request could be answered.
    Stopping,
    // The caller names no key, or one that no account holds.
    UnknownKey,
    // The client account has used up its limit.
    OverQuota,
};

std::string_view toText(EntryRefusal);

class Dialect;

// Builds a response that does not come from a target. The outcome is absent if the response does not concern the
// execution of a request.
HttpResponse makeSystemAnswer(uint16_t status, std::optional<RunOutcome>, std::string_view reason);
// Without a retry delay, the one for nodes that are not ready is given with a 503.
HttpResponse makeRefusal(EntryRefusal, const Dialect&, std::optional<Duration> retryAfter = std::nullopt);
// Converts the final result of the call coordinator. A complete response of the target is forwarded with the outcome
// header added.
HttpResponse makeAnswer(AnswerCaller&&, const Dialect&);

// Parsed request headers of a caller.
struct CallerRequest {
    // Absent if the route determines the service.
    std::optional<ServiceName> service;
    TenantName tenant;
    // Request id chosen by the caller, for logs. May be empty.
    std::string requestId;
    // Can only shorten the timeout of the service or route.
    std::optional<Duration> timeout;
    std::optional<CallId> parent;
};

Result<CallerRequest, EntryRefusal> readCallerRequest(const HttpRequest&);

// Removes the headers that are meant for this node only and are not forwarded.
void removeCallerHeaders(HttpRequest&);

} // namespace Berylport
