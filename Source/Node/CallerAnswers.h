// Builds the answers that the system itself gives to callers, and reads the callers' headers.
#pragma once

#include "Base/Base.h"
#include "Calls/CallActions.h"

#include <optional>
#include <string>
#include <string_view>

namespace Berylport {

// Headers of docs/callers.md.
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
// In answers of targets.
constexpr std::string_view notRun = "Berylport-Not-Run";
constexpr std::string_view load = "Berylport-Load";
// The caller's own name for its request.
constexpr std::string_view requestId = "Berylport-Request-Id";
} // namespace Header

// Why the entry node itself refuses a request, before any attempt.
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
    // The process ends before the request could be answered.
    Stopping,
};

std::string_view toText(EntryRefusal);

class Dialect;

// Any answer of the system itself. Without an outcome it is about something else than a request's execution.
HttpResponse makeSystemAnswer(uint16_t status, std::optional<RunOutcome>, std::string_view reason);
HttpResponse makeRefusal(EntryRefusal, const Dialect&);
// From the coordinator's final word about a call. A whole answer of the target passes with its outcome added.
HttpResponse makeAnswer(AnswerCaller&&, const Dialect&);

// What the caller asks for.
struct CallerRequest {
    // Empty when the route decides.
    std::optional<ServiceName> service;
    TenantName tenant;
    // The caller's own name for the request, for logs. May be empty.
    std::string requestId;
    // Only shortens the service's own.
    std::optional<Duration> timeout;
    std::optional<CallId> parent;
};

Result<CallerRequest, EntryRefusal> readCallerRequest(const HttpRequest&);

// Removes the headers that are between the caller and this node.
void removeCallerHeaders(HttpRequest&);

} // namespace Berylport
