// Parsing and formatting of the native headers and announcements.
#include "Node/NativeDialect.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>

namespace Berylport {

namespace {

constexpr std::string_view announcePath = "/announce";
constexpr std::string_view withdrawPrefix = "/announce?service=";
constexpr int64_t maximumColdMilliseconds = 600'000;
// In lower case, with the space that follows it.
constexpr std::string_view bearerScheme = "bearer ";

} // namespace

std::optional<ReportedLoad> parseReportedLoad(std::string_view text)
{
    ReportedLoad load;
    uint16_t* const members[] = { &load.running, &load.waiting, &load.slots, &load.slownessPercent };
    size_t count = 0;
    while (count < std::size(members)) {
        std::string_view item = text.substr(0, text.find(','));
        auto [end, ec] = std::from_chars(item.data(), item.data() + item.size(), *members[count]);
        if (ec != std::errc() || end != item.data() + item.size())
            return std::nullopt;
        ++count;
        if (item.size() == text.size())
            break;
        text.remove_prefix(item.size() + 1);
    }
    bool hasAllNeeded = count >= 3 && load.slots;
    return hasAllNeeded ? std::optional(load) : std::nullopt;
}

void readRequestLimit(TargetReport& report, std::string_view text)
{
    double limit = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), limit, std::chars_format::fixed);
    bool isRead = ec == std::errc() && end == text.data() + text.size() && std::isfinite(limit) && limit >= 0;
    if (isRead)
        report.requestLimit = limit;
    else
        report.isRequestLimitMalformed = true;
}

void readColdTime(TargetReport& report, std::string_view text)
{
    int64_t n = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    bool isRead = ec == std::errc() && end == text.data() + text.size();
    if (isRead && n >= 0 && n <= maximumColdMilliseconds)
        report.coldFor = std::chrono::milliseconds(n);
}

std::optional<std::string_view> readBearerKey(const HttpRequest& request)
{
    auto value = findHeader(request.headers, Header::authorization);
    if (!value || value->size() <= bearerScheme.size())
        return std::nullopt;
    bool isBearer = std::ranges::equal(value->substr(0, bearerScheme.size()), bearerScheme,
        [](char a, char b) { return std::tolower(static_cast<unsigned char>(a)) == b; });
    if (!isBearer)
        return std::nullopt;
    value->remove_prefix(bearerScheme.size());
    value->remove_prefix(std::min(value->find_first_not_of(' '), value->size()));
    return value;
}

Result<CallerRequest, EntryRefusal> NativeDialect::readCaller(const HttpRequest& request) const
{
    return readCallerRequest(request);
}

void NativeDialect::prepareForward(HttpRequest& request, std::string_view) const { removeCallerHeaders(request); }

void NativeDialect::setAccount(HttpRequest& request, std::string_view name) const
{
    removeHeader(request.headers, Header::authorization);
    removeHeader(request.headers, Header::tenant);
    if (!name.empty())
        setHeader(request.headers, Header::tenant, name);
}

void NativeDialect::prepareForTarget(HttpRequest& request, const TargetRequestContext& handover) const
{
    setHeader(
        request.headers, Header::deadline, std::to_string(std::max<int64_t>(0, toMilliseconds(handover.remaining))));
    setHeader(request.headers, Header::parent, toText(handover.call));
}

TargetReport NativeDialect::readTargetAnswer(const HttpResponse& response) const
{
    TargetReport report { .hasNotRun = findHeader(response.headers, Header::notRun).has_value() };
    report.answerTag = findHeader(response.headers, Header::parent).value_or(std::string_view());
    if (auto load = findHeader(response.headers, Header::load))
        report.load = parseReportedLoad(*load);
    if (auto limit = findHeader(response.headers, Header::requestLimit))
        readRequestLimit(report, *limit);
    report.isLeaving = findHeader(response.headers, Header::leaving) == "1";
    if (auto cold = findHeader(response.headers, Header::coldTime))
        readColdTime(report, *cold);
    return report;
}

std::string NativeDialect::answerTag(const TargetRequestContext& handover) const { return toText(handover.call); }

// Retry-After has a resolution of one second; rounding down would make the caller retry too early.
void NativeDialect::setRetryAfter(HttpResponse& response, Duration wait) const
{
    int64_t milliseconds = std::max<int64_t>(1, std::chrono::ceil<std::chrono::milliseconds>(wait).count());
    int64_t seconds = (milliseconds + 999) / 1000;
    setHeader(response.headers, Header::retryAfter, std::to_string(seconds));
    setHeader(response.headers, Header::retryAfterMilliseconds, std::to_string(milliseconds));
}

TargetMessageRead NativeDialect::readTargetMessage(const HttpRequest& request) const
{
    std::string_view path = request.target;
    if (request.method == "DELETE" && path.starts_with(withdrawPrefix))
        return TargetWithdrawal { .instance = {}, .service = ServiceName(path.substr(withdrawPrefix.size())) };
    if (path != announcePath)
        return UnrelatedMessage {};
    if (request.method != "POST")
        return AnnouncementError::WrongMethod;
    auto announcement = parseAnnouncement(request.body);
    if (!announcement)
        return announcement.error();
    return announcement.value();
}

HttpResponse NativeDialect::acknowledge(TargetState state) const
{
    return { .status = 200,
        .headers = { { .name = "Content-Type", .value = "text/plain" } },
        .body = std::string(toText(state)) + "\n" };
}

} // namespace Berylport
