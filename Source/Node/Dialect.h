// HTTP dialect that callers and targets use with a node: header names and announcement formats. A node reads and writes
// their messages only through this interface, so that it can serve environments whose formats differ from the native
// ones. A dialect only translates; it makes no decisions.
#pragma once

#include "Admission/Admission.h"
#include "Node/Announcement.h"
#include "Node/CallerAnswers.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Berylport {

// Data that is sent to a target along with a request.
struct TargetRequestContext {
    CallId call;
    // Remaining time until the deadline, at which the target stops working on the request.
    Duration remaining {};
    // Request id chosen by the caller; empty if none.
    std::string_view requestId;
    // Instance id from the announcement of the target; empty if none. Lets another process that has taken over the
    // address reject the request.
    std::string_view instance;
};

// Metadata in the response headers of a target.
struct TargetReport {
    // The target guarantees that it has not run the request and will not run it.
    bool hasNotRun { false };
    // Equals answerTag() of the request that the response belongs to; empty if the response carries no tag.
    std::string answerTag;
    std::optional<ReportedLoad> load;
    // Requests per second that the target takes from all nodes together; empty if it names no limit.
    std::optional<double> requestLimit {};
    // The target named a limit that cannot be read.
    bool isRequestLimitMalformed { false };
    // The target shuts down and must receive no new calls.
    bool isLeaving { false };
    // How much longer the target is cold; only in responses of its health path. Empty if it names no time.
    std::optional<Duration> coldFor {};
    // Instance id of the target that answered; empty if the response does not name it.
    std::string instance {};
};

// Parses "running,waiting,slots" with the slowness of the VM in percent as an optional fourth number.
std::optional<ReportedLoad> parseReportedLoad(std::string_view);
// Sets the request limit of the report from a decimal number of at least zero.
void readRequestLimit(TargetReport&, std::string_view text);
// Sets the cold time of the report from whole milliseconds. A longer time than ten minutes is not believed.
void readColdTime(TargetReport&, std::string_view text);

// The target is shutting down and must receive no new calls.
struct TargetWithdrawal {
    // Empty in dialects without instance ids.
    std::string instance;
    ServiceName service;
};

// The request is neither an announcement nor a withdrawal.
struct UnrelatedMessage { };

using TargetMessageRead = std::variant<TargetAnnouncement, TargetWithdrawal, AnnouncementError, UnrelatedMessage>;

// The key in "Authorization: Bearer KEY"; empty if there is none.
std::optional<std::string_view> readBearerKey(const HttpRequest&);

class Dialect {
public:
    virtual ~Dialect() = default;

    virtual Result<CallerRequest, EntryRefusal> readCaller(const HttpRequest&) const = 0;
    // Removes the headers that are meant for this node only and adds those that tell the target about the caller.
    virtual void prepareForward(HttpRequest&, std::string_view originService) const = 0;
    // The key by which a caller identifies its account; empty if it names none.
    virtual std::optional<std::string_view> readKey(const HttpRequest&) const = 0;
    // Removes the caller's key and tells the target on whose account the request runs, whatever the caller has sent;
    // the name is empty if it runs on none.
    virtual void setAccount(HttpRequest&, std::string_view name) const = 0;
    virtual void prepareForTarget(HttpRequest&, const TargetRequestContext&) const = 0;
    virtual TargetReport readTargetAnswer(const HttpResponse&) const = 0;
    // Tag that a target echoes in its response to this request.
    virtual std::string answerTag(const TargetRequestContext&) const = 0;
    // Whether targets may send responses without a length, which end when the connection is closed.
    virtual bool allowsCloseDelimitedAnswers() const = 0;
    // Sets the headers that tell the caller when to retry.
    virtual void setRetryAfter(HttpResponse&, Duration) const = 0;
    virtual TargetMessageRead readTargetMessage(const HttpRequest&) const = 0;
    virtual HttpResponse acknowledge(TargetState) const = 0;
};

} // namespace Berylport
