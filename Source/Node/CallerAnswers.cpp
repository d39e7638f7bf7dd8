// Status, outcome, reason and Retry-After of the responses that a node itself sends.
#include "Node/CallerAnswers.h"

#include "Node/Dialect.h"

#include <charconv>

namespace Berylport {

namespace {

constexpr Duration maximumTimeout = std::chrono::minutes(5);
// An unconfirmed node usually becomes confirmed within one exchange with a peer.
constexpr Duration unconfirmedRetryAfter = std::chrono::milliseconds(500);
constexpr std::string_view defaultTenant = "default";

uint16_t statusOf(EntryRefusal refusal)
{
    switch (refusal) {
    case EntryRefusal::MissingService:
    case EntryRefusal::InvalidService:
    case EntryRefusal::InvalidTenant:
    case EntryRefusal::InvalidTimeout:
    case EntryRefusal::InvalidParent:
        return 400;
    case EntryRefusal::UnknownKey:
        return 401;
    case EntryRefusal::UnknownService:
    case EntryRefusal::NoRoute:
        return 404;
    case EntryRefusal::OverQuota:
        return 429;
    case EntryRefusal::Unconfirmed:
    case EntryRefusal::Isolated:
    case EntryRefusal::PatientUnavailable:
    case EntryRefusal::Stopping:
        return 503;
    }
    return 500;
}

uint16_t statusOf(CallFailure failure)
{
    switch (failure) {
    case CallFailure::DeadlineExceeded:
        return 504;
    case CallFailure::ResponseLost:
        return 502;
    case CallFailure::NoTarget:
    case CallFailure::Refused:
    case CallFailure::DepthExceeded:
        return 503;
    }
    return 500;
}

std::optional<Duration> parseMilliseconds(std::string_view text)
{
    int64_t n = 0;
    const char* end = text.data() + text.size();
    auto [position, ec] = std::from_chars(text.data(), end, n);
    bool isInRange = n >= 1 && n <= toMilliseconds(maximumTimeout);
    if (ec != std::errc() || position != end || !isInRange)
        return std::nullopt;
    return std::chrono::milliseconds(n);
}

std::string_view firstLabel(std::string_view host) { return host.substr(0, host.find_first_of(".:")); }

Result<ServiceName, EntryRefusal> readService(const HttpRequest& request)
{
    auto name = findHeader(request.headers, Header::service);
    if (!name) {
        auto host = findHeader(request.headers, "Host");
        if (!host || host->empty())
            return EntryRefusal::MissingService;
        name = firstLabel(*host);
    }
    if (!isValidName(*name))
        return EntryRefusal::InvalidService;
    return ServiceName(*name);
}

} // namespace

std::string_view toText(EntryRefusal refusal)
{
    switch (refusal) {
    case EntryRefusal::MissingService:
        return "missing-service";
    case EntryRefusal::InvalidService:
        return "invalid-service";
    case EntryRefusal::InvalidTenant:
        return "invalid-tenant";
    case EntryRefusal::InvalidTimeout:
        return "invalid-timeout";
    case EntryRefusal::InvalidParent:
        return "invalid-parent";
    case EntryRefusal::UnknownService:
        return "unknown-service";
    case EntryRefusal::NoRoute:
        return "no-route";
    case EntryRefusal::Unconfirmed:
        return "unconfirmed";
    case EntryRefusal::Isolated:
        return "isolated";
    case EntryRefusal::PatientUnavailable:
        return "patient-unavailable";
    case EntryRefusal::Stopping:
        return "stopping";
    case EntryRefusal::UnknownKey:
        return "unknown-key";
    case EntryRefusal::OverQuota:
        return "over-quota";
    }
    return "unknown";
}

HttpResponse makeSystemAnswer(uint16_t status, std::optional<RunOutcome> outcome, std::string_view reason)
{
    HttpResponse response { .status = status };
    std::string outcomeField;
    if (outcome) {
        setHeader(response.headers, Header::outcome, toText(*outcome));
        outcomeField = "\"outcome\":\"" + std::string(toText(*outcome)) + "\",";
    }
    setHeader(response.headers, "Content-Type", "application/json");
    setHeader(response.headers, Header::reason, reason);
    response.body = "{" + outcomeField + "\"reason\":\"" + std::string(reason) + "\"}\n";
    return response;
}

HttpResponse makeRefusal(EntryRefusal refusal, const Dialect& dialect, std::optional<Duration> retryAfter)
{
    uint16_t status = statusOf(refusal);
    HttpResponse response = makeSystemAnswer(status, RunOutcome::NotRun, toText(refusal));
    if (retryAfter)
        dialect.setRetryAfter(response, *retryAfter);
    else if (status == 503)
        dialect.setRetryAfter(response, unconfirmedRetryAfter);
    if (status == 401)
        setHeader(response.headers, Header::authenticate, "Bearer");
    return response;
}

HttpResponse makeAnswer(AnswerCaller&& answer, const Dialect& dialect)
{
    if (auto* response = std::get_if<HttpResponse>(&answer.result)) {
        setHeader(response->headers, Header::outcome, toText(RunOutcome::Run));
        // The reason header is reserved for the load balancer; one set by a target would be mistaken for it.
        removeHeader(response->headers, Header::reason);
        return std::move(*response);
    }
    CallFailure failure = std::get<CallFailure>(answer.result);
    // If a later attempt was lost or timed out, the refusal of an earlier attempt is not the reason of the failure.
    bool isRefused = failure == CallFailure::Refused && answer.refusal;
    std::string_view reason = isRefused ? toText(*answer.refusal) : toText(failure);
    HttpResponse response = makeSystemAnswer(statusOf(failure), answer.outcome, reason);
    if (answer.retryAfter > Duration::zero())
        dialect.setRetryAfter(response, answer.retryAfter);
    return response;
}

Result<CallerRequest, EntryRefusal> readCallerRequest(const HttpRequest& request)
{
    CallerRequest result;
    auto service = readService(request);
    if (!service)
        return service.error();
    result.service = service.value();
    std::string_view tenant = findHeader(request.headers, Header::tenant).value_or(defaultTenant);
    if (!isValidName(tenant))
        return EntryRefusal::InvalidTenant;
    result.tenant = TenantName(tenant);
    result.requestId = findHeader(request.headers, Header::requestId).value_or(std::string_view());
    if (auto timeout = findHeader(request.headers, Header::timeout)) {
        result.timeout = parseMilliseconds(*timeout);
        if (!result.timeout)
            return EntryRefusal::InvalidTimeout;
    }
    if (auto parent = findHeader(request.headers, Header::parent)) {
        result.parent = parseCallId(*parent);
        if (!result.parent)
            return EntryRefusal::InvalidParent;
    }
    return result;
}

void removeCallerHeaders(HttpRequest& request)
{
    for (std::string_view it : { Header::service, Header::timeout, Header::parent, Header::deadline })
        removeHeader(request.headers, it);
}

} // namespace Berylport
